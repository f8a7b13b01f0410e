#pragma once

#include "reserve_fleet.hpp"

#include <functional>

/// Every window of a flood during which something happens to the owner of the
/// bucket.
namespace redwinggw::control::testing {

inline constexpr milliseconds Long{8000};

inline void flood(reserve_fleet &Fleet, milliseconds Time) {
  Fleet.play(6 * Fleet.Rate, Time);
}

/// Plays \p Trouble during a flood that begins with it, for customers of
/// different size, and checks every window: with the requests that instances
/// send, and with all that the reserves grant used up.
inline void
checkEveryWindow(const char *Name,
                 const std::function<void(reserve_fleet &)> &Trouble,
                 bool UsesReserve = true) {
  for (const double Fraction : {0.4, 0.5})
    for (const double Rate : {4.0, 30.0, 120.0}) {
      reserve_fleet Ready(Rate, Rate, Fraction);
      Ready.StoreReached = true;
      Ready.play(Rate / 1.6, ReservesReady);
      for (const bool Drains : {false, true}) {
        reserve_fleet Fleet = Ready;
        Fleet.DrainsReserves = Drains;
        Trouble(Fleet);
        cr_assert(Fleet.busiestWindow() <= 1,
                  "%s, rate %g, fraction %g, all of the reserves %d: %g", Name,
                  Rate, Fraction, Drains, Fleet.busiestWindow());
        cr_assert(!UsesReserve || Fleet.FromReserve > 0, "%s", Name);
      }
    }
}

/// Plays a cut in which \p Both instances reach both sides.
inline void checkCut(std::size_t Both) {
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

} // namespace redwinggw::control::testing
