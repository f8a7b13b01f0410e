#include "redwinggw/session/wait_list.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace redwinggw::session {

namespace asio = boost::asio;

struct wait_list::waiter {
  explicit waiter(const asio::any_io_executor &Executor)
      : Timer(Executor, asio::steady_timer::time_point::max()) {}
  asio::steady_timer Timer;
  bool Woken = false;
};

wait_list::wait_list(asio::any_io_executor Executor, deadline_watch &Watch)
    : Executor(std::move(Executor)), Watch(Watch) {}

wait_list::~wait_list() = default;

base::task<bool> wait_list::wait(std::uint64_t Number, base::instant Until) {
  waiter Waiter(Executor);
  Waiters.emplace(Number, &Waiter);
  const deadline_guard Guard(Watch, Until, [&] { Waiter.Timer.cancel(); });
  boost::system::error_code Ignored;
  co_await Waiter.Timer.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
  Waiters.erase(Number);
  co_return Waiter.Woken;
}

bool wait_list::wake(std::uint64_t Number) {
  const auto Found = Waiters.find(Number);
  if (Found == Waiters.end() || Found->second->Woken)
    return false;
  Found->second->Woken = true;
  Found->second->Timer.cancel();
  return true;
}

} // namespace redwinggw::session
