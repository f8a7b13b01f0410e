#pragma once

#include "redwinggw/data/statement_core.hpp"
#include "redwinggw/data/transaction_table.hpp"
#include "redwinggw/http/server.hpp"

/// HTTP server for callers: authenticates requests, applies the customer's rate
/// limit and passes them to the handler of their path.
namespace redwinggw::data {

/// Used from one thread. \p Core and \p Table outlive it.
struct caller_server {
  caller_server(boost::asio::any_io_executor Executor, statement_core &Core,
                transaction_table &Table);

  statement_core &Core;
  transaction_table &Table;
  http::server Server;
};

/// Serves one request of a caller. Never throws; each failure becomes an
/// answer.
base::task<http::response> serveCaller(statement_core &Core,
                                       transaction_table &Table,
                                       http::request Request);

} // namespace redwinggw::data
