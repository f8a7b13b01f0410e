#include "reserve_windows.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

// Guards against a bucket that is spent again by a process that was frozen.
Test(bucket_reserve, keeps_every_window_when_the_owner_is_frozen) {
  for (const int Frozen : {600, 1500, 2500, 6000})
    checkEveryWindow("freeze", [&](reserve_fleet &Fleet) {
      const std::size_t Owner = Fleet.owner();
      Fleet.Dead = Owner;
      flood(Fleet, milliseconds(Frozen));
      Fleet.Dead = SIZE_MAX;
      // Its callers' requests may be read before its heartbeat is due.
      for (int Left = 3 * static_cast<int>(Fleet.Burst); Left > 0; --Left)
        Fleet.ask(Owner);
      flood(Fleet, Long);
    });
}
