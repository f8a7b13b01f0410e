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

/// Pool of one instance's database connections to one endpoint.
namespace redwinggw::data {

/// A database connection. Used by one request or transaction at a time.
struct database_connection {
  explicit database_connection(boost::asio::any_io_executor Executor)
      : Client(std::move(Executor)) {}

  http::client Client;
  base::instant OpenedAt;
  base::instant LastAnswerAt;
};

using connection_handle = std::unique_ptr<database_connection>;

/// Used from one thread. The coroutines that it starts may outlive it; they use
/// the shared state.
class connection_pool {
public:
  /// \p Limit is this instance's share of the endpoint's connections.
  connection_pool(boost::asio::any_io_executor Executor, std::string Instance,
                  control::endpoint Endpoint, std::size_t Limit);
  connection_pool(const connection_pool &) = delete;
  connection_pool &operator=(const connection_pool &) = delete;
  ~connection_pool();

  /// Returns an idle connection, or opens one while the limit allows; otherwise
  /// waits for one. Fails with errc::ConnectionLimit or
  /// errc::EndpointUnreachable; nothing has run then.
  base::task<base::result<connection_handle>> acquire(base::instant Deadline);

  /// Returns a connection to the pool. Precondition: the endpoint confirmed
  /// that no transaction is open on it; otherwise call discard.
  void release(connection_handle Connection);

  /// Closes a connection whose state is unknown.
  void discard(connection_handle Connection);

  /// Closes the idle connections without an answer since \p Since. After a
  /// request timed out, something on the network path may have lost its state
  /// for all older connections while new ones work; each old connection would
  /// make one more request time out.
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
