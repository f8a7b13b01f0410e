#include "fake_endpoint.hpp"

#include <algorithm>
#include <iterator>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using namespace redwinggw::session::testing;

// The regular path: a write, then reads at the three consistency levels.
Test(session_core, serves_writes_at_the_primary_and_reads_at_replicas) {
  core_fixture Fixture;
  caller_session Strict = Fixture.open("strict");
  cr_assert(!Fixture.OpenError);
  cr_assert(!Fixture.write(Strict).Error);
  cr_assert(Fixture.Group.Received.back().Endpoint == "p");
  cr_assert(Fixture.Group.Received.back().Text == "WRITE x 1");
  cr_assert(!Fixture.read(Strict).Error);
  cr_assert(Fixture.Group.Received.back().Endpoint == "p");
  caller_session Bounded = Fixture.open("bounded");
  const answer Answer = Fixture.read(Bounded);
  cr_assert(!Answer.Error && Answer.Signature.starts_with("proof id3."));
  cr_assert(Fixture.Group.Received.back().Endpoint != "p");
  // The replica has to prove that it holds what the primary had.
  cr_assert(Fixture.Group.Received.back().After == Fixture.Group.Point);
}

Test(session_core, refuses_unknown_databases_and_keys) {
  core_fixture Fixture;
  Fixture.open("nowhere");
  cr_assert(Fixture.openedWith(answer_code::NoDatabase));
  Fixture.open("strict", "stolen");
  cr_assert(Fixture.openedWith(answer_code::Denied));
}

// A key is withdrawn while its session stays open: the next statement must be
// denied and reach no endpoint, also inside a transaction.
Test(session_core, denies_a_withdrawn_key_on_an_open_session) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("strict");
  cr_assert(!Fixture.run(Session, statement_kind::Begin, "BEGIN").Error);
  cr_assert(!Fixture.write(Session).Error);
  auto Table = std::make_shared<route_table>(*Fixture.Routes);
  Table->Keys.erase("key");
  Fixture.Routes = Table;
  const std::size_t Before = Fixture.Group.Received.size();
  const answer Answer = Fixture.write(Session);
  cr_assert(failedWith(Answer, answer_code::Denied));
  cr_assert(Answer.State == transaction_state::Failed);
  cr_assert(Fixture.Group.Received.size() == Before);
}

Test(session_core, keeps_a_transaction_on_one_connection) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("own");
  cr_assert(Fixture.run(Session, statement_kind::Begin, "BEGIN").State ==
            transaction_state::Open);
  cr_assert(Fixture.Group.Received.empty());
  Fixture.write(Session);
  Fixture.read(Session);
  const answer Answer = Fixture.run(Session, statement_kind::Commit, "COMMIT");
  cr_assert(!Answer.Error && Answer.Signature.starts_with("proof id4."));
  cr_assert(Answer.State == transaction_state::Idle);
  cr_assert(Fixture.Group.Received.size() == 4);
  for (const received_statement &Statement : Fixture.Group.Received) {
    cr_assert(Statement.Endpoint == "p");
    cr_assert(Statement.Connection ==
              Fixture.Group.Received.front().Connection);
  }
}

// A session commits, then reads at once: only a replica that holds the commit
// may serve it.
Test(session_core, lets_a_session_see_its_own_commits) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("own");
  Fixture.write(Session);
  Fixture.Group.Point = {1, 250};
  Fixture.write(Session);
  Fixture.Group.Script = [](const received_statement &Statement) {
    return Statement.Endpoint == "r1"
               ? std::optional(refused(answer_code::Lagging))
               : std::nullopt;
  };
  const answer Answer = Fixture.read(Session);
  cr_assert(!Answer.Error);
  cr_assert(Fixture.Group.Received.back().Endpoint != "r1");
  cr_assert(Fixture.Group.Received.back().After == log_point({1, 250}));
}

// Two sessions of one customer share a connection; one has set a value. The
// other must not run with it.
Test(session_core, shares_connections_without_sharing_values) {
  core_fixture Fixture;
  caller_session First = Fixture.open("strict");
  caller_session Second = Fixture.open("strict");
  Fixture.run(First, statement_kind::Set, "SET a 1", "a", "1");
  Fixture.read(First);
  Fixture.read(Second);
  std::vector<std::string> Texts;
  std::ranges::transform(Fixture.Group.Received, std::back_inserter(Texts),
                         &received_statement::Text);
  cr_assert(Texts ==
            std::vector<std::string>({"SET a 1", "READ x", "RESET", "READ x"}));
}

// Two sessions prepare different statements under the same name.
Test(session_core, keeps_prepared_names_of_sessions_apart) {
  core_fixture Fixture;
  caller_session First = Fixture.open("strict");
  caller_session Second = Fixture.open("strict");
  Fixture.run(First, statement_kind::Prepare, "PREPARE s READ a", "s",
              "READ a");
  Fixture.run(Second, statement_kind::Prepare, "PREPARE s WRITE b", "s",
              "WRITE b");
  Fixture.run(First, statement_kind::Execute, "EXECUTE s 1", "s", "1");
  Fixture.run(Second, statement_kind::Execute, "EXECUTE s 2 d", "s", "2 d");
  const auto Own = Fixture.Group.callerStatements();
  cr_assert(Own.size() == 2);
  cr_assert(Own[0].Text == "EXECUTE p1 1");
  cr_assert(Own[1].Text == "EXECUTE p2 2 d");
}

// The connection breaks before a payment is answered: the payment may have run.
// It must not be retried, nor be reported as not run.
Test(session_core, never_retries_a_write_without_an_answer) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("strict");
  Fixture.Group.Script = [](const received_statement &) {
    return std::optional(ended(exchange_outcome::Broken));
  };
  cr_assert(failedWith(Fixture.write(Session), answer_code::InDoubt));
  cr_assert(Fixture.Group.callerStatements().size() == 1);
}

// The same for a read: it is retried at another endpoint, and the caller sees
// no error.
Test(session_core, retries_a_read_elsewhere) {
  core_fixture Fixture;
  caller_session Warm = Fixture.open("strict");
  Fixture.write(Warm);
  caller_session Session = Fixture.open("bounded");
  unsigned Failures = 1;
  Fixture.Group.Script = [&](const received_statement &) {
    return Failures-- > 0 ? std::optional(ended(exchange_outcome::Broken))
                          : std::nullopt;
  };
  cr_assert(!Fixture.read(Session).Error);
  const auto Own = Fixture.Group.callerStatements();
  cr_assert(Own[1].Endpoint != Own[2].Endpoint);
}

// A write is refused as busy: that proves that it did not run, so it may be
// retried, and the caller sees only the success.
Test(session_core, retries_a_write_that_did_not_run) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("strict");
  unsigned Failures = 1;
  Fixture.Group.Script = [&](const received_statement &) {
    return Failures-- > 0 ? std::optional(refused(answer_code::Busy))
                          : std::nullopt;
  };
  cr_assert(!Fixture.write(Session).Error);
}

// The primary is replaced while a write is in progress there. Its answer must
// not be reported as a success.
Test(session_core, does_not_acknowledge_a_write_of_a_replaced_primary) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("strict");
  Fixture.Group.Script =
      [&](const received_statement &) -> std::optional<exchange> {
    Fixture.PrimaryLease = primary_lease{"s", "r1", 2};
    return std::nullopt;
  };
  cr_assert(failedWith(Fixture.write(Session), answer_code::InDoubt));
}

// A commit's answer is lost: the caller learns that the outcome is unknown.
Test(session_core, reports_a_lost_commit_as_in_doubt) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("strict");
  Fixture.run(Session, statement_kind::Begin, "BEGIN");
  Fixture.write(Session);
  Fixture.Group.Script = [](const received_statement &Statement) {
    return Statement.Text == "COMMIT"
               ? std::optional(ended(exchange_outcome::Broken))
               : std::nullopt;
  };
  const answer Answer = Fixture.run(Session, statement_kind::Commit, "COMMIT");
  cr_assert(failedWith(Answer, answer_code::InDoubt));
  cr_assert(Answer.State == transaction_state::Idle);
}

// The same for a transaction that has only read: it has no effect, so the
// caller is told that it may retry.
Test(session_core, lets_a_lost_read_only_commit_be_retried) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("strict");
  Fixture.run(Session, statement_kind::Begin, "BEGIN");
  Fixture.read(Session);
  Fixture.Group.Script = [](const received_statement &Statement) {
    return Statement.Text == "COMMIT"
               ? std::optional(ended(exchange_outcome::Broken))
               : std::nullopt;
  };
  cr_assert(failedWith(Fixture.run(Session, statement_kind::Commit, "COMMIT"),
                       answer_code::Aborted));
}

// The connection of an open transaction breaks: nothing of it can commit any
// more, and the caller may retry it as a whole.
Test(session_core, aborts_a_transaction_whose_connection_broke) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("strict");
  Fixture.run(Session, statement_kind::Begin, "BEGIN");
  Fixture.write(Session);
  Fixture.Group.Script = [](const received_statement &) {
    return std::optional(ended(exchange_outcome::Broken));
  };
  answer Answer = Fixture.write(Session);
  cr_assert(failedWith(Answer, answer_code::Aborted));
  cr_assert(Answer.State == transaction_state::Failed);
  cr_assert(failedWith(Fixture.write(Session), answer_code::Malformed));
  Answer = Fixture.run(Session, statement_kind::Rollback, "ROLLBACK");
  cr_assert(!Answer.Error && Answer.State == transaction_state::Idle);
}

// A customer exceeds its rate: it is refused at once, with the time after which
// to retry.
Test(session_core, refuses_over_the_rate_with_a_retry_time) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("strict");
  Fixture.Admitted = false;
  const answer Answer = Fixture.write(Session);
  cr_assert(failedWith(Answer, answer_code::Busy));
  cr_assert(Answer.Error &&
            Answer.Error->Reason.ends_with("retry after 120 ms"));
  cr_assert(Fixture.Group.Received.empty());
}

// Operators take a bucket owner that does not answer for a customer that is
// over its rate.
Test(session_core, a_refusal_tells_an_unknown_rate_from_an_exceeded_one) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("strict");
  Fixture.Admitted = false;
  const answer Exceeded = Fixture.write(Session);
  cr_assert(Exceeded.Error &&
            Exceeded.Error->Reason.starts_with("over the customer's rate;"));
  Fixture.RateKnown = false;
  const answer Unknown = Fixture.write(Session);
  cr_assert(Unknown.Error && Unknown.Error->Reason ==
                                 "what is left of the customer's rate is "
                                 "not known; retry after 120 ms");
}

// Statements of one customer never run on a connection of another.
Test(session_core, keeps_customers_on_connections_of_their_own) {
  core_fixture Fixture;
  caller_session First = Fixture.open("strict");
  caller_session Second = Fixture.open("strict", "key2");
  Fixture.read(First);
  Fixture.read(Second);
  const auto Own = Fixture.Group.callerStatements();
  cr_assert(Own[0].Customer == "acme");
  cr_assert(Own[1].Customer == "bolt");
}

// The endpoints are overloaded and refuse a customer's attempts as busy. Guards
// against charging such attempts to the customer's rate: when there was
// capacity again, the customer was refused for exceeding it.
Test(session_core, counts_only_what_may_have_run_against_the_rate) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("strict");
  Fixture.Group.Script = [](const received_statement &) {
    return std::optional(refused(answer_code::Busy));
  };
  cr_assert(failedWith(Fixture.write(Session), answer_code::Busy));
  cr_assert(Fixture.Returned == 1);
  Fixture.Group.Script = [](const received_statement &) {
    return std::optional(ended(exchange_outcome::Broken));
  };
  cr_assert(failedWith(Fixture.write(Session), answer_code::InDoubt));
  Fixture.Group.Script = {};
  cr_assert(!Fixture.write(Session).Error);
  cr_assert(Fixture.Returned == 1);
}

// The same for transactions: one that found no endpoint, or was ended before it
// needed one, has not run.
Test(session_core, counts_only_begun_transactions_against_the_rate) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("strict");
  Fixture.run(Session, statement_kind::Begin, "BEGIN");
  Fixture.Group.Script = [](const received_statement &) {
    return std::optional(refused(answer_code::Busy));
  };
  cr_assert(Fixture.write(Session).Error);
  Fixture.run(Session, statement_kind::Rollback, "ROLLBACK");
  cr_assert(Fixture.Returned == 1);
  Fixture.run(Session, statement_kind::Begin, "BEGIN");
  Fixture.run(Session, statement_kind::Rollback, "ROLLBACK");
  cr_assert(Fixture.Returned == 2);
  Fixture.Group.Script = {};
  Fixture.run(Session, statement_kind::Begin, "BEGIN");
  cr_assert(!Fixture.write(Session).Error);
  Fixture.run(Session, statement_kind::Rollback, "ROLLBACK");
  cr_assert(Fixture.Returned == 2);
}

// Guards against avoiding an endpoint because the lease on it was given up.
Test(session_core, does_not_blame_an_endpoint_for_a_lost_lease) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("strict");
  Fixture.run(Session, statement_kind::Set, "SET a 1", "a", "1");
  Fixture.Group.Script =
      [&](const received_statement &) -> std::optional<exchange> {
    Fixture.PrimaryLease.reset();
    return std::nullopt;
  };
  cr_assert(failedWith(Fixture.write(Session), answer_code::Busy));
  cr_assert(Fixture.Group.callerStatements().empty());
  cr_assert(poolOf(Fixture.Set, "p")->health().Failures == 0);
  cr_assert(Fixture.Problems.empty());
}
