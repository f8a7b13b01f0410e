#include "share_fault_scenarios.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

constexpr std::array Scenarios = std::to_array<scenario_case>({
    {"giver is killed", allocatorIsKilled},
    {"giver pauses over its lease", allocatorPausesOverItsLease},
    {"giver pauses in a renewal", allocatorPausesInARenewal},
    {"giver is not heard", allocatorIsNotHeard},
    {"giver drains", allocatorDrains},
});

} // namespace

// A customer floods all instances with five times its rate while the giver
// dies, sleeps, stops or is not heard. In no window may the fleet as a whole
// serve more than burst + rate * length.
Test(share_bound, no_window_is_above_while_allocators_fail) {
  cr_assert(worstOf(Scenarios) <= Rounding);
}
