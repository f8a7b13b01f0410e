#include "redwinggw/control/membership_reports.hpp"
#include "redwinggw/control/relays.hpp"

#include "relay_fleet.hpp"

#include <algorithm>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

// Guards against reporting that an instance is up without what it knows.
Test(relayed_knowledge, leave_out_whoever_knows_more_than_they_pass_on) {
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
Test(relayed_knowledge, pass_on_which_version_an_instance_has_in_force) {
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
Test(relayed_knowledge, pass_on_nothing_when_told_so) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(2000));
  for (const std::size_t Relay : relaysOf(Fleet))
    Fleet.Instances[Relay].Membership.VouchesForOthers = false;
  run(Fleet, milliseconds(1500));
  const membership &Far = Fleet.Instances[40].Membership;
  cr_assert(!isInContact(Far, *findMember(Far, "i41"), Fleet.Now));
}

// Guards against applying the last digest of a former relay to an instance that
// has died since.
Test(relayed_knowledge, are_not_quoted_after_they_have_stopped_to_relay) {
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
Test(relayed_knowledge, are_believed_after_a_first_datagram_of_a_member) {
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
Test(relayed_knowledge, report_who_is_up_though_they_may_not_vouch_for_it) {
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
Test(relayed_knowledge, name_members_to_whoever_has_another_list) {
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

// Guards against a store reader that is believed for twice as long by instances
// that know it by relays: they leave the store to it, and miss a change.
Test(relayed_knowledge, do_not_make_a_contact_with_the_store_look_younger) {
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
