#include "share_fault_scenarios.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

constexpr std::array Scenarios = std::to_array<scenario_case>({
    {"holder pauses with tokens", consumerPausesWithTokens},
    {"datagrams are late, crossed, doubled",
     datagramsAreDelayedReorderedAndDuplicated},
    {"load jumps while tokens are held", loadJumpsWhileTokensAreHeld},
});

} // namespace

// A customer floods all instances with five times its rate while a holder
// sleeps, or its load jumps, or datagrams are lost, late, crossed and doubled.
// In no window may the fleet as a whole serve more than burst + rate * length.
Test(share_bound_consumer, no_window_is_above_while_consumers_fail) {
  cr_assert(worstOf(Scenarios) <= Rounding);
}
