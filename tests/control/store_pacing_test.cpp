#include "redwinggw/control/store_pacing.hpp"

#include <array>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using base::instant;
using base::milliseconds;

namespace {

constexpr milliseconds Step{50};
constexpr instant Begin{std::chrono::seconds(1)};
constexpr std::array Loops{store_loop::Fleet, store_loop::Endpoints,
                           store_loop::Configuration};

/// The attempts of each loop within \p Time while the store answers none.
std::array<int, StoreLoops> attemptsWithin(milliseconds Time, bool Connected) {
  store_pacing Pacing;
  Pacing.Answers = false;
  std::array<int, StoreLoops> Attempts{};
  for (instant Now = Begin; Now < Begin + Time; Now += Step)
    for (const store_loop Loop : Loops)
      if (tryAttempt(Pacing, Loop, Connected, Now))
        ++Attempts.at(static_cast<std::size_t>(Loop));
  return Attempts;
}

} // namespace

// Every loop of every instance retries on its own while the store is down, or
// one loop gets all attempts and the configuration is never read.
Test(store_pacing, loops_share_the_attempts_in_turn_while_the_store_is_silent) {
  const std::array<int, StoreLoops> Connected{3, 3, 3};
  cr_assert(attemptsWithin(milliseconds(9000), true) == Connected);
  const std::array<int, StoreLoops> Isolated{4, 4, 4};
  cr_assert(attemptsWithin(milliseconds(3000), false) == Isolated);
}

// An answer to one loop leaves the others waiting.
Test(store_pacing, an_answer_ends_the_limit_for_all_loops) {
  store_pacing Pacing;
  Pacing.Answers = false;
  cr_assert(tryAttempt(Pacing, store_loop::Fleet, false, Begin));
  cr_assert(!tryAttempt(Pacing, store_loop::Configuration, false, Begin));
  Pacing.Answers = true;
  cr_assert(tryAttempt(Pacing, store_loop::Endpoints, false, Begin));
  cr_assert(tryAttempt(Pacing, store_loop::Configuration, false, Begin));
}

// A loop that needs no read any more blocks those that wait after it.
Test(store_pacing, a_loop_that_gave_up_is_not_waited_for) {
  store_pacing Pacing;
  Pacing.Answers = false;
  cr_assert(tryAttempt(Pacing, store_loop::Fleet, true, Begin));
  cr_assert(!tryAttempt(Pacing, store_loop::Endpoints, true, Begin));
  const instant Later = Begin + ConnectedRetryInterval;
  cr_assert(tryAttempt(Pacing, store_loop::Configuration, true, Later));
}
