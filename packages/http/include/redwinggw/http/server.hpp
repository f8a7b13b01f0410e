#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/http/address.hpp"
#include "redwinggw/http/message.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <any>
#include <cstdint>
#include <functional>
#include <memory>

/// HTTP/1.1 server on Boost.Beast.
namespace redwinggw::http {

/// Per-connection data of a handler; destroyed when the connection closes.
struct connection {
  std::uint64_t Id = 0;
  std::any State;
};

/// Handles one request. Requests of one connection are handled sequentially.
using handler = std::function<base::task<response>(connection &, request)>;

struct server_options {
  std::size_t BodyLimit = std::size_t{16} * 1024 * 1024;
  /// A connection without a request for this long is closed.
  base::milliseconds IdleTimeout{10 * 60 * 1000};
};

/// A listening server. Used from one thread.
class server {
public:
  server(boost::asio::any_io_executor Executor, server_options Options,
         handler Handler);
  server(const server &) = delete;
  server &operator=(const server &) = delete;
  ~server();

  /// Starts listening. Fails with errc::BadSettings if the address is in use or
  /// does not belong to this machine. Port 0 picks a free port.
  base::result<address> listen(const address &Address);

  /// Stops accepting and closes idle connections; busy ones finish their
  /// current request and then close. May be called repeatedly.
  void drain();

  /// Number of open connections.
  std::size_t openConnections() const;

  /// Number of connections with a request in progress.
  std::size_t busyConnections() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace redwinggw::http
