#include "answer_fields.hpp"
#include "driver.hpp"

#include <boost/json.hpp>

namespace redwinggw::load {
namespace {

namespace json = boost::json;
using base::instant;
using base::milliseconds;
using base::outcome;

constexpr milliseconds RetryPause{100};
constexpr milliseconds Grace{1000};

constexpr const char *AddSql =
    "insert into load_counter(session, customer, n) values(?, ?, 1) "
    "on conflict(session) do update set n = n + 1";
constexpr const char *ReadSql =
    "select session, customer, n from load_counter where session = ?";

} // namespace

void driver::check(const session &Session, const caller_answer &Answer) {
  const auto Rows = rowsOf(Answer.Body);
  std::optional<counter_row> Row;
  if (!Rows.empty())
    Row = Rows.front();
  const std::string &Customer = Plan.Customers[Session.Customer].Name;
  const auto Found = checkRow(Session, Customer, Row, false);
  if (Found)
    note(*Found);
}

base::task<void> driver::performRead(session &Session, request_record &Record) {
  json::object Body = bodyFor(Session, "read");
  const bool Declared = Record.Arrival.Kind == request_kind::DeclaredRead;
  if (Declared) {
    Body["read"] = Plan.DeclaredRead;
    Body["session"] = "none";
  }
  Record.ReplicaAllowed = Declared || !Session.Token.empty();
  Body["sql"] = ReadSql;
  Body["params"] = json::array{Session.Id};
  const caller_answer Answer =
      co_await tryInstances(Session, "/v1/statement", std::move(Body));
  Record.Outcome = Answer.Outcome;
  Record.Error = Answer.Error;
  Record.ServedBy = textAt(Answer.Body, "served_by");
  if (!Answer.isDone() || Declared)
    co_return;
  check(Session, Answer);
  if (Session.Unresolved == 0)
    Session.Token = textAt(Answer.Body, "session");
}

/// Finds out whether a write whose answer was lost took effect.
base::task<caller_answer> driver::resolve(session &Session,
                                          request_record &Record,
                                          std::string Target,
                                          json::object Body) {
  const instant Until = base::now() + Options.ResolveTimeout;
  Body.erase("session");
  json::object OutcomeQuery;
  OutcomeQuery["service"] = Body["service"];
  OutcomeQuery["request_id"] = Body["request_id"];
  OutcomeQuery["issued_at"] = Body["issued_at"];
  // A transaction must not be retried without knowing whether it took effect,
  // so only its outcome is queried.
  const bool Retryable = Target == "/v1/statement";
  caller_answer Answer;
  while (base::now() < Until) {
    co_await pause(RetryPause);
    ++Record.Retries;
    if (Retryable)
      Answer = co_await tryInstances(Session, Target, Body);
    else
      Answer = co_await tryInstances(Session, "/v1/outcome", OutcomeQuery);
    if (Answer.isDone() || Answer.Error == "request_cancelled")
      co_return Answer;
  }
  Answer = co_await tryInstances(Session, "/v1/outcome", OutcomeQuery);
  if (!Answer.isDone() && Answer.Error != "request_cancelled")
    Answer.Outcome = outcome::Unknown;
  co_return Answer;
}

void driver::settleWrite(session &Session, const caller_answer &Answer) {
  if (Answer.isDone()) {
    ++Session.Acknowledged;
    if (OnWrite)
      OnWrite(Session.Service, base::now());
    if (Session.Unresolved == 0)
      Session.Token = textAt(Answer.Body, "session");
  }
  if (Answer.Outcome != outcome::Unknown)
    return;
  ++Session.Unresolved;
  Session.Token.clear();
}

base::task<void> driver::performWrite(session &Session,
                                      request_record &Record) {
  json::object Body = bodyFor(Session, "write");
  addRequestId(Body);
  Body["sql"] = AddSql;
  Body["params"] =
      json::array{Session.Id, Plan.Customers[Session.Customer].Name};
  caller_answer Answer = co_await tryInstances(Session, "/v1/statement", Body);
  if (Answer.Outcome == outcome::Unknown)
    Answer = co_await resolve(Session, Record, "/v1/statement", Body);
  Record.Outcome = Answer.Outcome;
  Record.Error = Answer.Error;
  settleWrite(Session, Answer);
}

base::task<void> driver::performTransaction(session &Session,
                                            request_record &Record) {
  json::object Begin = bodyFor(Session, "write");
  addRequestId(Begin);
  std::size_t Instance = nextInstance(Session);
  const auto Deadline = [this] {
    return base::now() + Options.Deadline + Grace;
  };
  caller_answer Answer;
  for (std::size_t Try = 0; Try < Caller.instances(); ++Try, ++Instance) {
    Answer = co_await Caller.post(Instance, "/v1/begin", keyOf(Session), Begin,
                                  Deadline());
    if (!mayTryAnotherInstance(Answer))
      break;
  }
  Record.Outcome = Answer.Outcome;
  Record.Error = Answer.Error;
  // A failure before the commit is sent leaves no effect.
  if (!Answer.isDone()) {
    Record.Outcome = outcome::NotRun;
    co_return;
  }
  json::object Run;
  Run["transaction"] = textAt(Answer.Body, "transaction");
  json::object Add = Run;
  Add["sql"] = AddSql;
  Add["params"] =
      json::array{Session.Id, Plan.Customers[Session.Customer].Name};
  Answer = co_await Caller.post(Instance, "/v1/run", keyOf(Session), Add,
                                Deadline());
  json::object Read = Run;
  Read["sql"] = ReadSql;
  Read["params"] = json::array{Session.Id};
  if (Answer.isDone())
    Answer = co_await Caller.post(Instance, "/v1/run", keyOf(Session), Read,
                                  Deadline());
  if (!Answer.isDone()) {
    Record.Outcome = outcome::NotRun;
    Record.Error = Answer.Error;
    co_await Caller.post(Instance, "/v1/rollback", keyOf(Session), Run,
                         Deadline());
    co_return;
  }
  session InTransaction = Session;
  ++InTransaction.Acknowledged;
  check(InTransaction, Answer);
  Answer = co_await Caller.post(Instance, "/v1/commit", keyOf(Session), Run,
                                Deadline());
  if (Answer.Outcome == outcome::Unknown)
    Answer = co_await resolve(Session, Record, "/v1/begin", Begin);
  Record.Outcome = Answer.Outcome;
  Record.Error = Answer.Error;
  settleWrite(Session, Answer);
}

} // namespace redwinggw::load
