#include "redwinggw/control/membership_reports.hpp"
#include "redwinggw/control/relays.hpp"

#include "relay_fleet.hpp"

#include <algorithm>
#include <utility>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

/// Heartbeats that an instance sends in a second, answers included: the maximum
/// over the instances that are no relays, and over all.
std::pair<std::uint64_t, std::uint64_t> sentInASecond(fleet &Fleet) {
  std::vector<std::uint64_t> Before;
  Before.reserve(Fleet.Instances.size());
  for (const fleet_instance &Instance : Fleet.Instances)
    Before.push_back(Instance.Membership.Sequence);
  run(Fleet, milliseconds(1000));
  std::pair<std::uint64_t, std::uint64_t> Most;
  for (std::size_t Index = 0; Index < Before.size(); ++Index) {
    const membership &Membership = Fleet.Instances[Index].Membership;
    const std::uint64_t Sent = Membership.Sequence - Before[Index];
    Most.second = std::max(Most.second, Sent);
    if (!Membership.Relay)
      Most.first = std::max(Most.first, Sent);
  }
  return Most;
}

/// Stops all relays and waits until others have replaced them.
void replaceRelays(fleet &Fleet) {
  for (const std::size_t Relay : relaysOf(Fleet))
    Fleet.Instances[Relay].Up = false;
  run(Fleet, milliseconds(3000));
}

} // namespace

Test(relays, are_two_in_each_zone_of_a_large_fleet) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(2000));
  cr_assert(relaysOf(Fleet).size() == 4);
  cr_assert(allInContact(Fleet));
}

Test(relays, are_all_instances_of_a_small_fleet) {
  fleet Fleet = makeFleet(9);
  run(Fleet, milliseconds(2000));
  cr_assert(relaysOf(Fleet).size() == 9);
}

Test(relays, are_those_with_the_most_capacity) {
  fleet Fleet = makeFleet(30);
  for (fleet_instance &Instance : Fleet.Instances) {
    std::vector<storage::listed_instance> List;
    for (std::size_t Index = 0; Index < 30; ++Index) {
      List.push_back(listed(Index));
      List.back().Capacity = Index >= 24 ? 0.5 : 0.1;
    }
    const std::size_t Own = indexOf(Instance.Membership.Self.Name);
    Instance.Membership.Self.Capacity = List[Own].Capacity;
    onList(Instance.Membership, List, Fleet.Now);
  }
  run(Fleet, milliseconds(2000));
  cr_assert(relaysOf(Fleet) == std::vector<std::size_t>({24, 25, 26, 27}));
}

// Guards against heartbeats whose number grows with the fleet.
Test(relays, keep_an_instances_heartbeats_the_same_at_any_size) {
  fleet Small = makeFleet(30);
  fleet Large = makeFleet(300);
  run(Small, milliseconds(2000));
  run(Large, milliseconds(2000));
  cr_assert(sentInASecond(Large).first <= sentInASecond(Small).first);
  cr_assert(allInContact(Large));
}

Test(relays, are_replaced_when_they_die) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(2000));
  replaceRelays(Fleet);
  cr_assert(relaysOf(Fleet).size() == 4);
  cr_assert(allInContact(Fleet));
  for (const fleet_instance &Instance : Fleet.Instances)
    cr_assert(!Instance.Up ||
              inContactWithMajority(Instance.Membership, Fleet.Now));
}

// Guards against retrying dead relays instead of using live ones.
Test(relays, stay_replaced_while_the_former_ones_are_dead) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(2000));
  replaceRelays(Fleet);
  for (int Step = 0; Step < 200; ++Step) {
    run(Fleet, milliseconds(50));
    cr_assert(allInContact(Fleet), "after %d ms", 50 * Step);
  }
}

Test(relays, are_asked_again_when_they_are_back) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(2000));
  const auto Before = relaysOf(Fleet);
  Fleet.Instances[Before.front()].Up = false;
  run(Fleet, milliseconds(3000));
  Fleet.Instances[Before.front()].Up = true;
  run(Fleet, milliseconds(6000));
  cr_assert(relaysOf(Fleet) == Before);
}

Test(relays, give_up_their_place_when_they_leave) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(2000));
  const std::size_t Leaving = relaysOf(Fleet).front();
  deliver(Fleet, onLeave(Fleet.Instances[Leaving].Membership, Fleet.Now));
  run(Fleet, milliseconds(1500));
  const auto Relays = relaysOf(Fleet);
  cr_assert(Relays.size() == 4 &&
            std::ranges::find(Relays, Leaving) == Relays.end());
  cr_assert(allInContact(Fleet));
  for (const fleet_instance &Instance : Fleet.Instances)
    if (const member *Member = findMember(Instance.Membership, nameOf(Leaving)))
      cr_assert(Member->State == member_state::Leaving);
}

// Guards against instances that lose contact with everybody because they cannot
// reach the relays of their zone.
Test(relays, are_chosen_anew_by_a_part_of_a_zone_that_is_cut_off) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(2000));
  // The second half of zone z1 reaches only itself.
  const auto IsApart = [](std::size_t Index) {
    return Index >= 30 && Index % 2 == 1;
  };
  Fleet.Connected = [&](std::size_t From, std::size_t To) {
    return IsApart(From) == IsApart(To);
  };
  run(Fleet, milliseconds(4000));
  cr_assert(!inContactWithMajority(Fleet.Instances[31].Membership, Fleet.Now));
  cr_assert(inContactWithMajority(Fleet.Instances[1].Membership, Fleet.Now));
  const membership &Apart = Fleet.Instances[35].Membership;
  cr_assert(isInContact(Apart, *findMember(Apart, "i59"), Fleet.Now));
  cr_assert(!isInContact(Apart, *findMember(Apart, "i1"), Fleet.Now));
}
