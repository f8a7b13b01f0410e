#include "redwinggw/control/centralized_buckets.hpp"

#include "centralized_fleet.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

// Guards against an owner, or most of a rate, on each side of a partition.
Test(centralized_buckets, keep_a_flood_within_the_rate_in_a_partition) {
  for (std::size_t Border = 1; Border < Zones; ++Border) {
    demand_fleet Fleet = centralizedFleet(200, 200);
    Fleet.StoreReached = true;
    Fleet.load(evenly(125), milliseconds(8000));
    for (std::size_t Index = 0; Index < Count; ++Index)
      Fleet.Cut[Index] = Index % Zones < Border;
    cr_assert(keepsRate(Fleet, 200), "border %zu", Border);
  }
}

// Guards against an owner that goes on beside its successor.
Test(centralized_buckets,
     keep_a_flood_within_the_rate_when_the_owner_is_cut_off) {
  demand_fleet Fleet = centralizedFleet(200, 200);
  Fleet.StoreReached = true;
  Fleet.load(evenly(125), milliseconds(8000));
  const std::size_t Owner = ownersOf(Fleet).front();
  Fleet.Cut[Owner] = true;
  cr_assert(keepsRate(Fleet, 200));
  Fleet.Cut[Owner] = false;
  cr_assert(keepsRate(Fleet, 200));
  cr_assert(ownersOf(Fleet).size() == 1);
}

// Guards against two owners at the same time, however briefly.
Test(centralized_buckets, never_have_two_owners) {
  constexpr milliseconds Step{50};
  for (std::size_t Start = 0; Start < 20; ++Start) {
    demand_fleet Fleet = centralizedFleet(200, 200);
    Fleet.StoreReached = true;
    // The cut falls at a different time between heartbeats in each round.
    Fleet.load(evenly(125), milliseconds(3000) + Start * Step);
    const std::size_t Owner = ownersOf(Fleet).front();
    for (const bool Cut : {true, false}) {
      Fleet.Cut[Owner] = Cut;
      for (milliseconds Past{0}; Past < milliseconds(4000); Past += Step) {
        Fleet.load(evenly(125), Step);
        cr_assert(ownersOf(Fleet).size() <= 1, "start %zu, cut %d, %ld ms",
                  Start, Cut, static_cast<long>(Past.count()));
      }
    }
    cr_assert(ownersOf(Fleet) == std::vector<std::size_t>(1, Owner));
  }
}

// Guards against an owner on each side of a cut, where instances that reach
// both sides make either a majority.
Test(centralized_buckets,
     keep_a_flood_within_the_rate_in_a_cut_with_instances_that_reach_both) {
  for (const bool RelaysReachBoth : {true, false})
    for (const std::size_t Both : {4U, 8U, 12U, 20U}) {
      demand_fleet Fleet = centralizedFleet(200, 200);
      Fleet.StoreReached = true;
      Fleet.load(evenly(125), milliseconds(8000));
      // Relays are those whose names come first.
      const std::size_t First = RelaysReachBoth ? 0 : Count - Both;
      for (std::size_t Index = 0; Index < Count; ++Index) {
        Fleet.Cut[Index] = Index / Zones % 2 == 0;
        if (Index >= First && Index < First + Both)
          Fleet.ReachesBoth.insert(Index);
      }
      cr_assert(keepsRate(Fleet, 200), "%zu reach both, relays %d", Both,
                RelaysReachBoth);
    }
}
