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

/// Server side of HTTP/1.1 over Beast.
namespace redwinggw::http {

/// What a handler keeps for one connection; destroyed when it closes.
struct connection {
  std::uint64_t Id = 0;
  std::any State;
};

/// Answers one request. Requests of one connection come one after another.
using handler = std::function<base::task<response>(connection &, request)>;

struct server_options {
  std::size_t BodyLimit = std::size_t{16} * 1024 * 1024;
  /// A connection without a request for so long is closed.
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

  /// Starts to listen. Fails with errc::BadSettings when the address is taken
  /// or not of this machine. Port 0 picks a free one.
  base::result<address> listen(const address &Address);

  /// Stops accepting and closes idle connections; busy ones answer the
  /// request they are at and then close. May be repeated.
  void drain();

  /// Connections open now.
  std::size_t openConnections() const;

  /// Requests being answered now.
  std::size_t busyConnections() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace redwinggw::http
