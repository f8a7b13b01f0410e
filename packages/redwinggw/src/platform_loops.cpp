#include "platform_loops.hpp"

#include "redwinggw/control/relays.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

/// What paces the loops of an instance.
namespace redwinggw {

namespace asio = boost::asio;
using base::milliseconds;

base::task<void> pauseWithJitter(platform_instance_state &State,
                                 milliseconds Time) {
  constexpr int Spread = 10;
  std::uniform_int_distribution<std::int64_t> Offset(-Time.count() / Spread,
                                                     Time.count() / Spread);
  asio::steady_timer Timer(State.Context,
                           Time + milliseconds(Offset(State.Random)));
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

base::task<bool> awaitStoreAttempt(platform_instance_state &State,
                                   control::store_loop Loop) {
  constexpr milliseconds CheckInterval{50};
  constexpr milliseconds MaxWait{300};
  const base::instant Since = base::now();
  while (!State.Stopped && base::now() - Since < MaxWait) {
    const base::instant Now = base::now();
    const bool Connected = State.Peers && usesRelays(State.Peers->view()) &&
                           State.Peers->inContactWithMajority(Now);
    if (tryAttempt(State.StorePacing, Loop, Connected, Now))
      co_return true;
    co_await pauseWithJitter(State, CheckInterval);
  }
  co_return false;
}

} // namespace redwinggw
