#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/data/connection_pool.hpp"
#include "redwinggw/data/fair_queue.hpp"
#include "redwinggw/data/retry_policy.hpp"
#include "redwinggw/data/slot_window.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string_view>
#include <unordered_map>

/// Everything that one instance runs at one endpoint: the queue of waiting
/// requests, the window of running requests, the connection pool and the
/// circuit breaker.
namespace redwinggw::data {

/// Used from one thread.
class dispatcher {
public:
  dispatcher(boost::asio::any_io_executor Executor, std::string Instance,
             control::endpoint Endpoint, std::size_t ConnectionLimit,
             queue_settings Queue);
  dispatcher(const dispatcher &) = delete;
  dispatcher &operator=(const dispatcher &) = delete;

  /// Waits until a request of \p Customer may run in the window. Fails with
  /// errc::Overloaded at once when the queue is full or the expected wait
  /// exceeds the deadline, and with errc::DeadlinePassed when the deadline
  /// passes in the queue.
  base::task<base::result<void>> acquire(base::customer_name Customer,
                                         base::instant Deadline);

  /// Counts a request as running at once, without queueing. For statements of
  /// an open transaction: it may hold locks that the running requests wait for,
  /// so a queued statement would never start.
  void acquireImmediately(base::customer_name Customer);

  /// Counts a transaction that keeps a connection (+1) or no longer does (-1).
  /// The window only uses the other connections.
  void adjustPinned(int Change);

  /// Whether one more transaction may keep a connection.
  bool mayPin() const;

  /// Ends a run started by acquire or acquireImmediately. \p Busy is the
  /// measured slot time; without it (the request failed) nothing is charged to
  /// the customer.
  void release(std::string_view Customer, base::microseconds RoundTrip,
               std::optional<base::microseconds> Busy);

  connection_pool &pool() { return Pool; }
  circuit_breaker &breaker() { return Circuit; }
  std::size_t waiting() const { return Queue.Size; }
  std::size_t running() const { return Window.Running; }
  double windowSize() const { return Window.Size; }
  double windowLimit() const { return Window.Limit; }
  const control::endpoint &endpoint() const { return Endpoint; }

  void setConnectionLimit(std::size_t Limit);

private:
  struct waiter {
    boost::asio::steady_timer *Timer = nullptr;
    bool Granted = false;
  };

  void startWaiting();
  void updateWindowLimit();

  boost::asio::any_io_executor Executor;
  control::endpoint Endpoint;
  connection_pool Pool;
  slot_window Window;
  fair_queue Queue;
  circuit_breaker Circuit;
  std::unordered_map<std::uint64_t, waiter> Waiters;
  std::uint64_t LastTicket = 0;
  std::size_t Limit = 1;
  std::size_t Pinned = 0;
};

} // namespace redwinggw::data
