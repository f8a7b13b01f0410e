#include "share_fleet.hpp"

#include <iostream>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

constexpr double Rate = 200;
constexpr double Burst = 20;
constexpr std::size_t Count = 5;
constexpr milliseconds Start{4000};
/// So that a holder holds a good part of the burst.
constexpr milliseconds LongTtl{200};
/// For rounding of times to the steps of the test.
constexpr double Rounding = 0.01;

double excessOf(const share_fleet &Fleet) {
  return worstExcess(Fleet.History, Rate, Burst);
}

void flood(share_fleet &Fleet, milliseconds Time) {
  runLoad(Fleet, Time, 5 * Rate, anyNode(Fleet));
}

/// Some load, so that the lease is held and the bucket is nearly full.
share_fleet startedFleet(unsigned Seed, share_settings Settings = {}) {
  share_fleet Fleet = makeShareFleet(Count, Seed, Rate, Burst, Settings);
  runLoad(Fleet, Start, Rate / 2, anyNode(Fleet));
  return Fleet;
}

/// Cuts \p Index from all others, both ways.
void isolate(share_fleet &Fleet, std::size_t Index) {
  for (std::size_t Other = 0; Other < Fleet.Nodes.size(); ++Other) {
    Fleet.Cuts.insert({Index, Other});
    Fleet.Cuts.insert({Other, Index});
  }
}

/// A story with a fault, its worst excess under \p Settings.
using scenario = double (*)(unsigned Seed, share_settings Settings);

double giverIsKilled(unsigned Seed, share_settings Settings) {
  share_fleet Fleet = startedFleet(Seed, Settings);
  Fleet.Nodes[giverIndex(Fleet)].Up = false;
  flood(Fleet, milliseconds(8000));
  return excessOf(Fleet);
}

double giverPausesOverItsLease(unsigned Seed, share_settings Settings) {
  share_fleet Fleet = startedFleet(Seed, Settings);
  const std::size_t Giver = giverIndex(Fleet);
  Fleet.Nodes[Giver].Paused = true;
  flood(Fleet, milliseconds(5000));
  wake(Fleet, Giver);
  flood(Fleet, milliseconds(2000));
  return excessOf(Fleet);
}

double giverIsCutFromAll(unsigned Seed, share_settings Settings) {
  share_fleet Fleet = startedFleet(Seed, Settings);
  const std::size_t Giver = giverIndex(Fleet);
  Fleet.Nodes[Giver].SeesStore = false;
  isolate(Fleet, Giver);
  flood(Fleet, milliseconds(12000));
  return excessOf(Fleet);
}

double giverIsCutFromTheStore(unsigned Seed, share_settings Settings) {
  share_fleet Fleet = startedFleet(Seed, Settings);
  Fleet.Nodes[giverIndex(Fleet)].SeesStore = false;
  flood(Fleet, milliseconds(12000));
  return excessOf(Fleet);
}

double storeComesBackForOthersOnly(unsigned Seed, share_settings Settings) {
  share_fleet Fleet = startedFleet(Seed, Settings);
  Fleet.StoreUp = false;
  flood(Fleet, milliseconds(6000));
  Fleet.Nodes[giverIndex(Fleet)].SeesStore = false;
  Fleet.StoreUp = true;
  flood(Fleet, milliseconds(8000));
  return excessOf(Fleet);
}

/// The giver sleeps between a renewal and its answer.
double giverPausesInARenewal(unsigned Seed, share_settings Settings) {
  share_fleet Fleet = startedFleet(Seed, Settings);
  const std::size_t Giver = giverIndex(Fleet);
  while (Fleet.Nodes[Giver].Shares.Committing.empty())
    step(Fleet);
  Fleet.Nodes[Giver].Paused = true;
  flood(Fleet, milliseconds(6000));
  isolate(Fleet, Giver);
  Fleet.Nodes[Giver].SeesStore = false;
  wake(Fleet, Giver);
  flood(Fleet, milliseconds(3000));
  return excessOf(Fleet);
}

/// The others get nothing from the giver and take it for dead.
double giverIsNotHeard(unsigned Seed, share_settings Settings) {
  share_fleet Fleet = startedFleet(Seed, Settings);
  const std::size_t Giver = giverIndex(Fleet);
  for (std::size_t Other = 0; Other < Count; ++Other)
    Fleet.Cuts.insert({Giver, Other});
  flood(Fleet, milliseconds(10000));
  return excessOf(Fleet);
}

double holderPausesWithTokens(unsigned Seed, share_settings Settings) {
  Settings.Shares.MinTtl = LongTtl;
  share_fleet Fleet = startedFleet(Seed, Settings);
  const std::size_t Holder = (giverIndex(Fleet) + 1) % Count;
  runLoad(Fleet, milliseconds(1500), 0.4 * Rate, [Holder] { return Holder; });
  Fleet.Nodes[Holder].Paused = true;
  runLoad(Fleet, milliseconds(1000), 1, [Holder] { return Holder; });
  const std::size_t Other = (Holder + 1) % Count;
  runLoad(Fleet, milliseconds(5), 200 * Rate, [Other] { return Other; });
  wake(Fleet, Holder);
  flood(Fleet, milliseconds(500));
  return excessOf(Fleet);
}

double loadJumpsWhileTokensAreHeld(unsigned Seed, share_settings Settings) {
  Settings.Shares.MinTtl = LongTtl;
  share_fleet Fleet = startedFleet(Seed, Settings);
  const std::size_t Holder = (giverIndex(Fleet) + 1) % Count;
  runLoad(Fleet, milliseconds(1500), 0.9 * Rate, [Holder] { return Holder; });
  runLoad(Fleet, milliseconds(100), 50 * Rate, anyNode(Fleet));
  return excessOf(Fleet);
}

double datagramsAreLateCrossedAndDoubled(unsigned Seed,
                                         share_settings Settings) {
  share_fleet Fleet = makeShareFleet(Count, Seed, Rate, Burst, Settings);
  Fleet.Faults = {0.1, 0.3, milliseconds(15), 0.1};
  flood(Fleet, milliseconds(10000));
  return excessOf(Fleet);
}

double giverDrains(unsigned Seed, share_settings Settings) {
  share_fleet Fleet = startedFleet(Seed, Settings);
  giverIsDrained(Fleet);
  flood(Fleet, milliseconds(3000));
  return excessOf(Fleet);
}

struct fault_case {
  const char *Name;
  scenario Run;
};

constexpr std::array Scenarios = std::to_array<fault_case>({
    {"giver is killed", giverIsKilled},
    {"giver pauses over its lease", giverPausesOverItsLease},
    {"giver is cut from all", giverIsCutFromAll},
    {"giver is cut from the store", giverIsCutFromTheStore},
    {"store comes back for others only", storeComesBackForOthersOnly},
    {"holder pauses with tokens", holderPausesWithTokens},
    {"datagrams are late, crossed, doubled", datagramsAreLateCrossedAndDoubled},
    {"giver pauses in a renewal", giverPausesInARenewal},
    {"giver is not heard", giverIsNotHeard},
    {"load jumps while tokens are held", loadJumpsWhileTokensAreHeld},
    {"giver drains", giverDrains},
});

constexpr unsigned Seeds = 3;

} // namespace

// A customer floods all instances with five times its rate while the giver or
// a holder dies, sleeps or is cut off, the store goes down, and datagrams are
// lost, late, crossed and doubled. In no window may the fleet as a whole serve
// more than burst + rate * length.
Test(share_bound, no_window_is_above_burst_and_rate) {
  double Worst = -Burst;
  for (const fault_case &Case : Scenarios) {
    double Excess = -Burst;
    for (unsigned Seed = 1; Seed <= Seeds; ++Seed)
      Excess = std::max(Excess, Case.Run(Seed, {}));
    std::cerr << Case.Name << ": excess " << Excess << "\n";
    Worst = std::max(Worst, Excess);
  }
  cr_assert(Worst <= Rounding);
}

// Each guard switched off lets one of these stories exceed the bound, so the
// checker sees what each of them is for.
Test(share_bound, without_each_guard_a_window_is_above) {
  struct guard {
    const char *Name;
    void (*SwitchOff)(share_settings &);
    scenario Run;
  };
  const std::vector<guard> Guards{
      {"count outstanding",
       [](share_settings &Off) { Off.Shares.CountOutstanding = false; },
       loadJumpsWhileTokensAreHeld},
      {"heed expiry",
       [](share_settings &Off) { Off.Shares.HeedExpiry = false; },
       holderPausesWithTokens},
      {"match numbers",
       [](share_settings &Off) { Off.Shares.MatchNumbers = false; },
       datagramsAreLateCrossedAndDoubled},
      {"taker waits", [](share_settings &Off) { Off.Lease.TakerWaits = false; },
       giverIsNotHeard},
      {"holder heeds end",
       [](share_settings &Off) { Off.Lease.HolderHeedsEnd = false; },
       giverIsCutFromAll},
      {"extension needs majority",
       [](share_settings &Off) { Off.Lease.ExtensionNeedsMajority = false; },
       giverIsCutFromAll},
      {"extension heeds contact",
       [](share_settings &Off) { Off.Lease.ExtensionHeedsContact = false; },
       giverIsCutFromTheStore},
      {"count from sending",
       [](share_settings &Off) { Off.Lease.CountFromSending = false; },
       giverPausesInARenewal},
  };
  std::size_t Missed = 0;
  for (const guard &Guard : Guards) {
    share_settings Settings;
    Guard.SwitchOff(Settings);
    const double Worst = Guard.Run(1, Settings);
    std::cerr << "without \"" << Guard.Name << "\": excess " << Worst << "\n";
    Missed += Worst <= Rounding ? 1 : 0;
  }
  cr_assert(Missed == 0);
}
