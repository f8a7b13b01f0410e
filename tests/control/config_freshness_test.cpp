#include "membership_fleet.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

constexpr milliseconds Settle{2000};
constexpr milliseconds Total{2900};

void storeDownForAll(fleet &Fleet) {
  for (fleet_instance &Instance : Fleet.Instances)
    Instance.SeesStore = false;
}

auto apart(std::size_t Alone) {
  return [Alone](std::size_t From, std::size_t To) {
    return From != Alone && To != Alone;
  };
}

/// Instances below \p Border and the others do not reach each other.
auto split(std::size_t Border) {
  return [Border](std::size_t From, std::size_t To) {
    return (From < Border) == (To < Border);
  };
}

} // namespace

Test(config_freshness, an_instance_that_reads_the_store_is_current) {
  fleet Fleet = makeFleet(5);
  cr_assert(evaluateAfter(Fleet, 0, Settle) == config_freshness::Current);
}

Test(config_freshness,
     an_instance_cut_from_the_store_only_is_current_through_a_peer) {
  fleet Fleet = makeFleet(5);
  run(Fleet, Settle);
  Fleet.Instances[0].SeesStore = false;
  cr_assert(evaluateAfter(Fleet, 0, milliseconds(10000)) ==
            config_freshness::Current);
}

// One instance cannot reach the store, a key is withdrawn, and the new version
// does not reach that instance. Its callers could go on using the key: the
// instance learns of the new head from its peers and must stop serving.
Test(config_freshness, an_instance_behind_a_head_that_peers_saw_stops) {
  fleet Fleet = makeFleet(5);
  run(Fleet, Settle);
  Fleet.Instances[0].SeesStore = false;
  Fleet.Head = 2;
  cr_assert(evaluateAfter(Fleet, 0, Total) == config_freshness::Isolated);
}

Test(config_freshness, an_instance_cut_from_everything_stops) {
  fleet Fleet = makeFleet(5);
  run(Fleet, Settle);
  Fleet.Instances[0].SeesStore = false;
  Fleet.Connected = apart(0);
  cr_assert(evaluateAfter(Fleet, 0, Total) == config_freshness::Isolated);
}

Test(config_freshness, all_go_on_while_the_store_is_down_for_all) {
  fleet Fleet = makeFleet(5);
  run(Fleet, Settle);
  storeDownForAll(Fleet);
  cr_assert(evaluateAfter(Fleet, 0, milliseconds(60000)) ==
            config_freshness::Outage);
}

Test(config_freshness,
     the_rest_goes_on_when_an_instance_dies_during_an_outage) {
  fleet Fleet = makeFleet(5);
  run(Fleet, Settle);
  storeDownForAll(Fleet);
  run(Fleet, milliseconds(5000));
  Fleet.Instances[4].Up = false;
  cr_assert(evaluateAfter(Fleet, 0, milliseconds(10000)) ==
            config_freshness::Outage);
}

// The network is partitioned 3 to 2 and the store comes back for the side of 3
// only. A withdrawal is accepted there. The side of 2 does not learn of it and
// must have stopped serving; without the guard it goes on.
Test(config_freshness,
     a_minority_stops_when_the_store_is_back_for_the_majority) {
  for (const bool Guarded : {true, false}) {
    config_freshness_limits Limits;
    Limits.RequireMajority = Guarded;
    fleet Fleet = makeFleet(5, {}, Limits);
    run(Fleet, Settle);
    storeDownForAll(Fleet);
    evaluateAfter(Fleet, 4, milliseconds(5000));
    Fleet.Connected = split(3);
    for (std::size_t Index = 0; Index < 3; ++Index)
      Fleet.Instances[Index].SeesStore = true;
    Fleet.Head = 2;
    const config_freshness Expected =
        Guarded ? config_freshness::Isolated : config_freshness::Outage;
    cr_assert(evaluateAfter(Fleet, 4, Total) == Expected);
    cr_assert(majorityKnows(Fleet.Instances[0].Membership, 2));
  }
}

// The same partition, but the store comes back for the side of 2. A change
// accepted there is never confirmed, so the majority may go on serving.
Test(config_freshness, a_minority_that_sees_the_store_cannot_confirm) {
  fleet Fleet = makeFleet(5);
  run(Fleet, Settle);
  storeDownForAll(Fleet);
  Fleet.Connected = split(3);
  Fleet.Instances[4].SeesStore = true;
  Fleet.Head = 2;
  cr_assert(evaluateAfter(Fleet, 0, milliseconds(5000)) ==
            config_freshness::Outage);
  cr_assert(!majorityKnows(Fleet.Instances[4].Membership, 2));
}

// A withdrawal is accepted and confirmed while instance 4 is cut off; then the
// store goes down for all and 4 is reconnected. It is in contact with a
// majority and nobody can read the store, but its version is outdated: it must
// not mistake this for an outage without changes.
Test(config_freshness, an_outage_right_after_an_acceptance_does_not_hide_it) {
  for (const bool Guarded : {true, false}) {
    config_freshness_limits Limits;
    Limits.StopOnHigherHead = Guarded;
    fleet Fleet = makeFleet(5, {}, Limits);
    run(Fleet, Settle);
    evaluateAt(Fleet, 4);
    Fleet.Instances[4].SeesStore = false;
    Fleet.Connected = apart(4);
    Fleet.Head = 2;
    run(Fleet, milliseconds(1000));
    cr_assert(majorityKnows(Fleet.Instances[0].Membership, 2));
    storeDownForAll(Fleet);
    Fleet.Connected = [](std::size_t, std::size_t) { return true; };
    const config_freshness Expected =
        Guarded ? config_freshness::Isolated : config_freshness::Outage;
    cr_assert(evaluateAfter(Fleet, 4, Total) == Expected);
    cr_assert(evaluateAt(Fleet, 0) == config_freshness::Outage);
  }
}

// Three of five instances know of a withdrawal; they are replaced one after
// another by instances that start during the outage and know nothing. Instance
// 4 missed the withdrawal. If the new instances counted as in contact, it would
// see a majority that knows no higher head, and go on serving.
Test(config_freshness, instances_that_never_read_the_store_give_no_majority) {
  for (const bool Guarded : {true, false}) {
    membership_limits Limits;
    Limits.RequireStoreReadSinceStart = Guarded;
    fleet Fleet = makeFleet(5, Limits);
    run(Fleet, Settle);
    evaluateAt(Fleet, 4);
    Fleet.Instances[3].Up = false;
    Fleet.Instances[4].SeesStore = false;
    Fleet.Connected = apart(4);
    Fleet.Head = 2;
    run(Fleet, milliseconds(1000));
    storeDownForAll(Fleet);
    fleet Fresh = makeFleet(5, Limits);
    for (std::size_t Index = 0; Index < 3; ++Index) {
      Fleet.Instances[Index] = Fresh.Instances[Index];
      Fleet.Instances[Index].Membership.Self.Incarnation = 200;
      Fleet.Instances[Index].SeesStore = false;
    }
    Fleet.Connected = [](std::size_t, std::size_t) { return true; };
    const config_freshness Expected =
        Guarded ? config_freshness::Isolated : config_freshness::Outage;
    cr_assert(evaluateAfter(Fleet, 4, Total) == Expected);
    cr_assert(evaluateAt(Fleet, 0) == config_freshness::Isolated);
  }
}

// An instance is paused by a signal for 10 s. When it resumes, the heartbeats
// of that time are queued in its socket. If they counted as recent, they would
// prove a majority and a read of the store that are 10 s old, and a withdrawn
// key would work again.
Test(config_freshness, heartbeats_that_waited_through_a_pause_prove_nothing) {
  for (const bool Guarded : {true, false}) {
    membership_limits Limits;
    Limits.AgeByEcho = Guarded;
    fleet Fleet = makeFleet(3, Limits);
    run(Fleet, Settle);
    std::vector<peer_send> Waiting;
    for (const std::size_t Index : {1, 2})
      std::ranges::copy_if(
          onTick(Fleet.Instances[Index].Membership,
                 Fleet.Now + milliseconds(200)),
          std::back_inserter(Waiting),
          [](const peer_send &Send) { return Send.Datagram.Receiver == "i0"; });
    Fleet.Now += milliseconds(10000);
    deliver(Fleet, Waiting);
    const config_freshness Expected =
        Guarded ? config_freshness::Isolated : config_freshness::Current;
    cr_assert(evaluateAt(Fleet, 0) == Expected);
  }
}

// With more than 16 others, instances receive most reports through relays. The
// store is down for all; then the network is partitioned and the store is back
// for the larger side only. Relayed reports that looked more recent than they
// are would let the smaller side go on serving after a withdrawal.
Test(config_freshness, a_minority_of_a_large_fleet_stops_too) {
  constexpr std::size_t Count = 40;
  constexpr std::size_t Larger = 25;
  fleet Fleet = makeFleet(Count);
  run(Fleet, milliseconds(6000));
  evaluateAt(Fleet, Count - 1);
  storeDownForAll(Fleet);
  cr_assert(evaluateAfter(Fleet, Count - 1, milliseconds(8000)) ==
            config_freshness::Outage);
  Fleet.Connected = split(Larger);
  for (std::size_t Index = 0; Index < Larger; ++Index)
    Fleet.Instances[Index].SeesStore = true;
  Fleet.Head = 2;
  cr_assert(evaluateAfter(Fleet, Count - 1, Total) ==
            config_freshness::Isolated);
  run(Fleet, milliseconds(3000));
  cr_assert(majorityKnows(Fleet.Instances[0].Membership, 2));
}
