#include "redwinggw/control/membership_reports.hpp"
#include "redwinggw/control/relays.hpp"

#include "membership_fleet.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

std::vector<std::size_t> relaysOf(const fleet &Fleet) {
  std::vector<std::size_t> Relays;
  for (std::size_t Index = 0; Index < Fleet.Instances.size(); ++Index)
    if (Fleet.Instances[Index].Up && Fleet.Instances[Index].Membership.Relay)
      Relays.push_back(Index);
  return Relays;
}

/// Stops all relays and waits until others have replaced them.
void replaceRelays(fleet &Fleet) {
  for (const std::size_t Relay : relaysOf(Fleet))
    Fleet.Instances[Relay].Up = false;
  run(Fleet, milliseconds(3000));
}

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

bool allInContact(const fleet &Fleet) {
  return std::ranges::all_of(
      Fleet.Instances, [&](const fleet_instance &Instance) {
        const membership &Membership = Instance.Membership;
        return !Instance.Up ||
               std::ranges::all_of(
                   Membership.Members, [&](const member &Member) {
                     return !Fleet.Instances[indexOf(Member.Name)].Up ||
                            isInContact(Membership, Member, Fleet.Now);
                   });
      });
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

// Guards against reporting that an instance is up without what it knows.
Test(relays, leave_out_whoever_knows_more_than_they_pass_on) {
  fleet Fleet = makeFleet(60);
  for (fleet_instance &Instance : Fleet.Instances)
    Instance.Membership.Local.Version = 4;
  run(Fleet, milliseconds(2000));
  Fleet.Instances[41].Membership.Local.Version = 5;
  run(Fleet, milliseconds(1500));
  const membership &Far = Fleet.Instances[40].Membership;
  cr_assert(!isInContact(Far, *findMember(Far, "i41"), Fleet.Now));
  cr_assert(isInContact(Far, *findMember(Far, "i43"), Fleet.Now));
  for (fleet_instance &Instance : Fleet.Instances)
    Instance.Membership.Local.Version = 5;
  run(Fleet, milliseconds(1000));
  cr_assert(isInContact(Far, *findMember(Far, "i41"), Fleet.Now));
  cr_assert(findMember(Far, "i41")->KnownVersion == 5);
}

// Guards against counting acknowledgements that were not given yet.
Test(relays, pass_on_which_version_an_instance_has_in_force) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(2000));
  for (std::size_t Index = 0; Index < 60; ++Index)
    Fleet.Instances[Index].Membership.Local.Version = Index == 43 ? 0 : 7;
  run(Fleet, milliseconds(1000));
  const membership &Far = Fleet.Instances[40].Membership;
  const auto Knowing =
      std::ranges::count_if(Far.Members, [](const member &Member) {
        return Member.KnownVersion >= 7;
      });
  cr_assert(Knowing == 58, "%td", Knowing);
  cr_assert(findMember(Far, "i43")->KnownVersion == 0);
}

// Guards against counting an instance as in contact through a relay that does
// not process claims.
Test(relays, pass_on_nothing_when_told_so) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(2000));
  for (const std::size_t Relay : relaysOf(Fleet))
    Fleet.Instances[Relay].Membership.VouchesForOthers = false;
  run(Fleet, milliseconds(1500));
  const membership &Far = Fleet.Instances[40].Membership;
  cr_assert(!isInContact(Far, *findMember(Far, "i41"), Fleet.Now));
}

// Guards against log positions whose age leaves out the time until the answer
// was sent.
Test(relays, do_not_make_positions_look_younger) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(2000));
  membership &Relay = Fleet.Instances[relaysOf(Fleet).front()].Membership;
  Relay.Local.Positions = {{1, 1, 1, 40}};
  Relay.LocalAt = Fleet.Now;
  const std::size_t Asker = 40;
  cr_assert(Relay.Self.Zone == Fleet.Instances[Asker].Membership.Self.Zone);
  for (peer_send &Send : onTick(Fleet.Instances[Asker].Membership,
                                Fleet.Now + milliseconds(200))) {
    if (Send.Datagram.Receiver != Relay.Self.Name)
      continue;
    cr_assert(admitDatagram(Relay, Send.Datagram));
    const auto Answers =
        onHeartbeat(Relay, Send.Datagram, Fleet.Now + milliseconds(190));
    cr_assert(Answers.size() == 1);
    const auto &Report =
        std::get<wire::peer_report>(Answers.front().Datagram.Body);
    cr_assert(Report.Positions.front().Age == 230);
    return;
  }
  cr_assert(false, "nobody was asked");
}

// Guards against applying the last digest of a former relay to an instance that
// has died since.
Test(relays, are_not_quoted_after_they_have_stopped_to_relay) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(2000));
  const auto Relays = relaysOf(Fleet);
  constexpr std::size_t Dying = 41;
  Fleet.Instances[Dying].Up = false;
  for (const std::size_t Relay : Relays)
    deliver(Fleet, onLeave(Fleet.Instances[Relay].Membership, Fleet.Now));
  for (fleet_instance &Instance : Fleet.Instances)
    Instance.Membership.Local.Version = 7;
  run(Fleet, milliseconds(5000));
  for (std::size_t Index = 0; Index < 60; ++Index) {
    if (Index == Dying)
      continue;
    const membership &Membership = Fleet.Instances[Index].Membership;
    const member *Dead = findMember(Membership, nameOf(Dying));
    cr_assert(!isInContact(Membership, *Dead, Fleet.Now));
    cr_assert(Dead->KnownVersion < 7);
  }
}

// Guards against an instance that takes the first request for a token from
// another one for its restart, and forgets what relays report of it.
Test(relays, are_believed_after_a_first_datagram_of_a_member) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(4000));
  membership &Receiver = Fleet.Instances[40].Membership;
  membership &Sender = Fleet.Instances[51].Membership;
  cr_assert(!findMember(Receiver, "i51")->DirectHeartbeatAt);
  wire::datagram Request = nextDatagram(Sender, "i40", Fleet.Now);
  Request.Body = wire::share_message{};
  cr_assert(admitDatagram(Receiver, Request));
  onTick(Receiver, Fleet.Now);
  cr_assert(findMember(Receiver, "i51")->State == member_state::Alive);
  cr_assert(isInContact(Receiver, *findMember(Receiver, "i51"), Fleet.Now));
}

// Guards against instances that take each other for dead because one of them
// learned of a claim first; then each takes itself for the store reader, and
// begins a move of its own.
Test(relays, report_who_is_up_though_they_may_not_vouch_for_it) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(2000));
  Fleet.Instances[41].Membership.Local.Version = 5;
  for (const std::size_t Relay : relaysOf(Fleet))
    Fleet.Instances[Relay].Membership.VouchesForOthers = false;
  run(Fleet, milliseconds(3000));
  const membership &Far = Fleet.Instances[40].Membership;
  const member &Ahead = *findMember(Far, "i41");
  cr_assert(!isInContact(Far, Ahead, Fleet.Now));
  cr_assert(Ahead.State == member_state::Alive);
  Fleet.Instances[41].Up = false;
  run(Fleet, milliseconds(2000));
  cr_assert(Ahead.State != member_state::Alive);
}

// Guards against ages that are applied to other instances than they are of,
// while the list of a relay and that of an instance differ.
Test(relays, name_members_to_whoever_has_another_list) {
  fleet Fleet = makeFleet(60);
  constexpr std::size_t Joined = 0;
  constexpr std::size_t Other = 40;
  std::vector<storage::listed_instance> List;
  for (std::size_t Index = 1; Index < 60; ++Index)
    List.push_back(listed(Index));
  onList(Fleet.Instances[Other].Membership, List, Fleet.Now);
  run(Fleet, milliseconds(2000));
  cr_assert(allInContact(Fleet));
  Fleet.Instances[Joined].Up = false;
  Fleet.Instances[59].Up = false;
  run(Fleet, milliseconds(1500));
  cr_assert(allInContact(Fleet));
  const membership &Membership = Fleet.Instances[Other].Membership;
  cr_assert(Membership.ListHash != Fleet.Instances[1].Membership.ListHash);
  const auto InContact =
      std::ranges::count_if(Membership.Members, [&](const member &Member) {
        return isInContact(Membership, Member, Fleet.Now);
      });
  cr_assert(InContact == 57, "%td", InContact);
}

// Guards against members that are listed by position for a list which the
// receiver has replaced meanwhile.
Test(relays, do_not_apply_positions_in_another_list) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(2000));
  const membership &Relay = Fleet.Instances[relaysOf(Fleet).front()].Membership;
  const member &Asker = *findMember(Relay, "i40");
  wire::fleet_digest Digest =
      digestFor(Relay, Asker, wire::digest_scope::Fleet, Fleet.Now);
  cr_assert(Digest.Members.empty() && Digest.Packed.Entries.size() == 60);
  membership &Receiver = Fleet.Instances[40].Membership;
  wire::fleet_digest Same = Digest;
  unpackMembers(Receiver, Same);
  cr_assert(Same.Members.size() == 58, "%zu", Same.Members.size());
  std::vector<storage::listed_instance> List;
  for (std::size_t Index = 1; Index < 60; ++Index)
    List.push_back(listed(Index));
  onList(Receiver, List, Fleet.Now);
  unpackMembers(Receiver, Digest);
  cr_assert(Digest.Members.empty());
}

namespace {

/// How often log positions arrive at instance \p At within \p Time, and the
/// longest time between two of them.
std::pair<std::size_t, milliseconds>
positionsWithin(fleet &Fleet, std::size_t At, milliseconds Time) {
  constexpr milliseconds Step{50};
  std::map<std::string, std::uint64_t> Last;
  std::size_t Count = 0;
  milliseconds Gap{0};
  milliseconds Longest{0};
  for (milliseconds Past{0}; Past < Time; Past += Step) {
    run(Fleet, Step);
    Gap += Step;
    for (const member &Member : Fleet.Instances[At].Membership.Members) {
      const bool Arrived = std::exchange(Last[Member.Name], Member.Heartbeat) !=
                               Member.Heartbeat &&
                           !Member.Report.Positions.empty();
      Count += Arrived ? 1 : 0;
      if (Arrived)
        Gap = {};
    }
    Longest = std::max(Longest, Gap);
  }
  return {Count, Longest};
}

} // namespace

// Guards against positions that each instance gets twice, and against a long
// time without any when the relay that sends them dies: reads that may be stale
// would all go to the primary.
Test(relays, send_positions_once_and_go_on_when_one_dies) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(2000));
  for (const std::size_t Relay : relaysOf(Fleet))
    Fleet.Instances[Relay].Membership.Local.Positions = {{1, 1, 1, 40}};
  run(Fleet, milliseconds(1000));
  constexpr std::size_t Reader = 40;
  // Five answers a second of one relay, and a few of the other.
  const auto [Count, Gap] = positionsWithin(Fleet, Reader, milliseconds(3000));
  cr_assert(Count >= 15 && Count <= 20, "%zu", Count);
  const auto Relays = relaysOf(Fleet);
  const std::size_t OfOtherZone = 1;
  cr_assert(Fleet.Instances[OfOtherZone].Membership.Relay);
  cr_assert(positionsWithin(Fleet, OfOtherZone, milliseconds(3000)).first <=
            25);
  Fleet.Instances[Relays.front()].Up = false;
  const auto After = positionsWithin(Fleet, Reader, milliseconds(3000));
  cr_assert(After.second <= milliseconds(800), "%td",
            static_cast<std::ptrdiff_t>(After.second.count()));
}

// Guards against reports that return to a relay what came from one, and against
// leaving out what only the sender knows.
Test(relays, get_only_positions_that_they_have_not_sent) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(2000));
  membership &Reader = Fleet.Instances[40].Membership;
  member &Relay = Reader.Members.front();
  Relay.ReportAt = Fleet.Now - milliseconds(100);
  Relay.Report.Positions = {{1, 1, 5, 40}, {2, 1, 5, 40}, {3, 1, 5, 40}};
  std::vector<wire::position_report> Positions{
      {1, 1, 5, 140}, {2, 1, 6, 139}, {3, 2, 5, 140}, {4, 1, 5, 140}};
  removeRelayedPositions(Reader, Positions, Fleet.Now);
  cr_assert(Positions == std::vector<wire::position_report>(
                             {{2, 1, 6, 139}, {3, 2, 5, 140}, {4, 1, 5, 140}}));
}

// Guards against log positions of all services of a large fleet in each answer,
// of which an instance uses few.
Test(relays, send_positions_of_services_that_the_receiver_uses) {
  std::vector<wire::position_report> Positions;
  for (std::uint32_t Group = 1; Group <= 1000; ++Group)
    Positions.push_back({Group, 1, 1, 10});
  member Receiver;
  auto Kept = Positions;
  keepNeededPositions(Receiver, Kept);
  cr_assert(Kept.size() == 1000, "a build that does not tell gets all");
  Receiver.Report.Capacity = 0.5;
  Receiver.Report.Services = {7, 900, 5000};
  keepNeededPositions(Receiver, Kept);
  cr_assert(Kept.size() == 2 && Kept[0].Group == 7 && Kept[1].Group == 900);
}

// Guards against a store reader that is believed for twice as long by instances
// that know it by relays: they leave the store to it, and miss a change.
Test(relays, do_not_make_a_contact_with_the_store_look_younger) {
  fleet Fleet = makeFleet(32);
  run(Fleet, milliseconds(3000));
  constexpr std::size_t Reader = 0;
  const auto BelievedBy = [&](std::size_t By) {
    const membership &Membership = Fleet.Instances[By].Membership;
    return hasRecentStoreContact(
        Membership, *findMember(Membership, nameOf(Reader)), Fleet.Now);
  };
  constexpr std::size_t OwnZone = 30;
  constexpr std::size_t OtherZone = 31;
  cr_assert(BelievedBy(OwnZone) && BelievedBy(OtherZone));
  Fleet.Instances[Reader].SeesStore = false;
  constexpr milliseconds ThreeHeartbeats{600};
  run(Fleet, membership_limits().MaxStoreContactAge + ThreeHeartbeats);
  cr_assert(!BelievedBy(OwnZone));
  cr_assert(!BelievedBy(OtherZone));
  Fleet.Instances[Reader].SeesStore = true;
  run(Fleet, milliseconds(1000));
  cr_assert(BelievedBy(OwnZone) && BelievedBy(OtherZone));
}
