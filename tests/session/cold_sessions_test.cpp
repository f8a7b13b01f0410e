#include "redwinggw/session/cold_rates.hpp"

#include "fake_endpoint.hpp"

#include <algorithm>
#include <optional>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using base::instant;
using core_fixture = session::testing::core_fixture;
using received_statement = session::testing::received_statement;

namespace {

constexpr cold_limits Limits{1.5, 5};

/// The primary, cold, with a permission for this instance and \p Tokens, to
/// which none are added; as many as it can hold if they are not given.
pool_ptr coldPrimary(core_fixture &Fixture,
                     std::optional<double> Tokens = std::nullopt) {
  pool_ptr Pool = poolOf(Fixture.Set, "p");
  configure(Pool->cold(), Limits, 20);
  const instant Now = base::now();
  presumeCold(Pool->cold(), Now);
  permitSending(Pool->cold(), Now + std::chrono::seconds(60), Now);
  Pool->cold().Tokens = Tokens.value_or(Pool->cold().Depth);
  Pool->cold().Rate = 1e-9;
  return Pool;
}

} // namespace

// Guards against an endpoint that counts as stalled, so that all that would
// queue is refused, since statements wait here for tokens.
Test(cold_sessions, take_no_wait_for_a_token_for_silence) {
  core_fixture Fixture;
  const pool_ptr Pool = poolOf(Fixture.Set, "p");
  configure(Pool->cold(), Limits, 20);
  const instant Now = base::now();
  presumeCold(Pool->cold(), Now);
  Pool->noteSent(Now - std::chrono::seconds(1));
  cr_assert(Pool->isStalled(Now));
  Pool->cold().AllWaiting = 1;
  cr_assert(!Pool->isStalled(Now));
}

// Guards against a session that gets more through to a cold primary than its
// tokens, and against a refusal that counts as the endpoint's failure: its
// primary would be moved.
Test(cold_sessions, limit_what_reaches_an_endpoint) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("strict");
  cr_assert(!Fixture.write(Session).Error);
  const pool_ptr Pool = poolOf(Fixture.Set, "p");
  configure(Pool->cold(), Limits, 20);
  presumeCold(Pool->cold(), base::now());
  const std::size_t Before = Fixture.Group.Received.size();
  const answer Refused = Fixture.write(Session);
  cr_assert(Refused.Error && Refused.Error->Code == answer_code::Busy);
  cr_assert(Refused.Error->Reason.starts_with("p is cold; retry after "));
  cr_assert(Fixture.Group.Received.size() == Before);
  cr_assert(Pool->health().Failures == 0 && Fixture.Problems.empty());
  permitSending(Pool->cold(), base::now() + std::chrono::seconds(60),
                base::now());
  cr_assert(!Fixture.write(Session).Error);
}

// Guards against a statement that is held back after the set-up of its
// connection has taken the last token, and counts as the endpoint's failure.
Test(cold_sessions, hold_back_without_blaming_the_endpoint) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("strict");
  const pool_ptr Pool = coldPrimary(Fixture, 1);
  const answer Refused = Fixture.write(Session);
  cr_assert(Refused.Error && Refused.Error->Code == answer_code::Busy);
  cr_assert(Refused.Error->Reason.starts_with("p is cold; retry after "));
  cr_assert(!Refused.Error->Reason.ends_with(" 500 ms"));
  cr_assert(Pool->connects() == 1 && Fixture.Group.Received.empty());
  cr_assert(Pool->health().Failures == 0 && Fixture.Problems.empty());
}

// Guards against requests beyond the tokens by a transaction: its begin, its
// statements and its commit count, and the commit is not held back.
Test(cold_sessions, count_all_requests_of_a_transaction) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("own");
  const pool_ptr Pool = coldPrimary(Fixture);
  Fixture.run(Session, statement_kind::Begin, "BEGIN");
  cr_assert(!Fixture.write(Session).Error);
  cr_assert(Pool->cold().Reserved == 1);
  Pool->cold().Tokens = 0;
  cr_assert(Fixture.write(Session).Error);
  cr_assert(Session.Transaction && Session.Transaction->Failed);
  Fixture.run(Session, statement_kind::Rollback, "ROLLBACK");
  cr_assert(Pool->cold().Reserved == 0);
  Pool->cold().Tokens = 4;
  Fixture.run(Session, statement_kind::Begin, "BEGIN");
  cr_assert(!Fixture.write(Session).Error);
  Pool->cold().Tokens = 0;
  cr_assert(!Fixture.run(Session, statement_kind::Commit, "COMMIT").Error);
}

// Guards against reads that go to a cold replica while a warm one is fresh, and
// against a zone that gets all its load back when its evacuation ends.
Test(cold_sessions, send_reads_to_warm_endpoints) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("bounded");
  Fixture.write(Session);
  const pool_ptr Pool = poolOf(Fixture.Set, "r1");
  configure(Pool->cold(), Limits, 20);
  Pool->setEvacuated(true);
  Pool->setEvacuated(false);
  cr_assert(isCold(Pool->cold(), base::now()));
  permitSending(Pool->cold(), base::now() + std::chrono::seconds(60),
                base::now());
  Pool->cold().Tokens = Pool->cold().Depth;
  // The cold one would be chosen by its expected time.
  poolOf(Fixture.Set, "r2")->health().Latency = 500;
  for (int Reads = 0; Reads < 20; ++Reads)
    cr_assert(!Fixture.read(Session).Error);
  cr_assert(std::ranges::none_of(Fixture.Group.Received,
                                 [](const received_statement &Statement) {
                                   return Statement.Endpoint == "r1";
                                 }));
}

// Guards against a restart under the same name that the list does not show yet:
// its connections broke.
Test(cold_sessions, presume_a_restart_when_a_connection_breaks) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("strict");
  const pool_ptr Pool = poolOf(Fixture.Set, "p");
  configure(Pool->cold(), Limits, 20);
  cr_assert(!Fixture.read(Session).Error);
  cr_assert(!isCold(Pool->cold(), base::now()));
  Fixture.Group.Script = [](const received_statement &) {
    return std::optional(session::testing::ended(exchange_outcome::Broken));
  };
  Fixture.read(Session);
  cr_assert(isCold(Pool->cold(), base::now()));
}
