#include "reserve_windows.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

// Guards against a successor on each side of a cut beside an owner.
Test(bucket_reserve, keeps_every_window_in_a_cut_with_many_on_both_sides) {
  checkCut(12);
}
