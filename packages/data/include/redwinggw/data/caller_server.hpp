#pragma once

#include "redwinggw/data/statement_core.hpp"
#include "redwinggw/data/transaction_table.hpp"
#include "redwinggw/http/server.hpp"

/// The callers' side: authenticates, admits and hands requests to their paths.
namespace redwinggw::data {

/// Used from one thread. \p Core and \p Table outlive it.
struct caller_server {
  caller_server(boost::asio::any_io_executor Executor, statement_core &Core,
                transaction_table &Table);

  statement_core &Core;
  transaction_table &Table;
  http::server Server;
};

/// Answers one request of a caller. Never throws; each failure is an answer.
base::task<http::response> serveCaller(statement_core &Core,
                                       transaction_table &Table,
                                       http::request Request);

} // namespace redwinggw::data
