#include "share_fleet.hpp"

#include <algorithm>
#include <iostream>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

constexpr double Rate = 200;
constexpr double LargeBurst = 100;
constexpr std::size_t Count = 5;
constexpr milliseconds Start{4000};

/// Requests within the rate, and how many of them were refused.
struct refusals {
  std::uint64_t Made = 0;
  std::uint64_t Refused = 0;
};

using fault_function = void (*)(share_fleet &);

refusals refusedInside(double Load, bool OneNode, fault_function Fault) {
  share_fleet Fleet = makeShareFleet(Count, 7, Rate, LargeBurst);
  runLoad(Fleet, Start, Rate / 2, anyNode(Fleet));
  Fleet.Refused = 0;
  // The node whose callers are observed is not the one that may be killed.
  const std::size_t Watched = (allocatorIndex(Fleet) + 1) % Count;
  const auto Pick = [&Fleet, OneNode, Watched] {
    return OneNode ? Watched : Fleet.Random() % Count;
  };
  ideal_bucket Entitled{Rate, LargeBurst, 0, Fleet.Now};
  refusals Refusals;
  Fault(Fleet);
  Refusals.Made =
      runLoad(Fleet, milliseconds(20000), Load * Rate, Pick, &Entitled);
  Refusals.Refused = Fleet.Refused;
  return Refusals;
}

void nothing(share_fleet &) {}
void storeGoesDown(share_fleet &Fleet) { Fleet.StoreUp = false; }
void datagramsAreLost(share_fleet &Fleet) {
  Fleet.Faults = {0.01, 0.01, milliseconds(3), 0.01};
}
void allocatorDies(share_fleet &Fleet) {
  Fleet.Nodes[allocatorIndex(Fleet)].Up = false;
}

} // namespace

// Customers that stay within their rate and burst must not be refused, with all
// their load at one instance or spread, while shares change, the allocator
// drains, datagrams are lost, or the store is down for all for 20 s.
Test(share_floor, requests_inside_the_rate_are_not_refused) {
  struct load_case {
    const char *Name;
    double Load;
    bool OneNode;
    fault_function Fault;
  };
  const std::vector<load_case> Cases{
      {"half the rate, one node", 0.5, true, nothing},
      {"half the rate, spread", 0.5, false, nothing},
      {"95% of the rate, one node", 0.95, true, nothing},
      {"95% of the rate, spread", 0.95, false, nothing},
      {"twice the rate thinned to it, one node", 2, true, nothing},
      {"twice the rate thinned to it, spread", 2, false, nothing},
      {"90%, store down for all", 0.9, false, storeGoesDown},
      {"90%, allocator drains", 0.9, false, allocatorIsDrained},
      {"90%, 1% of datagrams lost", 0.9, false, datagramsAreLost},
  };
  constexpr double Allowed = 0.001;
  bool Within = true;
  for (const load_case &Case : Cases) {
    const refusals Seen = refusedInside(Case.Load, Case.OneNode, Case.Fault);
    std::cerr << Case.Name << ": " << Seen.Refused << " of " << Seen.Made
              << " refused\n";
    Within = Within && static_cast<double>(Seen.Refused) <=
                           Allowed * static_cast<double>(Seen.Made);
  }
  cr_assert(Within);
}

// The allocator dies. Until its lease and its grants have expired nobody can
// allocate without risking twice the rate. The refusals are printed; after that
// requests must be admitted again.
Test(share_floor, requests_are_admitted_again_after_the_allocator_died) {
  const refusals Seen = refusedInside(0.5, true, allocatorDies);
  std::cerr << "allocator dies: " << Seen.Refused << " of " << Seen.Made
            << " refused\n";
  cr_assert(Seen.Refused < Seen.Made / 2);
}

// The store is down for a minute. The age of its last answer, which the
// instances report to each other, must not decrease as it passes among them:
// allocators would consider the outage over, stop, and refuse requests within
// the rate.
Test(share_floor, age_of_the_stores_last_answer_does_not_decrease) {
  share_fleet Fleet = makeShareFleet(Count, 3, Rate, LargeBurst);
  runLoad(Fleet, Start, 1, anyNode(Fleet));
  Fleet.StoreUp = false;
  const instant Down = Fleet.Now;
  runLoad(Fleet, milliseconds(60000), 1, anyNode(Fleet));
  constexpr milliseconds TransitTime{100};
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const fleet_node &Node = Fleet.Nodes[Index];
    const auto ContactAt = lastStoreContact(Node.Membership.Store);
    cr_assert(ContactAt.value_or(Fleet.Now) - Node.Offset <=
              Down + TransitTime);
  }
}

// The store fails seconds after an instance came back, when the lease is about
// to be handed over to that instance. Either its holder stops allocating, the
// release never reaches the store, and nobody allocates until the store is
// back. Or the holder keeps the lease, but the instance that was to get it, and
// all that ask that one, no longer learn who holds it.
Test(share_floor,
     a_lease_about_to_be_handed_over_is_used_while_the_store_is_down) {
  share_fleet Fleet = makeShareFleet(Count, 7, Rate, LargeBurst);
  runLoad(Fleet, Start, Rate / 2, anyNode(Fleet));
  fleet_node &Preferred = Fleet.Nodes[allocatorIndex(Fleet)];
  Preferred.ReachesStore = false;
  runLoad(Fleet, milliseconds(10000), Rate / 2, anyNode(Fleet));
  cr_assert(std::ranges::any_of(Fleet.Nodes, [&](const fleet_node &Node) {
    return &Node != &Preferred && Node.Shares.Leases[0].Holding;
  }));
  Preferred.ReachesStore = true;
  runLoad(Fleet, milliseconds(1500), Rate / 2, anyNode(Fleet));
  Fleet.StoreUp = false;
  Fleet.Refused = 0;
  runLoad(Fleet, milliseconds(20000), Rate / 2, anyNode(Fleet));
  std::cerr << "about to be handed over: " << Fleet.Refused << " refused\n";
  cr_assert(Fleet.Refused == 0);
}
