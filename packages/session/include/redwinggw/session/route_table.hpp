#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/configuration.hpp"
#include "redwinggw/session/homes.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// The configuration in force on the users' platform: which databases callers
/// may name, how their statements are served, and whose keys are valid. With
/// platform_kind::Own it is control::configuration.
namespace redwinggw::session {

enum class consistency {
  /// Every read sees every acknowledged commit.
  Primary,
  /// Reads may miss commits younger than the bound.
  BoundedStaleness,
  /// The same, but a session sees its own commits at once.
  ReadYourWrites,
};

struct route {
  std::string Name;
  base::service_name Service;
  consistency Consistency = consistency::Primary;
  /// Longest time of a single statement.
  base::milliseconds Timeout{1000};
  /// Target latency of a caller's whole operation.
  base::milliseconds TargetLatency{400};
  /// Maximum age of the data that reads accept; used unless Consistency is
  /// Primary.
  base::milliseconds MaxStaleness{0};
  /// 0 is the most important.
  unsigned Priority = 0;
  /// Anybody may use it, without a key.
  bool Public = false;
  home_regions Homes;

  friend bool operator==(const route &, const route &) = default;
};

struct service_limits {
  base::service_name Name;
  /// Connections that each endpoint accepts from all instances together.
  unsigned Connections = 0;
  /// Replicas that hold a commit before it is acknowledged.
  unsigned SynchronousReplicas = 0;
  /// How long an endpoint is cold after a start, and the requests per second
  /// that a cold one should get from all instances together; 0: no limit.
  base::milliseconds ColdStart{0};
  double ColdPerSecond = 0;
};

/// Lets maps with std::string keys be searched by std::string_view.
struct text_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view Text) const {
    return std::hash<std::string_view>()(Text);
  }
};
template <typename Value>
using text_map =
    std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

struct route_table {
  base::config_version Version = 0;
  /// By the name of the database that callers ask for.
  text_map<route> Routes;
  text_map<service_limits> Services;
  std::vector<control::customer> Customers;
  /// The home regions of the customers that have any.
  text_map<home_regions> CustomerHomes;
  /// Customer by key. Keys are looked up here and stored nowhere else.
  text_map<base::customer_name> Keys;
  /// A transaction that is idle for longer may be rolled back.
  base::milliseconds TransactionIdle{3000};
};

using route_table_ptr = std::shared_ptr<const route_table>;

/// Null when there is none of that name. Thread safe.
const route *findRoute(const route_table &Table, std::string_view Database);

/// The home regions for statements of \p Customer to \p Database; none of a
/// route that \p Table does not have. Valid as long as \p Table is unchanged.
/// Thread safe.
home_rule homesFor(const route_table &Table, std::string_view Database,
                   std::string_view Customer);

/// The customer whose key it is, null when the key is not in force.
const base::customer_name *findCustomer(const route_table &Table,
                                        std::string_view Key);

} // namespace redwinggw::session
