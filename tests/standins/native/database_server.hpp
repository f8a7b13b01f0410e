#pragma once

#include "native/database_group.hpp"

#include "redwinggw/base/task.hpp"
#include "redwinggw/http/address.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>

namespace redwinggw::standin {

/// Serves one database of a group over the line protocol. Used from one
/// thread; \p Group outlives it.
class database_server {
public:
  database_server(boost::asio::any_io_executor Executor, database_group &Group,
                  std::string Name);
  database_server(const database_server &) = delete;
  database_server &operator=(const database_server &) = delete;
  ~database_server();

  /// The address that it listens at: a free port on the loopback interface.
  const http::address &address() const;

  /// Closes all connections, as a crash does.
  void dropConnections();

  /// Serves the database \p Name of the group from now on.
  void rename(std::string Name);

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace redwinggw::standin
