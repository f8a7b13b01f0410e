#pragma once

#include "redwinggw/http/address.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <memory>

namespace redwinggw::standin {

/// A TCP proxy whose bandwidth can be limited. Used from one thread.
class throttled_proxy {
public:
  /// Forwards connections to \p Server.
  throttled_proxy(boost::asio::any_io_executor Executor, http::address Server);
  throttled_proxy(const throttled_proxy &) = delete;
  throttled_proxy &operator=(const throttled_proxy &) = delete;
  ~throttled_proxy();

  /// The address that it listens at: a free port on the loopback interface.
  const http::address &address() const;

  /// Limits the bytes per second from the server, per connection; 0 means
  /// unlimited.
  void setSpeed(std::size_t BytesPerSecond);

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace redwinggw::standin
