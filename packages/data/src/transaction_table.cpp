#include "redwinggw/data/transaction_table.hpp"

#include "redwinggw/base/ids.hpp"

#include <algorithm>

namespace redwinggw::data {
namespace {

using base::errc;
using base::failure;
using base::result;

constexpr base::milliseconds LimitRetryAfter{1000};

/// The open transaction of \p Call. Fails if it belongs to another customer,
/// since knowing the id proves nothing about the caller.
result<open_transaction *> findTransaction(transaction_table &Table,
                                           const call &Call) {
  const auto Found = Table.Open.find(Call.Request.Transaction);
  if (Found == Table.Open.end() || Found->second.Customer != Call.Customer)
    return failure(errc::TransactionLost,
                   "no such transaction at this instance");
  if (Found->second.Busy)
    return failure(errc::BadRequest,
                   "a statement of this transaction is still running");
  return &Found->second;
}

/// Copies the group and session of the transaction's begin into \p Call.
void copyBeginState(call &Call, const open_transaction &Transaction) {
  Call.Group = Transaction.Group;
  Call.SessionKind = Transaction.SessionKind;
  Call.Session = Transaction.Session;
}

void close(statement_core &Core, transaction_table &Table,
           const std::string &Id, bool Clean) {
  const auto Found = Table.Open.find(Id);
  if (Found == Table.Open.end())
    return;
  unpin(Core, Found->second.Pinned, Clean);
  Core.Ports.Record(base::event_kind::TransactionEnded, Id,
                    Clean ? "ended" : "lost", {});
  Table.Open.erase(Found);
}

/// Runs in the transaction and marks it busy, so that nothing else closes or
/// uses its connection meanwhile.
base::task<run_result> runMarkedBusy(statement_core &Core,
                                     open_transaction &Transaction, call &Call,
                                     run_request Request) {
  Transaction.Busy = true;
  Request.ExpectTerm = Transaction.Term;
  Request.ReadOnly = Transaction.Access == access_kind::Read;
  run_result Ran =
      co_await runPinned(Core, Transaction.Pinned, Call, std::move(Request));
  Transaction.Busy = false;
  Transaction.UsedAt = base::now();
  co_return Ran;
}

/// A run that failed before the commit has no effect: the endpoint rolls back
/// when the statement fails or the connection closes.
failure asTransactionLost(const failure &Failure) {
  const bool Known = retryKindOf(Failure) == retry_kind::Never;
  return Known ? Failure : failure(errc::TransactionLost, Failure.Detail);
}

result<caller_answer> answerRetry(const found_record &Found,
                                  const request_identity &Identity,
                                  const failure &Refused) {
  if (!Found.Record)
    return Refused;
  return answerOf(*Found.Record, Identity);
}

} // namespace

base::task<result<caller_answer>>
beginTransaction(statement_core &Core, transaction_table &Table, call Call) {
  if (Table.Open.size() >= Table.Limit)
    co_return failure(errc::Overloaded, "open transactions", LimitRetryAfter);
  const request_identity Identity = identityOf(Call);
  const bool Writes = Call.Request.Access == access_kind::Write;
  if (Writes)
    if (const auto Aged = checkAge(Identity.IssuedAt, base::wallMilliseconds());
        !Aged)
      co_return Aged.error();
  const auto View = co_await awaitPrimary(Core, Call);
  if (!View)
    co_return View.error();
  open_transaction Transaction;
  Transaction.Customer = Call.Customer;
  Transaction.Group = Call.Group;
  Transaction.KeyId = Call.KeyId;
  Transaction.Access = Call.Request.Access;
  Transaction.Term = (*View)->Term;
  Transaction.SessionKind = Call.SessionKind;
  Transaction.Session = Call.Session;
  Transaction.Pinned.Target = primaryOf(Core, **View);
  run_request Request;
  Request.Begin = true;
  if (Writes)
    Request.Statements = {insertRecord(Identity, request_state::Done)};
  run_result Ran =
      co_await runMarkedBusy(Core, Transaction, Call, std::move(Request));
  if (!Ran.Answer) {
    unpin(Core, Transaction.Pinned, false);
    if (isMissingTable(Ran.Failed.Failure))
      co_return failure(errc::EndpointRefused,
                        "the table of records is missing; write once first");
    if (Ran.Failed.Refusal != refusal::UniqueKey)
      co_return asTransactionLost(Ran.Failed.Failure);
    const auto Found = co_await readRecord(Core, Call, Identity);
    if (!Found)
      co_return Found.error();
    co_return answerRetry(*Found, Identity, Ran.Failed.Failure);
  }
  caller_answer Answer;
  Answer.Transaction = Core.Settings.Instance + "-" + base::randomId();
  Answer.ServedBy = "primary";
  Core.Ports.Record(base::event_kind::TransactionBegun, Answer.Transaction,
                    Call.Group, Call.Request.RequestId);
  Table.Open.emplace(Answer.Transaction, std::move(Transaction));
  co_return Answer;
}

base::task<result<caller_answer>>
runInTransaction(statement_core &Core, transaction_table &Table, call Call) {
  auto Found = findTransaction(Table, Call);
  if (!Found)
    co_return Found.error();
  copyBeginState(Call, **Found);
  run_request Request;
  Request.Statements = {Call.Request.Statement};
  run_result Ran =
      co_await runMarkedBusy(Core, **Found, Call, std::move(Request));
  if (!Ran.Answer || Ran.Answer->Results.empty()) {
    const failure Lost = asTransactionLost(Ran.Failed.Failure);
    // A refusal means that the endpoint has rolled back, so the connection can
    // be reused.
    close(Core, Table, Call.Request.Transaction,
          Ran.Failed.Refusal != refusal::None);
    co_return Lost;
  }
  caller_answer Answer;
  Answer.Result = std::move(Ran.Answer->Results.back());
  Answer.Transaction = Call.Request.Transaction;
  Answer.ServedBy = "primary";
  co_return Answer;
}

base::task<result<caller_answer>>
commitTransaction(statement_core &Core, transaction_table &Table, call Call) {
  auto Found = findTransaction(Table, Call);
  if (!Found)
    co_return Found.error();
  copyBeginState(Call, **Found);
  const base::term_number Term = (*Found)->Term;
  run_request Request;
  Request.Commit = true;
  run_result Ran =
      co_await runMarkedBusy(Core, **Found, Call, std::move(Request));
  close(Core, Table, Call.Request.Transaction, Ran.Answer.has_value());
  if (!Ran.Answer)
    co_return Ran.Failed.Failure;
  const base::log_position Position = Ran.Answer->Position;
  const auto Confirmed = co_await Core.Ports.Confirm(
      Call.Group, Term, Position, Call.Deadline, confirm_kind::Replicated);
  if (!Confirmed)
    co_return failure(errc::OutcomeUnknown, Confirmed.error().Detail);
  caller_answer Answer;
  Answer.Session = tokenAfter(Core, Call, Term, Position);
  Answer.ServedBy = "primary";
  co_return Answer;
}

base::task<result<caller_answer>>
rollBackTransaction(statement_core &Core, transaction_table &Table, call Call) {
  auto Found = findTransaction(Table, Call);
  if (!Found)
    co_return Found.error();
  copyBeginState(Call, **Found);
  run_request Request;
  Request.Rollback = true;
  const run_result Ran =
      co_await runMarkedBusy(Core, **Found, Call, std::move(Request));
  close(Core, Table, Call.Request.Transaction, Ran.Answer.has_value());
  // Without an answer the connection is closed, which rolls back.
  co_return caller_answer{};
}

void abandonTransaction(statement_core &Core, transaction_table &Table,
                        const call &Call) {
  if (findTransaction(Table, Call))
    close(Core, Table, Call.Request.Transaction, false);
}

void closeAbandoned(statement_core &Core, transaction_table &Table,
                    base::instant Now) {
  const control::configuration &Configuration = Core.Ports.Configuration();
  for (auto Entry = Table.Open.begin(); Entry != Table.Open.end();) {
    open_transaction &Transaction = Entry->second;
    const bool KeyGone =
        std::ranges::find(Configuration.Keys, Transaction.KeyId,
                          &control::customer_key::Id) ==
        Configuration.Keys.end();
    const bool Idle = Now - Transaction.UsedAt > Table.IdleLimit;
    const bool Abandoned = !Transaction.Busy && (KeyGone || Idle);
    if (Abandoned)
      unpin(Core, Transaction.Pinned, false);
    Entry = Abandoned ? Table.Open.erase(Entry) : std::next(Entry);
  }
}

} // namespace redwinggw::data
