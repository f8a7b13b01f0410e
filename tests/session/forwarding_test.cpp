#include "forwarding_fleet.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using namespace redwinggw::session::testing;

namespace {

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
