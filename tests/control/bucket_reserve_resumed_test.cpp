#include "reserve_windows.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

// Guards against a full bucket of a frozen owner beside that of the next one,
// where its callers' requests are read before its heartbeat is due.
Test(bucket_reserve, keeps_every_window_when_a_frozen_owner_has_a_full_bucket) {
  checkEveryWindow(
      "full bucket",
      [](reserve_fleet &Fleet) {
        const std::size_t Owner = Fleet.owner();
        Fleet.Dead = Owner;
        Fleet.play(0, 2 * Long);
        flood(Fleet, milliseconds(1000));
        for (int Left = 3 * static_cast<int>(Fleet.Burst); Left > 0; --Left)
          Fleet.ask(Owner);
        flood(Fleet, milliseconds(5000));
        Fleet.Dead = SIZE_MAX;
        flood(Fleet, Long);
      },
      false);
}
