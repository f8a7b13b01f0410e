#include "forwarding_fleet.hpp"

#include <set>
#include <string>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using namespace redwinggw::session::testing;

namespace {

std::size_t connectionsOf(const fake_group &Group) {
  std::set<std::size_t> Numbers;
  for (const received_statement &Statement : Group.Received)
    Numbers.insert(Statement.Connection);
  return Numbers.size();
}

} // namespace

// The owner forwards a payment and dies before the answer is there: the payment
// may have run. It must not be sent again, by another path either, nor be
// reported as not run.
Test(forwarding_owner, never_retries_a_write_whose_owner_died) {
  forwarding_fleet Fleet;
  core_fixture &Instance = Fleet.first();
  Fleet.Group.Script =
      [&](const received_statement &) -> std::optional<exchange> {
    Fleet.Server.stop();
    return std::nullopt;
  };
  caller_session Session = Instance.open("strict");
  cr_assert(failedWith(Instance.write(Session), answer_code::InDoubt));
  cr_assert(Fleet.Group.callerStatements().size() == 1);
}

// The same for a read: it is retried, and its caller sees no error.
Test(forwarding_owner, retries_a_read_whose_owner_died) {
  forwarding_fleet Fleet;
  core_fixture &Instance = Fleet.first();
  caller_session Session = Instance.open("strict");
  bool Stopped = false;
  Fleet.Group.Script =
      [&](const received_statement &) -> std::optional<exchange> {
    if (!std::exchange(Stopped, true))
      Fleet.Server.stop();
    return std::nullopt;
  };
  cr_assert(!Instance.read(Session).Error);
  cr_assert(Fleet.Group.callerStatements().size() == 2);
}

// The owner was stopped, and the list does not show it yet. A write that could
// not be forwarded has not run: the caller's instance connects to the endpoint
// itself.
Test(forwarding_owner, connects_directly_when_the_owner_is_gone) {
  forwarding_fleet Fleet;
  core_fixture &Instance = Fleet.first();
  Fleet.Server.stop();
  caller_session Session = Instance.open("strict");
  cr_assert(!Instance.write(Session).Error);
  cr_assert(Fleet.Group.callerStatements().size() == 1);
  cr_assert(!Fleet.Links.front()->isUsable("owner", base::now()));
}

// A write waits at the owner while the primary is replaced, and the owner
// already knows: the write must not reach the old primary any more.
Test(forwarding_owner,
     does_not_send_to_a_primary_that_the_owner_knows_is_replaced) {
  forwarding_fleet Fleet;
  core_fixture &Instance = Fleet.first();
  Fleet.Owner.PrimaryLease = primary_lease{"s", "r1", 2};
  caller_session Session = Instance.open("strict");
  Instance.write(Session);
  for (const received_statement &Statement : Fleet.Group.callerStatements())
    cr_assert(Statement.Connection != 0);
  cr_assert(poolOf(Fleet.Owner.Set, "p")->connects() == 0);
}

// The primary is replaced while a forwarded write is in progress. The owner has
// the answer; the caller's instance must not report it as a success.
Test(forwarding_owner, does_not_acknowledge_a_write_of_a_replaced_primary) {
  forwarding_fleet Fleet;
  core_fixture &Instance = Fleet.first();
  Fleet.Group.Script =
      [&](const received_statement &) -> std::optional<exchange> {
    Instance.PrimaryLease = primary_lease{"s", "r1", 2};
    return std::nullopt;
  };
  caller_session Session = Instance.open("strict");
  cr_assert(failedWith(Instance.write(Session), answer_code::InDoubt));
}

// An instance dies with a transaction open. Its connection at the owner is
// closed, which rolls back, and is never used for another session.
Test(forwarding_owner, rolls_back_for_an_instance_that_died) {
  forwarding_fleet Fleet(2);
  caller_session Left = Fleet.first().open("strict");
  Fleet.first().run(Left, statement_kind::Begin, "BEGIN");
  cr_assert(!Fleet.first().write(Left).Error);
  const std::size_t Abandoned = Fleet.Group.Received.back().Connection;
  cr_assert(Fleet.Server.pinnedLinks() == 1);
  Left.Transaction.reset();
  while (Fleet.Server.pinnedLinks() != 0)
    Fleet.Context.run_one();
  core_fixture &Other = Fleet.Instances.back();
  caller_session Session = Other.open("strict");
  cr_assert(!Other.write(Session).Error);
  cr_assert(Fleet.Group.Received.back().Connection != Abandoned);
  cr_assert(connectionsOf(Fleet.Group) == 2);
}

// An instance has just started: the others know it and forward a transaction to
// it before it has read the configuration.
Test(forwarding_owner,
     serves_transactions_before_the_owner_has_a_configuration) {
  forwarding_fleet Fleet;
  core_fixture &Instance = Fleet.first();
  Fleet.Owner.Routes = nullptr;
  caller_session Session = Instance.open("strict");
  Instance.run(Session, statement_kind::Begin, "BEGIN");
  cr_assert(!Instance.write(Session).Error);
  cr_assert(!Instance.write(Session).Error);
  cr_assert(!Instance.run(Session, statement_kind::Commit, "COMMIT").Error);
}

// Guards against avoiding an endpoint because its owner lost the lease
// meanwhile.
Test(forwarding_owner,
     does_not_blame_an_endpoint_for_a_lease_that_the_owner_lost) {
  forwarding_fleet Fleet;
  core_fixture &Instance = Fleet.first();
  caller_session Session = Instance.open("strict");
  Instance.run(Session, statement_kind::Set, "SET a 1", "a", "1");
  Fleet.Group.Script =
      [&](const received_statement &) -> std::optional<exchange> {
    Fleet.Owner.PrimaryLease.reset();
    Instance.PrimaryLease.reset();
    return std::nullopt;
  };
  cr_assert(failedWith(Instance.write(Session), answer_code::Busy));
  cr_assert(Fleet.Group.callerStatements().empty());
  cr_assert(poolOf(Fleet.Owner.Set, "p")->health().Failures == 0);
  cr_assert(poolOf(Instance.Set, "p")->health().Failures == 0);
}

// Guards against an owner that runs what an instance forwards that has not
// learned of an evacuation yet.
Test(forwarding_owner,
     sends_nothing_to_an_endpoint_that_the_owner_knows_evacuated) {
  for (const bool InTransaction : {false, true}) {
    forwarding_fleet Fleet;
    core_fixture &Instance = Fleet.first();
    caller_session Session = Instance.open("own");
    if (InTransaction) {
      Instance.run(Session, statement_kind::Begin, "BEGIN");
      cr_assert(!Instance.write(Session).Error);
    }
    poolOf(Fleet.Owner.Set, "p")->setEvacuated(true);
    const std::size_t Before = Fleet.Group.Received.size();
    cr_assert(Instance.write(Session).Error);
    if (InTransaction)
      Instance.run(Session, statement_kind::Rollback, "ROLLBACK");
    for (std::size_t Index = Before; Index < Fleet.Group.Received.size();
         ++Index)
      cr_assert(Fleet.Group.Received[Index].Endpoint != "p");
  }
}

// Guards against statements that reach a cold endpoint around the one instance
// that may send there: because its owner has no permission yet, or cannot be
// reached.
Test(forwarding_owner, sends_nothing_to_a_cold_endpoint_without_permission) {
  forwarding_fleet Fleet;
  caller_session Session = Fleet.first().open("strict");
  cr_assert(!Fleet.first().write(Session).Error);
  const base::instant Now = base::now();
  for (core_fixture *Instance : {&Fleet.Owner, &Fleet.first()}) {
    cold_rate &Cold = poolOf(Instance->Set, "p")->cold();
    configure(Cold, cold_limits{1.5, 5}, 20);
    presumeCold(Cold, Now);
  }
  const std::size_t Before = Fleet.Group.Received.size();
  const auto IsRefused = [&] {
    const answer Answer = Fleet.first().write(Session);
    return failedWith(Answer, answer_code::Busy) &&
           Fleet.Group.Received.size() == Before;
  };
  cr_assert(IsRefused());
  cr_assert(poolOf(Fleet.Owner.Set, "p")->health().Failures == 0);
  cr_assert(poolOf(Fleet.first().Set, "p")->health().Failures == 0);
  Fleet.first().Core.Ports.Forward = {};
  cr_assert(IsRefused());
}

// Guards against probes by all instances whose forwarded statements broke when
// the endpoint restarted, before the list says that it is cold.
Test(forwarding_owner, presumes_a_restart_when_the_owners_connection_breaks) {
  forwarding_fleet Fleet;
  caller_session Session = Fleet.first().open("strict");
  cold_rate &Cold = poolOf(Fleet.first().Set, "p")->cold();
  configure(Cold, cold_limits{1.5, 5}, 20);
  cr_assert(!Fleet.first().write(Session).Error);
  cr_assert(!isCold(Cold, base::now()));
  Fleet.Group.Script = [](const received_statement &) {
    return std::optional(ended(exchange_outcome::Broken));
  };
  Fleet.first().write(Session);
  cr_assert(isCold(Cold, base::now()));
}

// Guards against another reason and retry time than those of a cold endpoint
// where the owner holds a statement back after it has a connection.
Test(forwarding_owner, says_that_a_statement_was_held_back_as_cold) {
  forwarding_fleet Fleet;
  caller_session Session = Fleet.first().open("strict");
  cr_assert(!Fleet.first().write(Session).Error);
  const pool_ptr Pool = poolOf(Fleet.Owner.Set, "p");
  Pool->closeIdle();
  configure(Pool->cold(), cold_limits{1.5, 5}, 20);
  const base::instant Now = base::now();
  presumeCold(Pool->cold(), Now);
  permitSending(Pool->cold(), Now + std::chrono::seconds(60), Now);
  Pool->cold().Tokens = 1;
  Pool->cold().Rate = 1e-9;
  const std::size_t Before = Fleet.Group.Received.size();
  const answer Answer = Fleet.first().write(Session);
  cr_assert(failedWith(Answer, answer_code::Busy));
  cr_assert(Answer.Error && Answer.Error->Reason.find("the endpoint is cold") !=
                                std::string::npos);
  cr_assert(Fleet.Group.Received.size() == Before);
}
