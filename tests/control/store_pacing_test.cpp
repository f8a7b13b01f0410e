#include "redwinggw/control/store_pacing.hpp"

#include <array>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using base::instant;
using base::milliseconds;

namespace {

constexpr milliseconds Step{50};

/// The attempts that three loops make within \p Time while the store answers
/// none of them.
int attemptsWithin(milliseconds Time, bool Connected) {
  store_pacing Pacing;
  Pacing.Answers = false;
  int Attempts = 0;
  const instant Begin{std::chrono::seconds(1)};
  for (instant Now = Begin; Now < Begin + Time; Now += Step)
    for (int Loop = 0; Loop < 3; ++Loop)
      if (mayAttempt(Pacing, Connected, Now)) {
        Pacing.AttemptedAt = Now;
        ++Attempts;
      }
  return Attempts;
}

} // namespace

// Every loop of every instance retries on its own while the store is down.
Test(store_pacing, loops_share_the_attempts_while_the_store_is_silent) {
  cr_assert(attemptsWithin(milliseconds(5000), false) == 20);
  cr_assert(attemptsWithin(milliseconds(5000), true) == 5);
}

// An answer to one loop leaves the others waiting.
Test(store_pacing, an_answer_ends_the_limit_for_all_loops) {
  const instant Now{std::chrono::seconds(1)};
  store_pacing Pacing{false, Now};
  cr_assert(!mayAttempt(Pacing, false, Now));
  Pacing.Answers = true;
  cr_assert(mayAttempt(Pacing, false, Now));
}
