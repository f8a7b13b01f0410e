#include "share_fault_scenarios.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

constexpr std::array Scenarios = std::to_array<scenario_case>({
    {"allocator is cut from all", allocatorIsCutFromAll},
    {"allocator is cut from the store", allocatorIsCutFromTheStore},
    {"store comes back for others only", storeComesBackForOthersOnly},
});

} // namespace

// A customer floods all instances with five times its rate while the allocator
// is cut off from the others or the store, or the store goes down. In no window
// may the whole fleet serve more than burst + rate * length.
Test(share_bound_cuts,
     no_window_exceeds_the_bound_while_the_allocator_is_cut_off) {
  cr_assert(worstOf(Scenarios) <= Rounding);
}
