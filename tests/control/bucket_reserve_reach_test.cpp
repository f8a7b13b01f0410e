#include "reserve_windows.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

// Guards against a reserve that counts on an owner which grants nothing.
Test(bucket_reserve, keeps_every_window_when_some_do_not_reach_the_owner) {
  for (const std::size_t Unreached : {2U, 20U, 38U})
    checkEveryWindow("unreachable", [&](reserve_fleet &Fleet) {
      for (std::size_t Index = 0; Index < Unreached; ++Index)
        Fleet.Blocked.insert({Index, Fleet.owner()});
      flood(Fleet, Long);
    });
}
