#pragma once

#include "redwinggw/session/endpoint_choice.hpp"
#include "redwinggw/session/endpoint_pool.hpp"
#include "redwinggw/session/freshness.hpp"
#include "redwinggw/session/primary_lease.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

/// The endpoints: the directory of all, a connection pool for each that this
/// instance uses, and samples of each service's log position.
///
/// A pool takes several kilobytes and is visited periodically. In a large fleet
/// an instance uses few of the endpoints, so it has pools for these only.
namespace redwinggw::session {

using pool_ptr = std::shared_ptr<endpoint_pool>;

/// Used from one thread.
struct endpoint_set {
  endpoint_set(boost::asio::any_io_executor Executor, base::zone_name Zone,
               link_factory Factory);

  boost::asio::any_io_executor Executor;
  base::zone_name Zone;
  link_factory Factory;
  deadline_watch Watch;
  directory Directory;
  /// Of the endpoints in use; poolOf adds one, releaseUnusedPools removes them.
  std::map<base::endpoint_name, pool_ptr, std::less<>> Pools;
  /// Sets the limits of a new pool; unset: it has the default ones.
  std::function<void(endpoint_pool &)> ConfigureNew;
  std::map<base::service_name, freshness, std::less<>> Samples;
  choice_limits Choice;
};

/// Applies a read of the list: drops the pools of endpoints that are gone, and
/// replaces those of endpoints that were restarted.
directory_changes updateEndpoints(endpoint_set &Set,
                                  const std::vector<endpoint_entry> &Entries,
                                  base::instant Now);

/// The pool of \p Endpoint, which is created if there is none; null when it is
/// not listed.
pool_ptr poolOf(endpoint_set &Set, std::string_view Endpoint);

/// The pool of \p Endpoint, null when it is not in use.
pool_ptr findPool(const endpoint_set &Set, std::string_view Endpoint);

/// Removes the pools that nothing has used for \p Time.
void releaseUnusedPools(endpoint_set &Set, base::milliseconds Time,
                        base::instant Now);

/// Endpoints of \p Service that may serve a read, best first: replicas, and the
/// primary if \p PrimaryLease allows it. Draining ones come last. \p Required:
/// the log position that a replica has to prove.
std::vector<choice_candidate>
readCandidates(endpoint_set &Set, std::string_view Service,
               std::string_view Customer, const primary_lease *PrimaryLease,
               const std::optional<required_point> &Required,
               base::instant Now);

/// Adds the log position in a primary's answer to the samples.
void notePoint(endpoint_set &Set, const primary_lease &PrimaryLease,
               base::instant SentAt, log_point Point);

} // namespace redwinggw::session
