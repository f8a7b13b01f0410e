#include "cold_wait.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace redwinggw::session {
namespace {

namespace asio = boost::asio;

/// Counts a request while it waits, and apart one of an open transaction, so
/// that it goes ahead of the others.
class waiting_guard {
public:
  waiting_guard(cold_rate_ptr Rate, cold_use Use)
      : Rate(std::move(Rate)), Counts(Use == cold_use::InTransaction) {
    this->Rate->Waiting += Counts ? 1 : 0;
    ++this->Rate->AllWaiting;
  }
  waiting_guard(const waiting_guard &) = delete;
  waiting_guard &operator=(const waiting_guard &) = delete;
  ~waiting_guard() {
    Rate->Waiting -= Counts ? 1 : 0;
    --Rate->AllWaiting;
  }

private:
  cold_rate_ptr Rate;
  bool Counts;
};

} // namespace

base::task<token> awaitToken(cold_rate_ptr Rate, cold_use Use,
                             base::instant Until) {
  token Token = takeToken(*Rate, Use, base::now());
  if (Token != token::None)
    co_return Token;
  const bool IsOpen = Use == cold_use::InTransaction || Use == cold_use::End;
  if (!IsOpen)
    Until =
        std::min<base::instant>(Until, base::now() + longestTokenWait(*Rate));
  const waiting_guard Guard(Rate, Use);
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (Token == token::None && !Rate->Suspended) {
    const base::instant Now = base::now();
    const auto Expected = tokenExpected(*Rate, Use, Now);
    if (!Expected || Now + *Expected >= Until)
      break;
    // Others may take the token that is waited for, or hold all reservations.
    constexpr base::microseconds Least{10000};
    Timer.expires_after(std::max(Least, *Expected));
    boost::system::error_code Ignored;
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
    if (!Rate->Suspended)
      Token = takeToken(*Rate, Use, base::now());
  }
  co_return Token;
}

} // namespace redwinggw::session
