#include "endpoint.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace redwinggw::standin {
namespace {

using data::endpoint_role;

/// A run that waits longer for a lock is refused, which also resolves
/// deadlocks.
constexpr std::chrono::seconds LockTimeout{1};
constexpr std::chrono::milliseconds LockRetry{1};

constexpr std::string_view NotPrimary = "not_primary";
constexpr std::string_view TermReplaced = "term_replaced";

/// Converts a failed \p Result to the result of the attempt and its refusal.
attempt failedAttempt(const sql_result &Result, run_refusal &Refusal) {
  if (Result.Status == sql_status::Locked)
    return attempt::Locked;
  Refusal = {Result.Status == sql_status::Unique ? "unique"
                                                 : "statement_failed",
             Result.Detail};
  return attempt::Refused;
}

void abandon(database_connection &Connection) {
  Connection.Transaction.reset();
  if (Connection.Handle)
    Connection.Handle->rollback();
}

} // namespace

base::task<http::response>
endpoint_standin::run(database_connection &Connection,
                      data::run_request Request) {
  ++Counters.Runs;
  run_refusal Refusal;
  if (auto Fault = checkShape(Connection, Request))
    co_return refuse(*Fault);
  run_progress Progress;
  Progress.AutoCommit = !Connection.Transaction && !Request.Begin;
  Progress.Request = std::move(Request);
  const base::instant LockDeadline = base::now() + LockTimeout;
  attempt Outcome = attempt::Locked;
  while (Outcome == attempt::Locked && base::now() < LockDeadline) {
    Outcome = co_await tryInSlot(Connection, Progress, Refusal);
    if (Outcome == attempt::Locked)
      co_await pause(Executor, LockRetry);
  }
  if (Outcome == attempt::Locked)
    Refusal = {"busy", "another transaction holds a lock"};
  if (Outcome != attempt::Finished) {
    abandon(Connection);
    co_return refuse(Refusal);
  }
  if (Progress.Committed && Faults.LostAnswers > 0) {
    --Faults.LostAnswers;
    http::response Closed;
    Closed.Status = CloseConnection;
    co_return Closed;
  }
  co_return withState({{"results", std::move(Progress.Results)},
                       {"position", Progress.Position},
                       {"in_transaction", Connection.Transaction != nullptr},
                       {"busy_us", Progress.Busy.count()}});
}

std::optional<run_refusal>
endpoint_standin::checkShape(const database_connection &Connection,
                             const data::run_request &Request) {
  if (!Connection.Connected)
    return run_refusal{"bad_request", "connect first"};
  if (Request.Begin && Connection.Transaction)
    return run_refusal{"bad_request", "a transaction is open already"};
  if (Request.Commit && Request.Rollback)
    return run_refusal{"bad_request", "commit and rollback"};
  return std::nullopt;
}

base::task<attempt> endpoint_standin::tryInSlot(database_connection &Connection,
                                                run_progress &Progress,
                                                run_refusal &Refusal) {
  co_await Slots.acquire();
  ++Counters.Running;
  Counters.MaxRunning = std::max(Counters.MaxRunning, Counters.Running);
  const base::instant Start = base::now();
  const auto Left =
      Progress.Request.Statements.size() - Progress.Results.size();
  co_await pause(Executor, Faults.Work * Left);
  const attempt Outcome = tryRun(Connection, Progress, Refusal);
  Progress.Busy += base::now() - Start;
  --Counters.Running;
  Slots.release();
  co_return Outcome;
}

/// Does not suspend between the check of the term and the commit, so that no
/// seal or promotion can be handled in between.
attempt endpoint_standin::tryRun(database_connection &Connection,
                                 run_progress &Progress, run_refusal &Refusal) {
  if (const attempt Begun = begin(Connection, Progress, Refusal);
      Begun != attempt::Finished)
    return Begun;
  open_transaction &Transaction = *Connection.Transaction;
  database &Database = handleOf(Connection);
  Progress.Position = stateOf(Replica).Applied;
  const auto &Statements = Progress.Request.Statements;
  while (Progress.Results.size() < Statements.size()) {
    const data::statement &Statement = Statements[Progress.Results.size()];
    sql_result Result = Database.execute(Statement, Transaction.ReadOnly);
    if (Result.Status != sql_status::Ok) {
      const attempt Outcome = failedAttempt(Result, Refusal);
      // An autocommit run starts over after the wait. It holds no locks
      // meanwhile, so that no other transaction waits for it.
      if (Progress.AutoCommit) {
        abandon(Connection);
        Progress.Results.clear();
      }
      return Outcome;
    }
    ++Counters.Statements;
    if (Result.Wrote)
      Transaction.Writes.push_back(Statement);
    Progress.Results.push_back(std::move(Result.Result));
  }
  return finish(Connection, Progress, Refusal);
}

attempt endpoint_standin::begin(database_connection &Connection,
                                const run_progress &Progress,
                                run_refusal &Refusal) {
  if (std::exchange(Connection.Lost, false)) {
    Refusal = {TermReplaced, "the transaction was rolled back"};
    return attempt::Refused;
  }
  const data::run_request &Request = Progress.Request;
  const bool ReadOnly = Connection.Transaction
                            ? Connection.Transaction->ReadOnly
                            : Request.ReadOnly;
  if (auto Refused = checkTerm(Request, ReadOnly)) {
    Refusal = std::move(*Refused);
    return attempt::Refused;
  }
  if (Connection.Transaction)
    return attempt::Finished;
  const sql_status Status = handleOf(Connection).begin(!ReadOnly);
  if (Status != sql_status::Ok)
    return failedAttempt({Status, "begin failed", {}, false}, Refusal);
  Connection.Transaction = std::make_unique<open_transaction>();
  Connection.Transaction->ReadOnly = ReadOnly;
  return attempt::Finished;
}

attempt endpoint_standin::finish(database_connection &Connection,
                                 run_progress &Progress, run_refusal &Refusal) {
  if (Progress.Request.Rollback) {
    abandon(Connection);
    return attempt::Finished;
  }
  if (!Progress.AutoCommit && !Progress.Request.Commit)
    return attempt::Finished;
  const sql_status Status = Connection.Handle->commit();
  if (Status != sql_status::Ok)
    return failedAttempt({Status, "commit failed", {}, false}, Refusal);
  auto Writes = std::move(Connection.Transaction->Writes);
  Connection.Transaction.reset();
  Progress.Committed = !Writes.empty();
  if (Progress.Committed) {
    appendEntry(std::move(Writes));
    Progress.Position = Replica.Log.size();
  }
  return attempt::Finished;
}

std::optional<run_refusal>
endpoint_standin::checkTerm(const data::run_request &Request,
                            bool ReadOnly) const {
  const bool IsPrimary = Replica.Role == endpoint_role::Primary;
  if (!IsPrimary && (!ReadOnly || Request.ExpectTerm))
    return run_refusal{NotPrimary, "this is not the primary"};
  if (Request.ExpectTerm && *Request.ExpectTerm != Replica.Term)
    return run_refusal{TermReplaced,
                       "the expected term is not the current one"};
  return std::nullopt;
}

database &endpoint_standin::handleOf(database_connection &Connection) {
  if (!Connection.Handle)
    Connection.Handle =
        std::make_unique<database>(Replica.Name + std::to_string(Generation));
  return *Connection.Handle;
}

void endpoint_standin::appendEntry(std::vector<data::statement> Writes) {
  Replica.Log.push_back({Replica.Term, std::move(Writes), base::now()});
  Replica.Applied = Replica.Log.size();
  StateChanged.wakeAll();
}

} // namespace redwinggw::standin
