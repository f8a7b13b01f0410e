#include "redwinggw/control/demand_changes.hpp"

#include "membership_fleet.hpp"

#include <array>
#include <random>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

using demand_list = std::vector<wire::demand_report>;

constexpr std::size_t Size = 40;
/// An instance that is no relay, and the zone that it is in.
constexpr std::size_t Reporter = 31;

fleet runningFleet() {
  fleet Fleet = makeFleet(Size);
  run(Fleet, milliseconds(2000));
  return Fleet;
}

/// What the relays of the zone of \p From hold of its demands.
std::vector<demand_list> heldByRelays(const fleet &Fleet, std::size_t From) {
  std::vector<demand_list> Held;
  for (const fleet_instance &Instance : Fleet.Instances) {
    const membership &Membership = Instance.Membership;
    const member *Member = findMember(Membership, nameOf(From));
    if (Instance.Up && Membership.Relay && Member != nullptr &&
        Member->Zone == Membership.Self.Zone)
      Held.push_back(Member->Report.Demands);
  }
  return Held;
}

bool allHold(const fleet &Fleet, std::size_t From, const demand_list &Demands) {
  const auto Held = heldByRelays(Fleet, From);
  return Held.size() == 2 &&
         std::ranges::all_of(
             Held, [&](const demand_list &Each) { return Each == Demands; });
}

/// The demands in the next heartbeats of \p From.
std::vector<demand_list> nextDemands(fleet &Fleet, std::size_t From) {
  membership Copy = Fleet.Instances[From].Membership;
  std::vector<demand_list> Sent;
  for (const peer_send &Send : onTick(Copy, Fleet.Now + milliseconds(200)))
    Sent.push_back(std::get<wire::peer_report>(Send.Datagram.Body).Demands);
  return Sent;
}

/// Fleet in which the demands of Reporter have reached the relays.
fleet fleetWithDemands() {
  fleet Fleet = runningFleet();
  Fleet.Instances[Reporter].Membership.Local.Demands = {{1, 4, 0}, {2, 5, 0}};
  run(Fleet, milliseconds(1000));
  return Fleet;
}

} // namespace

// Guards against heartbeats that repeat what their receiver holds.
Test(demand_changes, are_all_that_a_heartbeat_carries) {
  fleet Fleet = fleetWithDemands();
  membership &Sender = Fleet.Instances[Reporter].Membership;
  cr_assert(allHold(Fleet, Reporter, Sender.Local.Demands));
  Sender.Local.Demands[1].Rate = 7;
  const auto Sent = nextDemands(Fleet, Reporter);
  cr_assert(Sent.size() == 2);
  cr_assert(Sent.front() == demand_list({{2, 7, 0}}));
}

// Guards against a relay that keeps a demand whose change or end was lost.
Test(demand_changes, arrive_though_datagrams_are_lost) {
  fleet Fleet = runningFleet();
  membership &Sender = Fleet.Instances[Reporter].Membership;
  std::mt19937 Random{3};
  Fleet.Connected = [&](std::size_t, std::size_t) { return Random() % 3 != 0; };
  for (int Round = 0; Round < 40; ++Round) {
    Sender.Local.Demands.clear();
    for (std::uint32_t Customer = 1; Customer < 9; ++Customer)
      if (Random() % 2 == 0)
        Sender.Local.Demands.push_back(
            {Customer, static_cast<float>(1 + Random() % 3), 0});
    run(Fleet, milliseconds(200));
  }
  Fleet.Connected = [](std::size_t, std::size_t) { return true; };
  // Relays that seemed dead are tried again after RelaySkipTime.
  run(Fleet, milliseconds(4000));
  cr_assert(allHold(Fleet, Reporter, Sender.Local.Demands));
}

// Guards against changes that are sent to a process which has lost the list.
Test(demand_changes, are_no_changes_for_an_instance_that_restarts) {
  fleet Fleet = fleetWithDemands();
  membership &Sender = Fleet.Instances[Reporter].Membership;
  for (fleet_instance &Instance : Fleet.Instances) {
    if (!Instance.Membership.Relay)
      continue;
    membership Fresh = makeMembership(Instance.Membership.Self);
    Fresh.Self.Incarnation += 1;
    std::vector<storage::listed_instance> List;
    std::ranges::transform(std::views::iota(std::size_t{0}, Size),
                           std::back_inserter(List), listed);
    onList(Fresh, List, Fleet.Now);
    Instance.Membership = std::move(Fresh);
  }
  run(Fleet, milliseconds(1000));
  cr_assert(allHold(Fleet, Reporter, Sender.Local.Demands));
}

// Guards against numbering of a former process that is taken for the current
// one's.
Test(demand_changes, begin_anew_when_their_sender_restarts) {
  fleet Fleet = fleetWithDemands();
  membership &Sender = Fleet.Instances[Reporter].Membership;
  Sender.Self.Incarnation += 1;
  Sender.PublishedDemands = {};
  Sender.Local.Demands = {{3, 6, 0}};
  run(Fleet, milliseconds(1000));
  cr_assert(allHold(Fleet, Reporter, Sender.Local.Demands));
}

// Guards against demands that a relay left out of its answers, and that are
// missing when they decide again.
Test(demand_changes, are_complete_after_some_were_left_out) {
  fleet Fleet = runningFleet();
  membership &Relay = Fleet.Instances[1].Membership;
  cr_assert(Relay.Relay);
  const auto Held = [&] {
    const membership &Membership = Fleet.Instances[Reporter].Membership;
    return findMember(Membership, nameOf(1))->Report.Demands;
  };
  Relay.Local.Demands = {{1, 4, 0}, {2, 5, 0}};
  run(Fleet, milliseconds(600));
  cr_assert(Held() == Relay.Local.Demands);
  const demand_list Before = Relay.Local.Demands;
  Relay.Local.CentralizesBuckets = true;
  Relay.Local.Demands = {{2, 9, 0}, {3, 1, 0}};
  run(Fleet, milliseconds(600));
  cr_assert(Held() == Before);
  Relay.Local.CentralizesBuckets = false;
  run(Fleet, milliseconds(600));
  cr_assert(Held() == Relay.Local.Demands);
}

// Guards against changes to an unknown version that are taken for all sums:
// customers without an entry would count as idle.
Test(demand_changes, to_sums_that_are_not_held_take_no_effect) {
  wire::peer_report Held;
  Held.Digest.Scope = wire::digest_scope::Fleet;
  Held.Digest.Demands = {9, 0, {{1, 4}, {2, 5}}, {}, {0, 6}};
  wire::peer_report Changes;
  Changes.Digest.Scope = wire::digest_scope::Fleet;
  Changes.Digest.Demands = {9, 0, {{2, 0}}, {}, {5, 8}};
  const auto Merged = mergeReport(Held, Changes);
  cr_assert(Merged.Digest.Demands.Sums ==
            std::vector<wire::demand_sum>({{1, 4}}));
  cr_assert(Merged.Digest.Demands.Range == wire::list_range({0, 8}));
  Changes.Digest.Demands.Range.Base = 7;
  cr_assert(mergeReport(Held, Changes).Digest.Scope ==
            wire::digest_scope::None);
  Held.Digest.Scope = wire::digest_scope::Zone;
  Changes.Digest.Demands.Range.Base = 5;
  cr_assert(mergeReport(Held, Changes).Digest.Scope ==
            wire::digest_scope::None);
}

// Guards against small changes that wait for ever, and against removals and
// changes of silent instances that wait at all.
Test(demand_changes, of_sums_are_published_when_they_matter) {
  const instant Now{milliseconds(1000)};
  publication_limits Limits;
  Limits.Exact = false;
  published_sums Published;
  wire::demand_digest Digest{9, 0, {{1, 10}}, {}, {}};
  const auto SumAt = [&](milliseconds Time) {
    publishSums(Published, Digest, Limits, Now + Time);
    return Published.Sums.at(1).Value.Rate;
  };
  cr_assert(SumAt(milliseconds(0)) == 10);
  Digest.Sums[0].Rate = 14;
  cr_assert(SumAt(milliseconds(200)) == 10);
  cr_assert(SumAt(milliseconds(1000)) == 14);
  Digest.Sums[0].Rate = 22;
  cr_assert(SumAt(milliseconds(1200)) == 22);
  Digest.Sums[0].Rate = 20;
  Digest.Silent = {{1, 2, 0.1F, 0}};
  cr_assert(SumAt(milliseconds(1400)) == 20);
  Digest.Sums[0].Rate = 18;
  Digest.Contributors = 8;
  cr_assert(SumAt(milliseconds(1600)) == 18);
  Digest.Sums.clear();
  cr_assert(SumAt(milliseconds(1800)) == 0);
}
