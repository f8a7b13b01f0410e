#include "share_stories.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

constexpr std::array Stories = std::to_array<fault_case>({
    {"holder pauses with tokens", holderPausesWithTokens},
    {"datagrams are late, crossed, doubled", datagramsAreLateCrossedAndDoubled},
    {"load jumps while tokens are held", loadJumpsWhileTokensAreHeld},
});

} // namespace

// A customer floods all instances with five times its rate while a holder
// sleeps, or its load jumps, or datagrams are lost, late, crossed and doubled.
// In no window may the fleet as a whole serve more than burst + rate * length.
Test(share_bound_holder, no_window_is_above_while_holders_fail) {
  cr_assert(worstOf(Stories) <= Rounding);
}
