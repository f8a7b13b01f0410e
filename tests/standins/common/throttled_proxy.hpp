#pragma once

#include "redwinggw/http/address.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <memory>

namespace redwinggw::standin {

/// A way to a server over a link whose speed can be limited. Used from one
/// thread.
class throttled_proxy {
public:
  /// Passes connections on to \p Server.
  throttled_proxy(boost::asio::any_io_executor Executor, http::address Server);
  throttled_proxy(const throttled_proxy &) = delete;
  throttled_proxy &operator=(const throttled_proxy &) = delete;
  ~throttled_proxy();

  /// Where it listens: a free port of the loopback address.
  const http::address &address() const;

  /// Bytes that each connection gets from the server in a second; 0: no limit.
  void setSpeed(std::size_t BytesPerSecond);

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace redwinggw::standin
