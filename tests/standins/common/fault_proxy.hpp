#pragma once

#include "redwinggw/base/time.hpp"
#include "redwinggw/http/address.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace redwinggw::standin {

enum class direction : std::size_t { ToServer, ToClient };

/// A TCP proxy that delays, holds and resets connections. Used from one thread.
class fault_proxy {
public:
  /// Forwards connections to \p Server. \p Listen: port 0 picks a free one.
  fault_proxy(boost::asio::any_io_executor Executor, http::address Server,
              const http::address &Listen = {"127.0.0.1", 0});
  fault_proxy(const fault_proxy &) = delete;
  fault_proxy &operator=(const fault_proxy &) = delete;
  ~fault_proxy();

  const http::address &address() const;

  /// Keeps the bytes of \p Way on all connections, later ones included. The
  /// side that sent them may close: the other learns it only after them. If it
  /// resets the connection, they are lost.
  void hold(direction Way);
  /// From now on new connections deliver what clients have sent even if they
  /// reset them, like a server that has accepted it.
  void deliverAfterReset();
  /// As hold(), for connections that exist. Later ones hold nothing.
  void holdNoNewConnections();
  /// Delivers the bytes of \p Way that are kept, and later ones at once.
  void release(direction Way);
  /// Delivers bytes that arrive from now on after \p Delay.
  void setDelay(base::milliseconds Delay);
  /// Resets all connections. Bytes that are kept are lost.
  void reset();

  /// The bytes of \p Way that are kept.
  std::size_t heldBytes(direction Way) const;
  /// Whether a client that sent bytes which are kept still waits for an answer.
  bool isAwaited() const;
  /// Calls \p OnBytes with the bytes of clients as they arrive here.
  void onClientBytes(std::function<void(std::string_view)> OnBytes);

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace redwinggw::standin
