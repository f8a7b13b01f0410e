#pragma once

#include "share_fleet.hpp"

#include <iostream>
#include <span>

/// Scenarios with faults of allocators and consumers under a flood of five
/// times the rate, and the worst excess over the bound in each.
namespace redwinggw::control::testing {

constexpr double Rate = 200;
constexpr double Burst = 20;
constexpr std::size_t Count = 5;
constexpr milliseconds Start{4000};
/// Long enough that a consumer holds much of the burst.
constexpr milliseconds LongTtl{200};
/// For times rounded to the steps of the test.
constexpr double Rounding = 0.01;

inline double excessOf(const share_fleet &Fleet) {
  return worstExcess(Fleet.History, Rate, Burst);
}

inline void flood(share_fleet &Fleet, milliseconds Time) {
  runLoad(Fleet, Time, 5 * Rate, anyNode(Fleet));
}

/// A fleet after some load, so that the lease is held and the bucket nearly
/// full.
inline share_fleet startedFleet(unsigned Seed, share_settings Settings = {}) {
  share_fleet Fleet = makeShareFleet(Count, Seed, Rate, Burst, Settings);
  runLoad(Fleet, Start, Rate / 2, anyNode(Fleet));
  return Fleet;
}

/// Cuts \p Index off from all others, in both directions.
inline void isolate(share_fleet &Fleet, std::size_t Index) {
  for (std::size_t Other = 0; Other < Fleet.Nodes.size(); ++Other) {
    Fleet.Cuts.insert({Index, Other});
    Fleet.Cuts.insert({Other, Index});
  }
}

/// Runs a scenario under \p Settings and returns its worst excess.
using scenario = double (*)(unsigned Seed, share_settings Settings);

inline double allocatorIsKilled(unsigned Seed, share_settings Settings) {
  share_fleet Fleet = startedFleet(Seed, Settings);
  Fleet.Nodes[allocatorIndex(Fleet)].Up = false;
  flood(Fleet, milliseconds(8000));
  return excessOf(Fleet);
}

inline double allocatorPausesOverItsLease(unsigned Seed,
                                          share_settings Settings) {
  share_fleet Fleet = startedFleet(Seed, Settings);
  const std::size_t Allocator = allocatorIndex(Fleet);
  Fleet.Nodes[Allocator].Paused = true;
  flood(Fleet, milliseconds(5000));
  resumeNode(Fleet, Allocator);
  flood(Fleet, milliseconds(2000));
  return excessOf(Fleet);
}

inline double allocatorIsCutFromAll(unsigned Seed, share_settings Settings) {
  share_fleet Fleet = startedFleet(Seed, Settings);
  const std::size_t Allocator = allocatorIndex(Fleet);
  Fleet.Nodes[Allocator].ReachesStore = false;
  isolate(Fleet, Allocator);
  flood(Fleet, milliseconds(12000));
  return excessOf(Fleet);
}

inline double allocatorIsCutFromTheStore(unsigned Seed,
                                         share_settings Settings) {
  share_fleet Fleet = startedFleet(Seed, Settings);
  Fleet.Nodes[allocatorIndex(Fleet)].ReachesStore = false;
  flood(Fleet, milliseconds(12000));
  return excessOf(Fleet);
}

inline double storeComesBackForOthersOnly(unsigned Seed,
                                          share_settings Settings) {
  share_fleet Fleet = startedFleet(Seed, Settings);
  Fleet.StoreUp = false;
  flood(Fleet, milliseconds(6000));
  Fleet.Nodes[allocatorIndex(Fleet)].ReachesStore = false;
  Fleet.StoreUp = true;
  flood(Fleet, milliseconds(8000));
  return excessOf(Fleet);
}

/// The allocator pauses between sending a renewal and receiving the answer.
inline double allocatorPausesInARenewal(unsigned Seed,
                                        share_settings Settings) {
  share_fleet Fleet = startedFleet(Seed, Settings);
  const std::size_t Allocator = allocatorIndex(Fleet);
  while (Fleet.Nodes[Allocator].Shares.Committing.empty())
    step(Fleet);
  Fleet.Nodes[Allocator].Paused = true;
  flood(Fleet, milliseconds(6000));
  isolate(Fleet, Allocator);
  Fleet.Nodes[Allocator].ReachesStore = false;
  resumeNode(Fleet, Allocator);
  flood(Fleet, milliseconds(3000));
  return excessOf(Fleet);
}

/// The others receive nothing from the allocator and consider it dead.
inline double allocatorCannotSend(unsigned Seed, share_settings Settings) {
  share_fleet Fleet = startedFleet(Seed, Settings);
  const std::size_t Allocator = allocatorIndex(Fleet);
  for (std::size_t Other = 0; Other < Count; ++Other)
    Fleet.Cuts.insert({Allocator, Other});
  flood(Fleet, milliseconds(10000));
  return excessOf(Fleet);
}

inline double consumerPausesWithTokens(unsigned Seed, share_settings Settings) {
  Settings.Shares.MinTtl = LongTtl;
  share_fleet Fleet = startedFleet(Seed, Settings);
  const std::size_t Consumer = (allocatorIndex(Fleet) + 1) % Count;
  runLoad(Fleet, milliseconds(1500), 0.4 * Rate,
          [Consumer] { return Consumer; });
  Fleet.Nodes[Consumer].Paused = true;
  runLoad(Fleet, milliseconds(1000), 1, [Consumer] { return Consumer; });
  const std::size_t Other = (Consumer + 1) % Count;
  runLoad(Fleet, milliseconds(5), 200 * Rate, [Other] { return Other; });
  resumeNode(Fleet, Consumer);
  flood(Fleet, milliseconds(500));
  return excessOf(Fleet);
}

inline double loadJumpsWhileTokensAreHeld(unsigned Seed,
                                          share_settings Settings) {
  Settings.Shares.MinTtl = LongTtl;
  share_fleet Fleet = startedFleet(Seed, Settings);
  const std::size_t Consumer = (allocatorIndex(Fleet) + 1) % Count;
  runLoad(Fleet, milliseconds(1500), 0.9 * Rate,
          [Consumer] { return Consumer; });
  runLoad(Fleet, milliseconds(100), 50 * Rate, anyNode(Fleet));
  return excessOf(Fleet);
}

inline double
datagramsAreDelayedReorderedAndDuplicated(unsigned Seed,
                                          share_settings Settings) {
  share_fleet Fleet = makeShareFleet(Count, Seed, Rate, Burst, Settings);
  Fleet.Faults = {0.1, 0.3, milliseconds(15), 0.1};
  flood(Fleet, milliseconds(10000));
  return excessOf(Fleet);
}

inline double allocatorDrains(unsigned Seed, share_settings Settings) {
  share_fleet Fleet = startedFleet(Seed, Settings);
  allocatorIsDrained(Fleet);
  flood(Fleet, milliseconds(3000));
  return excessOf(Fleet);
}

struct scenario_case {
  const char *Name;
  scenario Run;
};

constexpr unsigned ScenarioSeeds = 3;

/// The worst excess over the bound in any of \p Scenarios, each with all seeds.
inline double worstOf(std::span<const scenario_case> Scenarios) {
  double Worst = -Burst;
  for (const scenario_case &Case : Scenarios) {
    double Excess = -Burst;
    for (unsigned Seed = 1; Seed <= ScenarioSeeds; ++Seed)
      Excess = std::max(Excess, Case.Run(Seed, {}));
    std::cerr << Case.Name << ": excess " << Excess << "\n";
    Worst = std::max(Worst, Excess);
  }
  return Worst;
}

} // namespace redwinggw::control::testing
