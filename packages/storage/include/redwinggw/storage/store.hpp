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

/// Interface to the platform's services: a table with conditional commits,
/// objects, and the list of instances. A driver implements the protocol; the
/// default one is specified in docs/PLATFORM.md.
namespace redwinggw::storage {

/// A row of the table service. Version 0 means that it does not exist.
struct row {
  std::string Key;
  std::uint64_t Version = 0;
  std::string Value;
};

/// Precondition of a commit: the row still has this version.
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

/// An entry of the platform's list of instances. The list may be
/// out of date.
struct listed_instance {
  base::instance_name Name;
  base::zone_name Zone;
  http::address Peers;
  http::address Callers;
  http::address Operators;
  bool Leaving = false;
  /// Relative capacity compared with other instances; 0 if not reported.
  double Capacity = 0;
};

struct store;

/// A platform protocol. Its functions satisfy the contracts of the functions of
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
  /// Null if instances register themselves in rows instead.
  base::task<base::result<std::vector<listed_instance>>> (*ListInstances)(
      store &);
};

/// The driver for the protocol of docs/PLATFORM.md.
const store_driver &ownProtocol();

/// Access to the platform: settings, driver and counters. Used from one thread.
struct store {
  boost::asio::any_io_executor Executor;
  http::address Address;
  base::instance_name Instance;
  base::milliseconds Timeout{1000};
  /// Requests sent so far, for the metrics.
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  const store_driver *Driver = &ownProtocol();
  /// State of the driver between requests, such as open connections.
  std::shared_ptr<void> Session;
};

/// Reads rows in the order of \p Keys; missing rows have version 0. Fails with
/// errc::StoreUnreachable.
base::task<base::result<std::vector<row>>> get(store &Store,
                                               std::vector<std::string> Keys);

/// Reads all rows whose key starts with \p Prefix, sorted by key.
base::task<base::result<std::vector<row>>> scan(store &Store,
                                                std::string Prefix);

/// Commits atomically and returns the new versions of the written rows, in
/// order. Fails with errc::Conflict if a check failed (nothing changed) and
/// with errc::StoreUnreachable if the outcome is unknown: the caller has to
/// read the rows again.
base::task<base::result<std::vector<std::uint64_t>>>
commit(store &Store, commit_request Request);

base::task<base::result<void>> putObject(store &Store, std::string Name,
                                         std::string Content);
/// Fails with errc::NotFound if there is no object of that name.
base::task<base::result<std::string>> getObject(store &Store, std::string Name);

/// Precondition: the driver implements ListInstances.
base::task<base::result<std::vector<listed_instance>>>
listInstances(store &Store);

} // namespace redwinggw::storage
