#include "redwinggw/data/statement_core.hpp"

#include "redwinggw/base/time.hpp"
#include "redwinggw/data/pinned_connection.hpp"

#include <boost/json.hpp>

namespace redwinggw::data {
namespace {

namespace json = boost::json;
using base::errc;
using base::failure;
using base::result;

/// A write over all its tries.
struct write_attempt {
  request_identity Identity;
  /// A try was sent without an answer, so it may have run.
  bool MayHaveRun = false;
};

/// Result of one try.
struct write_try {
  std::optional<caller_answer> Answer;
  failure Failure;
};

std::int64_t changesOf(const json::value &Result) {
  const json::value *Changes = Result.as_object().if_contains("changes");
  return Changes == nullptr ? 0 : Changes->to_number<std::int64_t>();
}

write_try failedTry(failure Failure) {
  return {std::nullopt, std::move(Failure)};
}

run_request recordedRun(const call &Call, const write_attempt &Attempt,
                        base::term_number Term) {
  run_request Request;
  Request.ExpectTerm = Term;
  Request.Begin = true;
  Request.Commit = true;
  Request.Statements = {insertRecord(Attempt.Identity, request_state::Done),
                        Call.Request.Statement, storeChanges(Attempt.Identity)};
  return Request;
}

/// Creates the table of request records, on the first use of a group.
base::task<failure> ensureRecordTable(statement_core &Core, call &Call,
                                      std::shared_ptr<dispatcher> Target,
                                      base::term_number Term) {
  run_request Request;
  Request.ExpectTerm = Term;
  Request.Statements = {createRecordTable()};
  run_result Ran =
      co_await runAt(Core, std::move(Target), Call, std::move(Request));
  if (!Ran.Answer)
    co_return Ran.Failed.Failure;
  // The write that needed the table runs after this, so its own confirmation
  // covers the table's creation too.
  co_return failure(errc::EndpointRefused, "the table of records was missing");
}

/// The record's unique key, or one of the statement's own, was already taken:
/// answers from the record, or with \p Missing when there is none.
base::task<write_try> answerFromRecord(statement_core &Core, call &Call,
                                       const write_attempt &Attempt,
                                       failure Missing) {
  const auto Found = co_await readRecord(Core, Call, Attempt.Identity);
  if (!Found)
    co_return failedTry(Found.error());
  const std::optional<request_record> &Record = Found->Record;
  if (!Record)
    co_return failedTry(std::move(Missing));
  auto Answer = answerOf(*Record, Attempt.Identity);
  if (!Answer)
    co_return failedTry(Answer.error());
  Answer->Session = tokenAfter(Core, Call, Found->Term, Found->Position);
  co_return write_try{std::move(*Answer), {}};
}

/// Waits until a majority holds the write, so that every promotion keeps it,
/// then builds the answer.
base::task<write_try> awaitConfirmation(statement_core &Core, call &Call,
                                        json::value Result,
                                        base::term_number Term,
                                        base::log_position Position) {
  const auto Confirmed = co_await Core.Ports.Confirm(
      Call.Group, Term, Position, Call.Deadline, confirm_kind::Replicated);
  if (!Confirmed)
    co_return failedTry(Confirmed.error());
  caller_answer Answer;
  Answer.Result = std::move(Result);
  Answer.Session = tokenAfter(Core, Call, Term, Position);
  Answer.ServedBy = "primary";
  co_return write_try{std::move(Answer), {}};
}

/// A write that returns rows needs a second round trip: the rows are stored in
/// its record before the commit, so that a retry gets them too. The result has
/// the same form as that of a single recorded run.
base::task<run_result> runReturning(statement_core &Core, call &Call,
                                    std::shared_ptr<dispatcher> Target,
                                    const write_attempt &Attempt,
                                    base::term_number Term) {
  pinned_connection Pinned{std::move(Target), nullptr};
  run_request First;
  First.ExpectTerm = Term;
  First.Begin = true;
  First.Statements = {insertRecord(Attempt.Identity, request_state::Done),
                      Call.Request.Statement};
  run_result Ran = co_await runPinned(Core, Pinned, Call, std::move(First));
  if (!Ran.Answer || Ran.Answer->Results.size() < 2) {
    unpin(Core, Pinned, false);
    // Nothing was committed: closing the connection rolls back.
    if (retryKindOf(Ran.Failed.Failure) == retry_kind::SameId)
      Ran.Failed.Failure.Code = make_error_code(errc::EndpointUnreachable);
    co_return Ran;
  }
  const json::value Rows = Ran.Answer->Results[1];
  run_request Second;
  Second.ExpectTerm = Term;
  Second.Commit = true;
  Second.Statements = {
      storeResult(Attempt.Identity, changesOf(Rows), json::serialize(Rows))};
  run_result Committed =
      co_await runPinned(Core, Pinned, Call, std::move(Second));
  unpin(Core, Pinned, Committed.Answer.has_value());
  if (Committed.Answer)
    Committed.Answer->Results = std::move(Ran.Answer->Results);
  co_return Committed;
}

/// One run of the write at \p Target, together with its record.
base::task<run_result> runRecorded(statement_core &Core, call &Call,
                                   std::shared_ptr<dispatcher> Target,
                                   const write_attempt &Attempt,
                                   base::term_number Term) {
  if (Call.Request.Returning)
    co_return co_await runReturning(Core, Call, Target, Attempt, Term);
  run_request Request = recordedRun(Call, Attempt, Term);
  co_return co_await runAt(Core, Target, Call, std::move(Request));
}

base::task<write_try> tryWrite(statement_core &Core, call &Call,
                               write_attempt &Attempt) {
  const auto View = co_await awaitPrimary(Core, Call);
  if (!View)
    co_return failedTry(View.error());
  const base::term_number Term = (*View)->Term;
  const std::shared_ptr<dispatcher> Target = primaryOf(Core, **View);
  run_result Ran = co_await runRecorded(Core, Call, Target, Attempt, Term);
  if (Ran.Answer && Ran.Answer->Results.size() > 1) {
    json::value Result = std::move(Ran.Answer->Results[1]);
    const base::log_position Position = Ran.Answer->Position;
    write_try Step = co_await awaitConfirmation(Core, Call, std::move(Result),
                                                Term, Position);
    if (!Step.Answer)
      Attempt.MayHaveRun = true;
    co_return Step;
  }
  const failure Failure = Ran.Answer ? failure(errc::TruncatedAnswer)
                                     : std::move(Ran.Failed.Failure);
  if (retryKindOf(Failure) == retry_kind::SameId)
    Attempt.MayHaveRun = true;
  if (Ran.Failed.Refusal == refusal::UniqueKey)
    co_return co_await answerFromRecord(Core, Call, Attempt, Failure);
  if (isMissingTable(Failure))
    co_return failedTry(co_await ensureRecordTable(Core, Call, Target, Term));
  co_return failedTry(Failure);
}

/// Cancels the request atomically unless it has run: the record takes the
/// unique key, so a try that is still in flight fails on it.
base::task<write_try> tryOutcome(statement_core &Core, call &Call,
                                 const write_attempt &Attempt) {
  const auto View = co_await awaitPrimary(Core, Call);
  if (!View)
    co_return failedTry(View.error());
  const base::term_number Term = (*View)->Term;
  const std::shared_ptr<dispatcher> Target = primaryOf(Core, **View);
  run_request Request;
  Request.ExpectTerm = Term;
  Request.Statements = {
      insertRecord(Attempt.Identity, request_state::Cancelled)};
  run_result Ran = co_await runAt(Core, Target, Call, std::move(Request));
  if (Ran.Answer) {
    const auto Confirmed =
        co_await Core.Ports.Confirm(Call.Group, Term, Ran.Answer->Position,
                                    Call.Deadline, confirm_kind::Replicated);
    co_return failedTry(Confirmed ? failure(errc::RequestCancelled)
                                  : Confirmed.error());
  }
  if (isMissingTable(Ran.Failed.Failure))
    co_return failedTry(co_await ensureRecordTable(Core, Call, Target, Term));
  if (Ran.Failed.Refusal != refusal::UniqueKey)
    co_return failedTry(Ran.Failed.Failure);
  failure Gone(errc::OutcomeUnknown, "the record is gone");
  co_return co_await answerFromRecord(Core, Call, Attempt, std::move(Gone));
}

/// Whether another try may determine the outcome. All tries carry the same
/// record, so the request runs at most once.
bool mayTryAgain(const failure &Failure) {
  return retryKindOf(Failure) != retry_kind::Never;
}

/// Reports "not run" only when no try can have run.
failure finalFailure(const write_attempt &Attempt, const failure &Failure) {
  const base::outcome Outcome = base::kindOf(kindOf(Failure)).Outcome;
  if (Attempt.MayHaveRun && Outcome == base::outcome::NotRun &&
      kindOf(Failure) != errc::RequestIdReused &&
      kindOf(Failure) != errc::RequestCancelled)
    return {errc::OutcomeUnknown, Failure.Detail, Failure.RetryAfter};
  return Failure;
}

} // namespace

request_identity identityOf(const call &Call) {
  const caller_request &Request = Call.Request;
  request_identity Identity;
  Identity.Customer = Call.Customer;
  Identity.Id = Request.RequestId;
  Identity.IssuedAt = Request.IssuedAt;
  Identity.Digest = requestDigest({Request.Service, Request.Statement.Sql,
                                   json::serialize(Request.Statement.Params),
                                   std::to_string(Request.IssuedAt),
                                   Request.Returning ? "r" : ""});
  return Identity;
}

result<caller_answer> answerOf(const request_record &Record,
                               const request_identity &Identity) {
  switch (classifyRetry(Record, Identity)) {
  case retry_verdict::Cancelled:
    return failure(errc::RequestCancelled);
  case retry_verdict::Reused:
    return failure(errc::RequestIdReused);
  case retry_verdict::Done:
    break;
  }
  caller_answer Answer;
  Answer.Repeated = true;
  Answer.ServedBy = "primary";
  Answer.Result =
      Record.Result.empty() ? json::object() : json::parse(Record.Result);
  Answer.Result.as_object()["changes"] = Record.Changes;
  return Answer;
}

base::task<result<found_record>> readRecord(statement_core &Core, call &Call,
                                            const request_identity &Identity) {
  const auto View = co_await awaitPrimary(Core, Call);
  if (!View)
    co_return View.error();
  const base::term_number Term = (*View)->Term;
  const std::shared_ptr<dispatcher> Target = primaryOf(Core, **View);
  run_request Request;
  Request.ReadOnly = true;
  Request.ExpectTerm = Term;
  Request.Statements = {selectRecord(Identity)};
  run_result Ran = co_await runAt(Core, Target, Call, std::move(Request));
  if (!Ran.Answer)
    co_return Ran.Failed.Failure;
  const auto Confirmed = co_await Core.Ports.Confirm(
      Call.Group, Term, Ran.Answer->Position, Call.Deadline,
      confirm_kind::ReplicatedAndCurrent);
  if (!Confirmed)
    co_return Confirmed.error();
  co_return found_record{recordOf(Ran.Answer->Results.at(0)), Term,
                         Ran.Answer->Position};
}

base::task<result<caller_answer>> serveWrite(statement_core &Core, call Call) {
  ++Core.Counters.Writes;
  write_attempt Attempt{identityOf(Call), false};
  const auto Aged =
      checkAge(Attempt.Identity.IssuedAt, base::wallMilliseconds());
  if (!Aged)
    co_return Aged.error();
  for (unsigned Try = 1;; ++Try) {
    write_try Step = co_await tryWrite(Core, Call, Attempt);
    if (Step.Answer)
      co_return std::move(*Step.Answer);
    if (!mayTryAgain(Step.Failure))
      co_return finalFailure(Attempt, Step.Failure);
    const auto Again = co_await awaitRetry(Core, Call, Try, Step.Failure);
    if (!Again)
      co_return finalFailure(Attempt, Again.error());
  }
}

base::task<result<caller_answer>> serveOutcome(statement_core &Core,
                                               call Call) {
  write_attempt Attempt{identityOf(Call), false};
  // An outcome query names only the id: it matches any request with that id.
  Attempt.Identity.Digest.clear();
  const auto Aged =
      checkAge(Attempt.Identity.IssuedAt, base::wallMilliseconds());
  if (!Aged)
    co_return Aged.error();
  for (unsigned Try = 1;; ++Try) {
    write_try Step = co_await tryOutcome(Core, Call, Attempt);
    if (Step.Answer)
      co_return std::move(*Step.Answer);
    if (!mayTryAgain(Step.Failure))
      co_return Step.Failure;
    const auto Again = co_await awaitRetry(Core, Call, Try, Step.Failure);
    if (!Again)
      co_return failure(errc::OutcomeUnknown, Again.error().Detail);
  }
}

} // namespace redwinggw::data
