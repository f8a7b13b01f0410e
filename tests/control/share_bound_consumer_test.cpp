#include "share_fault_scenarios.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

constexpr std::array Scenarios = std::to_array<scenario_case>({
    {"consumer pauses with tokens", consumerPausesWithTokens},
    {"datagrams are delayed, reordered, duplicated",
     datagramsAreDelayedReorderedAndDuplicated},
    {"load jumps while tokens are held", loadJumpsWhileTokensAreHeld},
});

} // namespace

// A customer floods all instances with five times its rate while a consumer
// pauses, or its load jumps, or datagrams are lost, delayed, reordered and
// duplicated. In no window may the whole fleet serve more than burst + rate *
// length.
Test(share_bound_consumer, no_window_exceeds_the_bound_while_consumers_fail) {
  cr_assert(worstOf(Scenarios) <= Rounding);
}
