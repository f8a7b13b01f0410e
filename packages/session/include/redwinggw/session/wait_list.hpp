#pragma once

#include "redwinggw/base/task.hpp"
#include "redwinggw/session/deadline_watch.hpp"

#include <cstdint>
#include <unordered_map>

/// Coroutines that sleep until they are woken.
namespace redwinggw::session {

/// Used from one thread. \p Watch outlives it, and it outlives the coroutines
/// that wait.
class wait_list {
public:
  wait_list(boost::asio::any_io_executor Executor, deadline_watch &Watch);
  wait_list(const wait_list &) = delete;
  wait_list &operator=(const wait_list &) = delete;
  ~wait_list();

  /// A number that no coroutine has waited under before.
  std::uint64_t nextNumber() { return ++LastNumber; }

  /// Sleeps until woken under \p Number; false when \p Until came first.
  base::task<bool> wait(std::uint64_t Number, base::instant Until);

  /// Wakes the coroutine that waits under \p Number; false if it does not wait
  /// any more.
  bool wake(std::uint64_t Number);

private:
  struct waiter;

  boost::asio::any_io_executor Executor;
  deadline_watch &Watch;
  std::unordered_map<std::uint64_t, waiter *> Waiters;
  std::uint64_t LastNumber = 0;
};

} // namespace redwinggw::session
