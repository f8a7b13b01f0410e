#pragma once

#include "redwinggw/data/connection_pool.hpp"
#include "redwinggw/data/endpoint.hpp"

#include <memory>

/// A connection that one transaction keeps over several runs.
namespace redwinggw::data {

class dispatcher;
struct call;
struct statement_core;

struct pinned_connection {
  std::shared_ptr<dispatcher> Target;
  /// Null before the first run, and after the connection was lost: then the
  /// endpoint rolls the transaction back.
  connection_handle Connection;
};

/// Runs \p Request on the transaction's connection, in the customer's turn.
/// Takes a connection on the first run. A run without an answer loses it.
base::task<run_result> runPinned(statement_core &Core,
                                 pinned_connection &Pinned, call &Call,
                                 run_request Request);

/// Ends the use of the connection. Only when \p Clean, that is when the
/// endpoint confirmed that the transaction is over, another one may have it:
/// otherwise its statements could end up in the transaction left open.
void unpin(statement_core &Core, pinned_connection &Pinned, bool Clean);

} // namespace redwinggw::data
