#include "reserve_fleet.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

/// A fleet in which half of the instances cannot send requests to the owner,
/// and one of these, which is no relay.
struct half_blocked {
  half_blocked() {
    Fleet.play(60, ReservesReady);
    const std::size_t Owner = Fleet.owner();
    for (std::size_t Index = 0; Index < Count; ++Index)
      if (Index % 2 != Owner % 2) {
        Fleet.Blocked.insert({Index, Owner});
        Asker = Index;
      }
  }

  const member *relay() {
    const member *Owner =
        bucketOwner(Fleet.Shares[Asker], Fleet.Members[Asker], "acme");
    return Owner == nullptr
               ? nullptr
               : bucketRelay(Fleet.Requests[Asker], Fleet.Members[Asker],
                             *Owner, Fleet.Now);
  }

  reserve_fleet Fleet{100, 100, 0.4};
  std::size_t Asker = 0;
};

} // namespace

// Guards against refusals, and a reserve used up, where the owner is alive and
// only the way to it is lost.
Test(bucket_requests, reach_an_owner_through_a_relay) {
  half_blocked Half;
  // Each instance has a few operations by then.
  Half.Fleet.play(60, milliseconds(5000));
  const std::size_t FromReserve = Half.Fleet.FromReserve;
  cr_assert(FromReserve > 0);
  const double Served = Half.Fleet.play(60, milliseconds(5000));
  cr_assert(Served > 0.99, "%g", Served);
  // Half of 300 operations came through a relay; a few instances learn late.
  const std::size_t Later = Half.Fleet.FromReserve - FromReserve;
  cr_assert(Later < 10, "%zu", Later);
  cr_assert(Half.relay() != nullptr);
  Half.Fleet.Blocked.clear();
  Half.Fleet.play(60, 2 * RelayedOwnerSkipTime);
  cr_assert(Half.relay() == nullptr);
}

// Guards against operations that wait for an answer through a relay although
// the owner is dead.
Test(bucket_requests, do_not_go_through_relays_to_a_dead_owner) {
  half_blocked Half;
  Half.Fleet.Dead = Half.Fleet.owner();
  for (int Step = 0; Step < 30; ++Step) {
    Half.Fleet.play(60, milliseconds(50));
    cr_assert(Half.relay() == nullptr, "step %d", Step);
  }
}

// Guards against an owner that counts as alive because it was heard since a
// request that was lost long before it died.
Test(bucket_requests, forget_an_old_request_without_an_answer) {
  half_blocked Half;
  Half.Fleet.play(60, milliseconds(2000));
  cr_assert(Half.relay() != nullptr);
  Half.Fleet.play(0, RelayedTimeout + milliseconds(100));
  cr_assert(Half.relay() == nullptr);
  const auto Owner = "i" + std::to_string(Half.Fleet.owner());
  noteRequest(Half.Fleet.Requests[Half.Asker], Owner, false, Half.Fleet.Now);
  cr_assert(Half.relay() == nullptr);
  cr_assert(Half.Fleet.Requests[Half.Asker].Unanswered.at(Owner).Since ==
            Half.Fleet.Now);
}

// Guards against a relay that does not reach the owner and is asked for each
// operation.
Test(bucket_requests, try_another_relay) {
  half_blocked Half;
  Half.Fleet.play(60, milliseconds(1500));
  const member *First = Half.relay();
  cr_assert(First != nullptr);
  const base::instance_name Name = First->Name;
  noteRelayedRequest(Half.Fleet.Requests[Half.Asker], Name,
                     "i" + std::to_string(Half.Fleet.owner()), false,
                     Half.Fleet.Now);
  cr_assert(Half.relay() == nullptr || Half.relay()->Name != Name);
}

// Guards against retry times at which there is no token: the owner is alive,
// and no relay reaches it either.
Test(bucket_requests, tell_the_wait_for_the_reserve_without_a_relay) {
  constexpr milliseconds ReserveWait{900};
  half_blocked Half;
  Half.Fleet.play(60, milliseconds(2000));
  bucket_requests &Requests = Half.Fleet.Requests[Half.Asker];
  const auto Wait = [&] {
    return waitBesideReserve(Requests, Half.Fleet.Shares[Half.Asker],
                             Half.Fleet.Members[Half.Asker], "acme",
                             ReserveWait, Half.Fleet.Now);
  };
  cr_assert(Wait() == OwnerSkipTime);
  while (const member *Relay = Half.relay())
    noteRelayedRequest(Requests, Relay->Name,
                       "i" + std::to_string(Half.Fleet.owner()), false,
                       Half.Fleet.Now);
  cr_assert(Wait() == ReserveWait);
  cr_assert(tokenExpected(Requests, Half.Fleet.Shares[Half.Asker],
                          Half.Fleet.Members[Half.Asker], "acme",
                          Half.Fleet.Now) == RelaySkipTime);
}

// Guards against a wait for a lost instance by each operation.
Test(bucket_requests, skip_an_instance_that_left_a_request_unanswered) {
  bucket_requests Requests;
  member Owner;
  member Successor;
  Owner.Name = "a";
  Successor.Name = "b";
  const instant Now{std::chrono::seconds(1000)};
  const auto Plan = [&](milliseconds Later) {
    return planRequests(Requests, Owner, nullptr, &Successor, Now + Later);
  };
  using plan = std::vector<token_source>;
  const plan OwnerFirst{token_source::Owner, token_source::Reserve};
  const plan ReserveFirst{token_source::Reserve, token_source::Owner};
  cr_assert(Plan({}) == OwnerFirst);
  noteRequest(Requests, "a", false, Now);
  cr_assert(Plan(milliseconds(199)) == ReserveFirst);
  cr_assert(Plan(milliseconds(200)) == OwnerFirst);
  noteRequest(Requests, "b", false, Now);
  cr_assert(Plan(milliseconds(1)) == plan{token_source::Owner});
  noteRequest(Requests, "a", true, Now);
  noteRequest(Requests, "b", true, Now);
  cr_assert(Plan({}) == OwnerFirst);
}
