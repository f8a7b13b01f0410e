#pragma once

#include "redwinggw/base/time.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>

/// Deadlines of many short operations on one shared timer.
namespace redwinggw::session {

/// Used from one thread. A separate timer for each statement would cost two
/// system calls, to arm and to disarm it. This one ticks at a fixed interval
/// while any deadline is watched and is stopped otherwise.
class deadline_watch {
public:
  using id = std::uint64_t;

  /// Deadlines fire up to \p TickInterval late.
  explicit deadline_watch(
      boost::asio::any_io_executor Executor,
      base::milliseconds TickInterval = DefaultTickInterval);
  deadline_watch(const deadline_watch &) = delete;
  deadline_watch &operator=(const deadline_watch &) = delete;
  ~deadline_watch();

  /// Calls \p Expired once after \p Deadline unless drop() comes first.
  id add(base::instant Deadline, std::function<void()> Expired);
  void drop(id Id);

  /// Well below the tenth of a second from which callers notice a delay. A
  /// shorter interval costs more CPU time than this one's 0.02% of a core while
  /// statements run.
  static constexpr base::milliseconds DefaultTickInterval{20};

private:
  struct state;
  std::shared_ptr<state> State;
};

/// Watches one deadline during its lifetime: \p Expired is called once if the
/// deadline passes before the guard is destroyed. Used from one thread.
class deadline_guard {
public:
  deadline_guard(deadline_watch &Watch, base::instant Deadline,
                 std::function<void()> Expired);
  deadline_guard(const deadline_guard &) = delete;
  deadline_guard &operator=(const deadline_guard &) = delete;
  ~deadline_guard() { Watch.drop(Id); }

  /// Whether the deadline has passed while it was watched.
  bool expired() const { return HasExpired; }

private:
  deadline_watch &Watch;
  bool HasExpired = false;
  deadline_watch::id Id;
};

} // namespace redwinggw::session
