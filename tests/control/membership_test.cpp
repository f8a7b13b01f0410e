#include "membership_fleet.hpp"

#include <algorithm>
#include <random>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

member_state stateAt(const fleet &Fleet, std::size_t By, std::size_t Of) {
  return findMember(Fleet.Instances[By].Membership, nameOf(Of))->State;
}

std::size_t contactCount(const fleet &Fleet, std::size_t By) {
  const membership &Membership = Fleet.Instances[By].Membership;
  return static_cast<std::size_t>(
      std::ranges::count_if(Membership.Members, [&](const member &Member) {
        return isInContact(Membership, Member, Fleet.Now);
      }));
}

} // namespace

Test(membership,
     a_silent_instance_becomes_suspect_then_dead_then_is_forgotten) {
  fleet Fleet = makeFleet(3);
  run(Fleet, milliseconds(1000));
  cr_assert(stateAt(Fleet, 0, 2) == member_state::Alive);
  Fleet.Instances[2].Up = false;
  run(Fleet, milliseconds(1200));
  cr_assert(stateAt(Fleet, 0, 2) == member_state::Suspect);
  run(Fleet, milliseconds(2000));
  cr_assert(stateAt(Fleet, 0, 2) == member_state::Dead);
  cr_assert(inContactWithMajority(Fleet.Instances[0].Membership, Fleet.Now));
  onList(Fleet.Instances[0].Membership, {listed(0), listed(1)}, Fleet.Now);
  cr_assert(findMember(Fleet.Instances[0].Membership, "i2") == nullptr);
}

Test(membership, a_draining_instance_is_leaving_at_once_for_all) {
  fleet Fleet = makeFleet(3);
  run(Fleet, milliseconds(1000));
  deliver(Fleet, onLeave(Fleet.Instances[2].Membership, Fleet.Now));
  run(Fleet, milliseconds(50));
  cr_assert(stateAt(Fleet, 0, 2) == member_state::Leaving);
  cr_assert(stateAt(Fleet, 1, 2) == member_state::Leaving);
}

// One direction of a link is cut: 0 still receives the heartbeats of 1, but 1
// receives none from 0. A majority counted over such a link would not know what
// 0 does.
Test(membership, a_one_way_link_does_not_count_as_contact) {
  fleet Fleet = makeFleet(2);
  run(Fleet, milliseconds(1000));
  Fleet.Connected = [](std::size_t From, std::size_t) { return From == 1; };
  run(Fleet, milliseconds(2000));
  cr_assert(contactCount(Fleet, 0) == 0);
  cr_assert(!inContactWithMajority(Fleet.Instances[0].Membership, Fleet.Now));
}

// An instance restarts after its wall clock stepped back, so its incarnation is
// lower than the last one and the others drop its datagrams. It would never be
// in contact again.
Test(membership, an_instance_whose_clock_stepped_back_is_in_contact_again) {
  fleet Fleet = makeFleet(3);
  run(Fleet, milliseconds(1000));
  fleet Fresh = makeFleet(3);
  Fleet.Instances[2] = Fresh.Instances[2];
  Fleet.Instances[2].Membership.Self.Incarnation = 50;
  run(Fleet, milliseconds(1500));
  cr_assert(Fleet.Instances[2].Membership.Self.Incarnation > 100);
  cr_assert(stateAt(Fleet, 0, 2) == member_state::Alive);
}

Test(membership, late_doubled_and_misaddressed_datagrams_change_nothing) {
  fleet Fleet = makeFleet(3);
  run(Fleet, milliseconds(1000));
  membership &Receiver = Fleet.Instances[0].Membership;
  membership &Sender = Fleet.Instances[1].Membership;
  const auto Old = onTick(Sender, Fleet.Now + milliseconds(200));
  const auto New = onTick(Sender, Fleet.Now + milliseconds(400));
  const auto &First = Old.at(0).Datagram;
  const auto &Second = New.at(0).Datagram;
  cr_assert(First.Receiver == "i0");
  cr_assert(admitDatagram(Receiver, Second));
  onHeartbeat(Receiver, Second, Fleet.Now);
  const std::uint64_t Before = Receiver.Counters.Heartbeats;
  cr_assert(!admitDatagram(Receiver, Second));
  cr_assert(admitDatagram(Receiver, First));
  onHeartbeat(Receiver, First, Fleet.Now);
  cr_assert(!admitDatagram(Receiver, Old.at(1).Datagram));
  cr_assert(Receiver.Counters.Heartbeats == Before);
  cr_assert(Receiver.Counters.Duplicate == 1 &&
            Receiver.Counters.Reordered == 1);
  cr_assert(Receiver.Counters.Misaddressed == 1);
}

// Guards against a large fleet in which reports of some instances do not
// arrive.
Test(membership, a_large_fleet_is_in_contact_with_a_majority_through_relays) {
  fleet Fleet = makeFleet(64);
  run(Fleet, milliseconds(3000));
  for (std::size_t Index = 0; Index < 64; ++Index) {
    cr_assert(contactCount(Fleet, Index) == 63);
    cr_assert(
        inContactWithMajority(Fleet.Instances[Index].Membership, Fleet.Now));
  }
  Fleet.Instances[9].Up = false;
  run(Fleet, milliseconds(4000));
  for (std::size_t Index = 0; Index < 64; ++Index)
    if (Index != 9)
      cr_assert(stateAt(Fleet, Index, 9) == member_state::Dead);
}

// A third instance joins right before the list becomes unreadable. It is not on
// the lists of the first two, so they would not answer it, and it would refuse
// its callers until the list is readable again. Its own heartbeats with a valid
// signature are enough for the others to answer it.
Test(membership, an_instance_that_is_not_listed_yet_is_answered) {
  fleet Fleet = makeFleet(3);
  for (const std::size_t Index : {0, 1}) {
    membership &Membership = Fleet.Instances[Index].Membership;
    Membership.Limits.AcceptUnlisted = true;
    onList(Membership, {listed(0), listed(1)}, Fleet.Now);
  }
  membership &Newcomer = Fleet.Instances[2].Membership;
  membership &Known = Fleet.Instances[0].Membership;
  const auto Sends = onTick(Newcomer, Fleet.Now + milliseconds(500));
  const wire::datagram Hello = Sends.front().Datagram;
  cr_assert(Hello.Receiver == "i0");
  onUnlistedInstance(Known, Hello, {"127.0.0.1", 7}, Fleet.Now);
  const member *Added = findMember(Known, "i2");
  cr_assert(Added != nullptr && Added->Address.Port == 7);
  cr_assert(admitDatagram(Known, Hello));
  // A longer list only raises the number needed for a majority.
  cr_assert(instanceCount(Known) == 3);
  // The next list replaces it.
  onList(Known, {listed(0), listed(1)}, Fleet.Now);
  cr_assert(findMember(Known, "i2") == nullptr);
}

// Guards against short requests that a replaced instance of an older build
// drops, and against datagrams for another instance.
Test(membership, uses_the_short_form_with_whoever_reads_it) {
  fleet Fleet = makeFleet(30);
  run(Fleet, milliseconds(1000));
  membership &Asker = Fleet.Instances[20].Membership;
  membership &Owner = Fleet.Instances[21].Membership;
  const auto Send = [&](membership &From, const std::string &To) {
    wire::share_message Take;
    Take.Kind = wire::share_kind::Take;
    peer_send Sent = *shareDatagram(From, To, Take, Fleet.Now);
    return *wire::decode("key", wire::encode("key", Sent.Datagram));
  };
  const auto Receive = [&](membership &At, wire::datagram Datagram) {
    const bool Admitted =
        resolveNames(At, Datagram) && admitDatagram(At, Datagram);
    if (Admitted)
      recordShareForm(At, Datagram);
    return Admitted;
  };
  const wire::datagram First = Send(Asker, "i21");
  cr_assert(!First.Hashes);
  cr_assert(Receive(Owner, First));
  const wire::datagram Answer = Send(Owner, "i20");
  cr_assert(Answer.Hashes.has_value());
  cr_assert(Receive(Asker, Answer));
  const wire::datagram Second = Send(Asker, "i21");
  cr_assert(Second.Hashes.has_value());
  cr_assert(!Receive(Fleet.Instances[22].Membership, Second));
  cr_assert(Receive(Owner, Second));
  Fleet.Now += milliseconds(300);
  cr_assert(!Send(Asker, "i21").Hashes);
}

namespace {

/// The contact with a majority, counted anew.
bool countsMajority(const membership &Membership, instant Now) {
  const auto InContact =
      std::ranges::count_if(Membership.Members, [&](const member &Member) {
        return Member.ReadStoreSinceStart &&
               isInContact(Membership, Member, Now);
      });
  const std::size_t Self = Membership.Store.ReadAt ? 1 : 0;
  return 2 * (static_cast<std::size_t>(InContact) + Self) >
         instanceCount(Membership);
}

} // namespace

// Guards against a contact that is believed for longer than the reports hold,
// or not seen when it is back: cuts, deaths, restarts and changes of the list.
Test(membership, knows_at_each_moment_whether_a_majority_is_in_contact) {
  constexpr std::size_t Count = 24;
  for (unsigned Seed = 0; Seed < 8; ++Seed) {
    std::mt19937 Random(Seed);
    fleet Fleet = makeFleet(Seed % 2 == 0 ? Count : 9);
    const std::size_t Size = Fleet.Instances.size();
    for (unsigned Step = 0; Step < 120; ++Step) {
      if (Step % 12 == 0) {
        const std::size_t Border = Random() % Size;
        Fleet.Connected = [Border](std::size_t From, std::size_t To) {
          return (From < Border) == (To < Border);
        };
        for (std::size_t Index = 0; Index < Size; ++Index)
          Fleet.Instances[Index].Up = Random() % 4 != 0;
      }
      run(Fleet, milliseconds(50));
      for (const fleet_instance &Instance : Fleet.Instances) {
        const membership &Membership = Instance.Membership;
        cr_assert(inContactWithMajority(Membership, Fleet.Now) ==
                      countsMajority(Membership, Fleet.Now),
                  "seed %u, step %u, %s", Seed, Step,
                  Membership.Self.Name.c_str());
      }
    }
  }
}

// Guards against a visit of all members for each statement.
Test(membership, knows_its_contact_without_visiting_all_each_time) {
  fleet Fleet = makeFleet(64);
  run(Fleet, milliseconds(3000));
  const membership &Membership = Fleet.Instances[40].Membership;
  Membership.Contact.Visits = 0;
  constexpr unsigned Steps = 40;
  for (unsigned Step = 0; Step < Steps; ++Step) {
    run(Fleet, milliseconds(50));
    for (unsigned Query = 0; Query < 100; ++Query)
      cr_assert(inContactWithMajority(Membership, Fleet.Now));
  }
  // At most once for each step, and not once for each query.
  cr_assert(Membership.Contact.Visits <= Steps * Membership.Members.size());
}
