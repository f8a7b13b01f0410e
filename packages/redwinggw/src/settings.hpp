#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/log.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/data/fair_queue.hpp"
#include "redwinggw/data/routing.hpp"
#include "redwinggw/http/address.hpp"

#include <string>
#include <vector>

/// Settings of an instance: an INI file, whose values options override.
namespace redwinggw {

enum class rate_policy { Shared, Static };

/// Which protocols callers, endpoints and the platform speak.
enum class platform_kind {
  /// Those defined by this project, served by class instance with
  /// packages/data; docs/PLATFORM.md, docs/CALLERS.md.
  Own,
  /// Those native to the users' platform, served by class platform_instance
  /// with packages/session; docs/PLATFORM-ADAPTER.md.
  Native,
};

struct settings {
  std::string Name;
  std::string Zone;
  /// Capacity relative to other instances; 0 when it is not given.
  double Capacity = 0;
  http::address Callers;
  http::address Operators;
  http::address Peers;
  http::address Platform;
  platform_kind Kind = platform_kind::Own;
  /// Used with platform_kind::Native only: where this instance serves readiness
  /// and metrics, and where it orders promotions.
  http::address Readiness;
  http::address Metrics;
  http::address Promotions;
  base::milliseconds PlatformTimeout{1000};
  std::string KeyFile;
  std::string OperatorKeyFile;
  base::log_level LogLevel = base::log_level::Info;
  base::log_format LogFormat = base::log_format::Text;
  data::read_policy Reads = data::read_policy::Replicas;
  rate_policy Rate = rate_policy::Shared;
  data::queue_policy Queue = data::queue_policy::Fair;
  base::milliseconds TryTimeout{1000};
  base::milliseconds ReplicaWait{80};
  base::milliseconds DrainTime{10000};
};

/// A value that replaces one of the file; Key is "section.key".
struct settings_override {
  std::string Key;
  std::string Value;
};

/// Parses \p Text, the content of the file \p Name. Fails with
/// errc::BadSettings and one line for each fault: file, line, key, what is
/// allowed.
base::result<settings> parseSettings(const std::string &Text,
                                     const std::string &Name,
                                     const std::vector<settings_override> &Set);

/// Reads a file that holds a secret, without surrounding white space. Fails
/// with errc::BadSettings when it is missing or shorter than 16 characters.
base::result<std::string> readSecret(const std::string &File);

/// A table of all keys for --help: key, default, meaning, what is allowed.
std::string settingsTable();

} // namespace redwinggw
