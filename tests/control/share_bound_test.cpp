#include "share_stories.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

constexpr std::array Stories = std::to_array<fault_case>({
    {"giver is killed", giverIsKilled},
    {"giver pauses over its lease", giverPausesOverItsLease},
    {"giver pauses in a renewal", giverPausesInARenewal},
    {"giver is not heard", giverIsNotHeard},
    {"giver drains", giverDrains},
});

} // namespace

// A customer floods all instances with five times its rate while the giver
// dies, sleeps, stops or is not heard. In no window may the fleet as a whole
// serve more than burst + rate * length.
Test(share_bound, no_window_is_above_while_givers_fail) {
  cr_assert(worstOf(Stories) <= Rounding);
}
