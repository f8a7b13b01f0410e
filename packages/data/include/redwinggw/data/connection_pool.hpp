#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/configuration.hpp"
#include "redwinggw/http/client.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>
#include <vector>

/// Database connections of one instance to one endpoint.
namespace redwinggw::data {

/// A database connection. It belongs to one request or transaction at a time.
struct database_connection {
  explicit database_connection(boost::asio::any_io_executor Executor)
      : Client(std::move(Executor)) {}

  http::client Client;
  base::instant OpenedAt;
  base::instant LastAnswerAt;
};

using connection_handle = std::unique_ptr<database_connection>;

/// Used from one thread. Outlives the coroutines that it starts through the
/// shared state.
class connection_pool {
public:
  /// \p Limit is this instance's part of the endpoint's connections.
  connection_pool(boost::asio::any_io_executor Executor, std::string Instance,
                  control::endpoint Endpoint, std::size_t Limit);
  connection_pool(const connection_pool &) = delete;
  connection_pool &operator=(const connection_pool &) = delete;
  ~connection_pool();

  /// An idle connection, or a new one while the limit allows; waits for one
  /// otherwise. Fails with errc::ConnectionLimit or errc::EndpointUnreachable;
  /// nothing has run.
  base::task<base::result<connection_handle>> acquire(base::instant Deadline);

  /// Takes a connection back. Precondition: the endpoint confirmed that no
  /// transaction is open on it. Otherwise destroy the handle through discard.
  void release(connection_handle Connection);

  /// Closes a connection whose state is not known.
  void discard(connection_handle Connection);

  /// Closes the idle connections that have not answered since \p Since. When a
  /// request timed out, something between the two ends may have lost track of
  /// all older connections, while new ones work; each would cost one more
  /// request its deadline.
  void closeUnansweredSince(base::instant Since);

  void closeIdle();
  void setLimit(std::size_t Limit);

  std::size_t idle() const;
  std::size_t open() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace redwinggw::data
