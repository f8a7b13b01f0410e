#include "reserve_windows.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

/// Both: how many instances reach both sides.
void checkCut(std::size_t Both) {
  for (const bool MovesOwner : {true, false})
    checkEveryWindow(
        "cut",
        [&](reserve_fleet &Fleet) {
          const std::size_t Owner = Fleet.owner();
          for (std::size_t Index = 0; Index < Count; ++Index)
            Fleet.Cut[Index] = Index / Zones % 2 == 0;
          for (std::size_t Index = Count - Both; Index < Count; ++Index)
            Fleet.ReachesBoth.insert(Index);
          if (MovesOwner)
            Fleet.Cut[Owner] = !Fleet.Cut[Owner];
          flood(Fleet, 2 * Long);
          Fleet.Cut.assign(Count, false);
          flood(Fleet, Long);
        },
        false);
}

} // namespace

// Guards against a successor on each side of a cut beside an owner.
Test(bucket_reserve, keeps_every_window_in_a_cut_with_none_on_both_sides) {
  checkCut(0);
}

// Guards against a successor on each side of a cut beside an owner.
Test(bucket_reserve, keeps_every_window_in_a_cut_with_some_on_both_sides) {
  checkCut(4);
}

// Guards against a successor on each side of a cut beside an owner.
Test(bucket_reserve, keeps_every_window_in_a_cut_with_many_on_both_sides) {
  checkCut(12);
}
