#include "share_fault_scenarios.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

constexpr std::array Scenarios = std::to_array<scenario_case>({
    {"allocator is killed", allocatorIsKilled},
    {"allocator pauses over its lease", allocatorPausesOverItsLease},
    {"allocator pauses in a renewal", allocatorPausesInARenewal},
    {"allocator is not received from", allocatorCannotSend},
    {"allocator drains", allocatorDrains},
});

} // namespace

// A customer floods all instances with five times its rate while the allocator
// is killed, pauses, drains, or its datagrams are lost. In no window may the
// whole fleet serve more than burst + rate * length.
Test(share_bound, no_window_exceeds_the_bound_while_allocators_fail) {
  cr_assert(worstOf(Scenarios) <= Rounding);
}
