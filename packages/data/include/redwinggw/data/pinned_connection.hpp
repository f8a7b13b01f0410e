#pragma once

#include "redwinggw/data/connection_pool.hpp"
#include "redwinggw/data/endpoint.hpp"

#include <memory>

/// A connection that one transaction keeps across several runs.
namespace redwinggw::data {

class dispatcher;
struct call;
struct statement_core;

struct pinned_connection {
  std::shared_ptr<dispatcher> Target;
  /// Null before the first run, and after the connection was lost; the endpoint
  /// rolls back the transaction in that case.
  connection_handle Connection;
};

/// Runs \p Request on the transaction's connection, as soon as the dispatcher
/// lets it run. The first run acquires the connection. A run without an answer
/// closes it.
base::task<run_result> runPinned(statement_core &Core,
                                 pinned_connection &Pinned, call &Call,
                                 run_request Request);

/// Ends the use of the connection. It returns to the pool only when \p Clean,
/// that is when the endpoint confirmed that the transaction is over; otherwise
/// another request's statements could run in the transaction that was left
/// open.
void unpin(statement_core &Core, pinned_connection &Pinned, bool Clean);

} // namespace redwinggw::data
