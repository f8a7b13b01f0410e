#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/http/address.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// The port to the platform's services: rows changed under conditions, objects,
/// the list of instances. A driver speaks the protocol; the default one is
/// stated in docs/PLATFORM.md.
namespace redwinggw::storage {

/// A row of the table service. Version 0: it does not exist.
struct row {
  std::string Key;
  std::uint64_t Version = 0;
  std::string Value;
};

/// Condition of a commit: the row still has this version.
struct check {
  std::string Key;
  std::uint64_t Version = 0;
};

struct put {
  std::string Key;
  std::string Value;
};

struct commit_request {
  std::vector<check> Checks;
  std::vector<put> Puts;
  std::vector<std::string> Deletes;
};

/// An entry of the platform's list of instances. The list lags.
struct listed_instance {
  base::instance_name Name;
  base::zone_name Zone;
  http::address Peers;
  http::address Callers;
  http::address Operators;
  bool Leaving = false;
  /// How much work it can take compared with others; 0: not told.
  double Capacity = 0;
};

struct store;

/// One protocol of the platform. The functions keep the promises of those of
/// the same name below.
struct store_driver {
  using rows_task = base::task<base::result<std::vector<row>>>;
  using versions_task = base::task<base::result<std::vector<std::uint64_t>>>;

  rows_task (*Get)(store &, std::vector<std::string> Keys);
  rows_task (*Scan)(store &, std::string Prefix);
  versions_task (*Commit)(store &, commit_request);
  base::task<base::result<void>> (*PutObject)(store &, std::string Name,
                                              std::string Content);
  base::task<base::result<std::string>> (*GetObject)(store &, std::string Name);
  /// Null where instances list themselves in rows.
  base::task<base::result<std::vector<listed_instance>>> (*ListInstances)(
      store &);
};

/// The driver of docs/PLATFORM.md.
const store_driver &ownProtocol();

/// How to reach the platform. Used from one thread.
struct store {
  boost::asio::any_io_executor Executor;
  http::address Address;
  base::instance_name Instance;
  base::milliseconds Timeout{1000};
  /// Requests sent so far; for the metrics.
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  const store_driver *Driver = &ownProtocol();
  /// What the driver keeps between requests, such as open connections.
  std::shared_ptr<void> Session;
};

/// Reads rows; missing ones come back with version 0, in the order asked.
/// Fails with errc::StoreUnreachable.
base::task<base::result<std::vector<row>>> get(store &Store,
                                               std::vector<std::string> Keys);

/// Reads all rows whose key begins with \p Prefix, sorted by key.
base::task<base::result<std::vector<row>>> scan(store &Store,
                                                std::string Prefix);

/// Commits atomically; answers the new versions of the rows put, in order.
/// Fails with errc::Conflict when a check did not hold (nothing changed) and
/// with errc::StoreUnreachable when the outcome is not known: read back.
base::task<base::result<std::vector<std::uint64_t>>>
commit(store &Store, commit_request Request);

base::task<base::result<void>> putObject(store &Store, std::string Name,
                                         std::string Content);
/// Fails with errc::NotFound when there is none of that name.
base::task<base::result<std::string>> getObject(store &Store, std::string Name);

/// Precondition: the driver has a list.
base::task<base::result<std::vector<listed_instance>>>
listInstances(store &Store);

} // namespace redwinggw::storage
