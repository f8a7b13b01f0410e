#include "share_fleet.hpp"

#include <algorithm>
#include <iostream>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

constexpr double Rate = 200;
constexpr double RoomyBurst = 100;
constexpr std::size_t Count = 5;
constexpr milliseconds Start{4000};

/// Requests inside the rate that were refused, of all such.
struct refusals {
  std::uint64_t Made = 0;
  std::uint64_t Refused = 0;
};

using story = void (*)(share_fleet &);

refusals refusedInside(double Load, bool OneNode, story Fault) {
  share_fleet Fleet = makeShareFleet(Count, 7, Rate, RoomyBurst);
  runLoad(Fleet, Start, Rate / 2, anyNode(Fleet));
  Fleet.Refused = 0;
  // The node whose callers are watched is not the one that may be killed.
  const std::size_t Watched = (giverIndex(Fleet) + 1) % Count;
  const auto Pick = [&Fleet, OneNode, Watched] {
    return OneNode ? Watched : Fleet.Random() % Count;
  };
  ideal_bucket Entitled{Rate, RoomyBurst, 0, Fleet.Now};
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
void giverDies(share_fleet &Fleet) {
  Fleet.Nodes[giverIndex(Fleet)].Up = false;
}

} // namespace

// Customers that stay inside their rate and burst must not be refused, with
// all their load at one instance or spread, while shares are moved, the giver
// drains, datagrams get lost, or the store is down for all for 20 s.
Test(share_floor, requests_inside_the_rate_are_not_refused) {
  struct load_case {
    const char *Name;
    double Load;
    bool OneNode;
    story Fault;
  };
  const std::vector<load_case> Cases{
      {"half the rate, one node", 0.5, true, nothing},
      {"half the rate, spread", 0.5, false, nothing},
      {"95% of the rate, one node", 0.95, true, nothing},
      {"95% of the rate, spread", 0.95, false, nothing},
      {"twice the rate thinned to it, one node", 2, true, nothing},
      {"twice the rate thinned to it, spread", 2, false, nothing},
      {"90%, store down for all", 0.9, false, storeGoesDown},
      {"90%, giver drains", 0.9, false, giverIsDrained},
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

// The giver dies. Until its lease and its grants are over nobody can give
// without risking the double. What is lost is printed; the rest must go on.
Test(share_floor, requests_are_admitted_again_after_the_giver_died) {
  const refusals Seen = refusedInside(0.5, true, giverDies);
  std::cerr << "giver dies: " << Seen.Refused << " of " << Seen.Made
            << " refused\n";
  cr_assert(Seen.Refused < Seen.Made / 2);
}

// The store is down for a minute. What the instances tell each other of its
// last answer must not grow younger on its rounds among them: givers would
// take the outage for over, stop, and refuse requests inside the rate.
Test(share_floor, news_of_the_stores_last_answer_does_not_grow_younger) {
  share_fleet Fleet = makeShareFleet(Count, 3, Rate, RoomyBurst);
  runLoad(Fleet, Start, 1, anyNode(Fleet));
  Fleet.StoreUp = false;
  const instant Down = Fleet.Now;
  runLoad(Fleet, milliseconds(60000), 1, anyNode(Fleet));
  constexpr milliseconds OnItsWay{100};
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const fleet_node &Node = Fleet.Nodes[Index];
    const auto ContactAt = lastStoreContact(Node.Membership.Store);
    cr_assert(ContactAt.value_or(Fleet.Now) - Node.Offset <= Down + OnItsWay);
  }
}

// The platform goes down seconds after an instance came back. The lease is
// about to move to that instance: its holder stops giving, the release never
// reaches the store, and nobody gives until the store is back. Or the holder
// keeps it, but the instance to which it would have moved, and all who ask
// that one, no longer learn who holds it.
Test(share_floor, a_lease_about_to_move_is_given_from_while_the_store_is_down) {
  share_fleet Fleet = makeShareFleet(Count, 7, Rate, RoomyBurst);
  runLoad(Fleet, Start, Rate / 2, anyNode(Fleet));
  fleet_node &Preferred = Fleet.Nodes[giverIndex(Fleet)];
  Preferred.SeesStore = false;
  runLoad(Fleet, milliseconds(10000), Rate / 2, anyNode(Fleet));
  cr_assert(std::ranges::any_of(Fleet.Nodes, [&](const fleet_node &Node) {
    return &Node != &Preferred && Node.Shares.Leases[0].Holding;
  }));
  Preferred.SeesStore = true;
  runLoad(Fleet, milliseconds(1500), Rate / 2, anyNode(Fleet));
  Fleet.StoreUp = false;
  Fleet.Refused = 0;
  runLoad(Fleet, milliseconds(20000), Rate / 2, anyNode(Fleet));
  std::cerr << "about to move: " << Fleet.Refused << " refused\n";
  cr_assert(Fleet.Refused == 0);
}
