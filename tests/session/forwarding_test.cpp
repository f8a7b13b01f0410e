#include "redwinggw/session/forwarding_client.hpp"
#include "redwinggw/session/forwarding_server.hpp"

#include "fake_endpoint.hpp"

#include <algorithm>
#include <deque>
#include <set>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using namespace redwinggw::session::testing;

namespace {

constexpr std::string_view Secret = "secret";

/// An owner of all endpoints and instances that forward their statements to it,
/// over real connections, in one event loop.
struct forwarding_fleet {
  explicit forwarding_fleet(std::size_t Instances = 1)
      : Owner(Context, Group),
        Server(Context.get_executor(), Owner.Core, std::string(Secret)) {
    Address = Server.listen({"127.0.0.1", 0}).value();
    for (std::size_t Index = 0; Index < Instances; ++Index)
      add();
  }
  ~forwarding_fleet() {
    Server.stop();
    Context.poll();
  }

  void add() {
    core_fixture &Instance = Instances.emplace_back(Context, Group);
    Links.push_back(std::make_unique<forwarding_client>(
        Context.get_executor(), Instance.Set.Watch, std::string(Secret)));
    Instance.Core.Ports.Forward =
        [this, Via = Links.back().get()](
            const endpoint_entry &Entry, std::string_view Customer,
            unsigned Priority) -> std::unique_ptr<forwarding_link> {
      if (!Via->isUsable("owner", base::now()))
        return nullptr;
      return Via->linkTo({"owner", Address}, Entry.Name, std::string(Customer),
                         Priority);
    };
  }

  core_fixture &first() { return Instances.front(); }

  /// Takes a slot. Precondition: one is free.
  slot_grant take(const pool_ptr &Pool) {
    slot_grant Grant;
    boost::asio::co_spawn(
        Context,
        [](pool_ptr Pool, slot_grant &Grant) -> base::task<void> {
          Grant = co_await acquireSlot(Pool, slot_level::Normal, "acme",
                                       base::now() + base::milliseconds(50));
        }(Pool, Grant),
        boost::asio::detached);
    while (!Grant)
      Context.run_one();
    return Grant;
  }

  boost::asio::io_context Context;
  fake_group Group;
  core_fixture Owner;
  forwarding_server Server;
  http::address Address;
  std::deque<core_fixture> Instances;
  std::deque<std::unique_ptr<forwarding_client>> Links;
};

bool failedWith(const answer &Answer, answer_code Code) {
  return Answer.Error && Answer.Error->Code == Code;
}

bool hasReason(const answer &Answer, std::string_view Text) {
  return Answer.Error && Answer.Error->Reason.find(Text) != std::string::npos;
}

void planByDemand(forwarding_fleet &Fleet) {
  pool_limits Limits;
  Limits.Policy = connection_policy::Demand;
  endpoint_set &Set = Fleet.Owner.Set;
  for (const auto &[Name, Known] : Set.Directory.Endpoints)
    poolOf(Set, Name)->setLimits(Limits);
}

std::size_t connectionsOf(const fake_group &Group) {
  std::set<std::size_t> Numbers;
  for (const received_statement &Statement : Group.Received)
    Numbers.insert(Statement.Connection);
  return Numbers.size();
}

std::vector<slot_grant> takeAllSlots(forwarding_fleet &Fleet,
                                     const pool_ptr &Pool) {
  constexpr unsigned AllSlots = 6;
  std::vector<slot_grant> Taken;
  Taken.reserve(AllSlots);
  for (unsigned Slot = 0; Slot < AllSlots; ++Slot)
    Taken.push_back(Fleet.take(Pool));
  return Taken;
}

} // namespace

// Callers of two customers write and read at nine instances. Each customer
// needs one connection to an endpoint, not one for each instance: that would be
// eighteen to the primary alone.
Test(forwarding, serves_many_instances_over_few_connections) {
  forwarding_fleet Fleet(9);
  constexpr std::size_t Rounds = 20;
  for (std::size_t Round = 0; Round < Rounds; ++Round)
    for (core_fixture &Instance : Fleet.Instances)
      for (const char *Key : {"key", "key2"}) {
        caller_session Session = Instance.open("own", Key);
        cr_assert(!Instance.write(Session).Error);
        cr_assert(!Instance.read(Session).Error);
      }
  cr_assert(Fleet.Group.callerStatements().size() == 36 * Rounds);
  cr_assert(Fleet.Group.Connections <= 6);
  for (const received_statement &Statement : Fleet.Group.Received)
    cr_assert(Statement.Customer == "acme" || Statement.Customer == "bolt");
}

// A session's values and prepared statements go with each of its statements,
// and another session's are never in force.
Test(forwarding, sets_up_the_session_where_the_connection_is) {
  forwarding_fleet Fleet;
  core_fixture &Instance = Fleet.first();
  caller_session First = Instance.open("strict");
  caller_session Second = Instance.open("strict");
  Instance.run(First, statement_kind::Set, "SET a 1", "a", "1");
  Instance.run(First, statement_kind::Prepare, "PREPARE s READ q", "s",
               "READ q");
  cr_assert(!Instance.read(First).Error);
  cr_assert(!Instance.read(Second).Error);
  cr_assert(
      !Instance.run(First, statement_kind::Execute, "EXECUTE s 1", "s", "1")
           .Error);
  std::vector<std::string> Texts;
  std::ranges::transform(Fleet.Group.Received, std::back_inserter(Texts),
                         &received_statement::Text);
  cr_assert(Texts == std::vector<std::string>(
                         {"SET a 1", "READ x", "RESET", "READ x", "SET a 1",
                          "PREPARE p1 READ q", "EXECUTE p1 1"}));
}

// One session's values, or rows, that exceed a message between instances took
// the owner away from all others.
Test(forwarding, goes_around_the_owner_with_what_is_too_long) {
  forwarding_fleet Fleet;
  core_fixture &Instance = Fleet.first();
  const std::string Megabyte(1'000'000, 'x');
  caller_session Large = Instance.open("strict");
  for (const char *Name : {"a", "b", "c", "d"})
    Instance.run(Large, statement_kind::Set, "SET", Name, Megabyte);
  cr_assert(!Instance.read(Large).Error);
  cr_assert(Fleet.Links.front()->isUsable("owner", base::now()));
  caller_session Other = Instance.open("strict");
  Fleet.Group.Script = [&](const received_statement &Statement) {
    if (Statement.Id.empty())
      return std::optional<exchange>();
    exchange Rows = succeeded(Fleet.Group, transaction_state::Idle);
    Rows.Answer.Signature = "proof of " + std::to_string(Statement.Connection);
    Rows.Answer.Rows.assign(4, Megabyte);
    return std::optional(Rows);
  };
  const answer Read = Instance.read(Other);
  cr_assert(!Read.Error && Read.Rows.size() == 4);
  cr_assert(Fleet.Links.front()->isUsable("owner", base::now()));
}

Test(forwarding, keeps_a_transaction_on_one_connection) {
  forwarding_fleet Fleet(2);
  core_fixture &Instance = Fleet.first();
  core_fixture &Other = Fleet.Instances.back();
  caller_session Session = Instance.open("own");
  caller_session Beside = Other.open("own");
  Instance.run(Session, statement_kind::Begin, "BEGIN");
  cr_assert(!Instance.write(Session).Error);
  cr_assert(!Other.write(Beside).Error);
  cr_assert(!Instance.read(Session).Error);
  const answer Done = Instance.run(Session, statement_kind::Commit, "COMMIT");
  cr_assert(!Done.Error && Done.Signature.starts_with("proof id4."));
  std::vector<std::size_t> Own;
  std::vector<std::size_t> Others;
  for (const received_statement &Statement : Fleet.Group.Received)
    (Statement.Text == "WRITE x 1" && Own.size() > 1 && Others.empty() ? Others
                                                                       : Own)
        .push_back(Statement.Connection);
  cr_assert(Own.size() == 4 && Others.size() == 1);
  cr_assert(std::ranges::count(Own, Own.front()) == 4);
  cr_assert(Others.front() != Own.front());
  cr_assert(Fleet.Server.pinnedLinks() == 0);
}

// The owner forwards a payment and dies before the answer is there: the payment
// may have run. It must not be sent again, by another path either, nor be
// reported as not run.
Test(forwarding, never_retries_a_write_whose_owner_died) {
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
Test(forwarding, retries_a_read_whose_owner_died) {
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
Test(forwarding, connects_directly_when_the_owner_is_gone) {
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
Test(forwarding, does_not_send_to_a_primary_that_the_owner_knows_is_replaced) {
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
Test(forwarding, does_not_acknowledge_a_write_of_a_replaced_primary) {
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
Test(forwarding, rolls_back_for_an_instance_that_died) {
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

Test(forwarding, returns_the_connection_after_a_rollback) {
  forwarding_fleet Fleet;
  core_fixture &Instance = Fleet.first();
  caller_session Session = Instance.open("strict");
  for (unsigned Round = 0; Round < 3; ++Round) {
    Instance.run(Session, statement_kind::Begin, "BEGIN");
    cr_assert(!Instance.write(Session).Error);
    cr_assert(
        !Instance.run(Session, statement_kind::Rollback, "ROLLBACK").Error);
    cr_assert(Fleet.Server.pinnedLinks() == 0);
  }
  cr_assert(Fleet.Group.Connections == 1);
}

// A transaction's statement gets no slot at the owner in time, and its caller
// is told that the transaction is aborted. Guards against an owner that still
// keeps the connection pinned and runs another customer's next statement on it.
Test(forwarding, ends_a_transaction_that_gets_no_slot) {
  forwarding_fleet Fleet;
  core_fixture &Instance = Fleet.first();
  caller_session Session = Instance.open("strict");
  Instance.run(Session, statement_kind::Begin, "BEGIN");
  cr_assert(!Instance.write(Session).Error);
  const std::size_t Former = Fleet.Group.Received.back().Connection;
  const pool_ptr Pool = poolOf(Fleet.Owner.Set, "p");
  std::vector<slot_grant> Taken = takeAllSlots(Fleet, Pool);
  cr_assert(failedWith(Instance.write(Session), answer_code::Aborted));
  cr_assert(Fleet.Server.pinnedLinks() == 0);
  Taken.clear();
  caller_session Other = Instance.open("strict", "key2");
  cr_assert(!Instance.write(Other).Error);
  const received_statement &Last = Fleet.Group.Received.back();
  cr_assert(Last.Customer == "bolt" && Last.Connection != Former);
}

// Guards against "could not be asked" about an owner that was asked and
// answered that it got no slot.
Test(forwarding, tells_the_caller_what_the_owner_lacked) {
  for (const bool ByDemand : {false, true}) {
    forwarding_fleet Fleet;
    if (ByDemand)
      planByDemand(Fleet);
    const pool_ptr Pool = poolOf(Fleet.Owner.Set, "p");
    std::vector<slot_grant> Taken = takeAllSlots(Fleet, Pool);
    caller_session Session = Fleet.first().open("strict");
    const answer Answer = Fleet.first().write(Session);
    cr_assert(failedWith(Answer, answer_code::Busy));
    cr_assert(hasReason(Answer, "no turn at p through owner in time"));
    cr_assert(hasReason(Answer, "retry after 500 ms") == !ByDemand);
  }
}

// An endpoint that accepts no connection, since it counts those of instances
// that died. Guards against trying it five times within a moment, and against a
// refusal without the time at which it may accept one.
Test(forwarding, tells_the_caller_when_the_endpoint_may_accept_a_connection) {
  forwarding_fleet Fleet;
  planByDemand(Fleet);
  Fleet.Group.MaxConnections = 0;
  caller_session Session = Fleet.first().open("strict");
  const answer Answer = Fleet.first().write(Session);
  cr_assert(failedWith(Answer, answer_code::Busy));
  cr_assert(hasReason(Answer, "it accepts no more at present; retry after"));
  cr_assert(Fleet.Group.Refusals <= 2);
}

// An instance has just started: the others know it and forward a transaction to
// it before it has read the configuration.
Test(forwarding, serves_transactions_before_the_owner_has_a_configuration) {
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
Test(forwarding, does_not_blame_an_endpoint_for_a_lease_that_the_owner_lost) {
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
Test(forwarding, sends_nothing_to_an_endpoint_that_the_owner_knows_evacuated) {
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
Test(forwarding, sends_nothing_to_a_cold_endpoint_without_permission) {
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
Test(forwarding, presumes_a_restart_when_the_owners_connection_breaks) {
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
Test(forwarding, says_that_a_statement_was_held_back_as_cold) {
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
