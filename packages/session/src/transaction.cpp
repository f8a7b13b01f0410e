#include "core_parts.hpp"
#include "link_setup.hpp"

/// Statements inside transactions, commits and rollbacks.
namespace redwinggw::session {
namespace {

/// A rollback needs no slot; a connection that does not confirm it by then is
/// closed, which rolls back as well.
constexpr base::milliseconds RollbackTime{500};

answer failTransaction(caller_session &Session, answer_code Code,
                       std::string Reason) {
  Session.Transaction->Failed = true;
  Session.Transaction->InDoubt = Code == answer_code::InDoubt;
  answer Answer = makeError(Code, std::move(Reason));
  Answer.State = transaction_state::Failed;
  return Answer;
}

/// Begins the transaction on \p Placement's endpoint.
base::task<exchange> beginOn(session_core &Core, caller_session &Session,
                             request &Request, placement &Placement,
                             bool ReadOnly) {
  link_statement Statement;
  Statement.Action = ReadOnly ? link_action::BeginReadOnly : link_action::Begin;
  Statement.Values = Session.Values;
  Statement.After = pointOf(Placement);
  Statement.PrimaryLease = Placement.PrimaryLease;
  co_return co_await runOnPlacement(Core, Request, Placement,
                                    std::move(Statement));
}

bool isSuccess(const exchange &Exchange) {
  return Exchange.Outcome == exchange_outcome::Answered &&
         !Exchange.Answer.Error;
}

/// Finds an endpoint for the transaction and begins it there. False when none
/// could be found; nothing has run then.
base::task<bool> openOnEndpoint(session_core &Core, caller_session &Session,
                                request &Request) {
  open_transaction &Transaction = *Session.Transaction;
  const bool NeedsPrimary =
      !Transaction.ReadOnly ||
      Transaction.Route.Consistency == consistency::Primary;
  while (Request.Tries < Core.Limits.MaxTries) {
    auto Placement =
        co_await findPlacement(Core, Session, Request, NeedsPrimary);
    if (!Placement)
      co_return false;
    ++Request.Tries;
    const exchange Begun = co_await beginOn(Core, Session, Request, *Placement,
                                            Transaction.ReadOnly);
    const bool Opened = isSuccess(Begun);
    const base::endpoint_name Endpoint = Placement->Link.Pool->entry().Name;
    settle(Core, Session, Request, *Placement, Begun, Opened);
    if (Opened) {
      Transaction.Pool = Placement->Link.Pool;
      Transaction.Link = std::move(Placement->Link.Link);
      Transaction.PrimaryLease = Placement->PrimaryLease;
      Transaction.Counted.settle(true);
      co_return true;
    }
    if (!Placement->SentNothing)
      Request.LastProblem = Endpoint + " did not begin the transaction";
    if (!mayRetry(Core, Request, *Placement))
      co_return false;
  }
  co_return false;
}

/// The transaction's connection as a placement, so that statements inside and
/// outside of transactions are run and settled in one way.
placement takePlacement(open_transaction &Transaction, request &Request) {
  placement Placement;
  Placement.Link =
      checked_out_link(Transaction.Pool, std::move(Transaction.Link));
  Placement.PrimaryLease = Transaction.PrimaryLease;
  Placement.InTransaction = true;
  Placement.TryDeadline = Request.Deadline;
  Request.OnPrimary = Transaction.PrimaryLease.has_value();
  Request.Epoch =
      Transaction.PrimaryLease ? Transaction.PrimaryLease->Epoch : 0;
  Request.Tried.assign(1, Transaction.Pool->entry().Name);
  return Placement;
}

void putBack(open_transaction &Transaction, placement &Placement) {
  Transaction.Link = std::move(Placement.Link.Link);
}

base::task<exchange> runOnAnyLink(pooled_link &Link,
                                  const link_statement &Statement,
                                  base::instant Deadline) {
  if (!Link.Forwarding)
    co_return co_await runOnLink(Link, Statement, {}, Deadline);
  forwarding_reply Reply =
      co_await Link.Forwarding->run(Statement, Deadline, Deadline);
  co_return std::move(Reply.Exchange);
}

/// Rolls back on a connection and returns it to its pool, or closes it.
base::task<void> rollbackOn(checked_out_link Link) {
  // Closing the connection rolls back too; the endpoint must get nothing more.
  if (!Link || Link.Pool->isEvacuated())
    co_return;
  link_statement Statement;
  Statement.Action = link_action::Rollback;
  const exchange Ended =
      co_await runOnAnyLink(*Link.Link, Statement, base::now() + RollbackTime);
  if (isSuccess(Ended) && Ended.Answer.State == transaction_state::Idle)
    Link.release();
}

bool isLost(session_core &Core, const open_transaction &Transaction) {
  return Transaction.PrimaryLease &&
         !Core.Ports.StillHolds(*Transaction.PrimaryLease);
}

/// Whether the transaction cannot go on, since its endpoint must get nothing
/// more.
bool isEvacuated(const open_transaction &Transaction) {
  return Transaction.Link && Transaction.Pool->isEvacuated();
}

/// The same, since the endpoint or the instance that runs the statements there
/// is outside the home regions by a newer configuration.
bool isAway(const session_core &Core, const request &Request,
            const open_transaction &Transaction) {
  if (!Transaction.Link)
    return false;
  const auto &Forwarding = Transaction.Link->Forwarding;
  const base::zone_name &Zone = Transaction.Pool->entry().Zone;
  return !isHome(Core.Regions, Request.Homes, Zone) ||
         (Forwarding &&
          !isHome(Core.Regions, Request.Homes, Forwarding->zone()));
}

/// What a transaction that a statement has ended may promise. Without a
/// signature from inside of it, the answer to its begin may have been an
/// earlier one's; a write then ran by itself.
answer_code codeOfFailure(const open_transaction &Transaction,
                          const request &Request, const exchange &Done) {
  const auto &Error = Done.Answer.Error;
  const bool Refused = Done.Outcome == exchange_outcome::Answered && Error &&
                       Error->Code != answer_code::InDoubt;
  const bool MayHaveRun = Done.Outcome != exchange_outcome::NotSent && !Refused;
  return MayHaveRun && Request.Writes && !Transaction.Confirmed
             ? answer_code::InDoubt
             : answer_code::Aborted;
}

constexpr std::string_view AwayText =
    "the home regions have changed and do not allow the endpoint of this "
    "transaction; retry now";

constexpr std::string_view EvacuatedText =
    "the endpoint's availability zone is evacuated; retry now";

} // namespace

base::task<void> rollback(caller_session &Session) {
  if (!Session.Transaction)
    co_return;
  checked_out_link Link(Session.Transaction->Pool,
                        std::move(Session.Transaction->Link));
  Session.Transaction.reset();
  co_await rollbackOn(std::move(Link));
}

base::task<answer> serveInTransaction(session_core &Core,
                                      caller_session &Session,
                                      request &Request) {
  open_transaction &Transaction = *Session.Transaction;
  if (!Transaction.Link) {
    const bool Opened = co_await openOnEndpoint(Core, Session, Request);
    if (!Opened) {
      Transaction.Counted.settle(Request.Ran);
      const answer_error Refused = refusal(Core, Request);
      co_return failTransaction(Session, Refused.Code, Refused.Reason);
    }
  }
  if (isLost(Core, Transaction))
    co_return failTransaction(Session, answer_code::Aborted,
                              "the primary was replaced; retry now");
  if (isEvacuated(Transaction))
    co_return failTransaction(Session, answer_code::Aborted,
                              std::string(EvacuatedText));
  if (isAway(Core, Request, Transaction))
    co_return failTransaction(Session, answer_code::Aborted,
                              std::string(AwayText));
  Transaction.Wrote = Transaction.Wrote || Request.Writes;
  placement Placement = takePlacement(Transaction, Request);
  exchange Done = co_await runOn(Core, Session, Request, Placement);
  const bool Answered = Done.Outcome == exchange_outcome::Answered;
  settle(Core, Session, Request, Placement, Done, Answered);
  const auto &Error = Done.Answer.Error;
  Transaction.Confirmed = Transaction.Confirmed || (Answered && !Error);
  const answer_code Code = codeOfFailure(Transaction, Request, Done);
  if (!Answered)
    co_return failTransaction(Session, Code,
                              "the connection to the endpoint was lost; its "
                              "transaction is rolled back");
  putBack(Transaction, Placement);
  if (isLost(Core, Transaction))
    co_return failTransaction(Session, Code,
                              "the primary was replaced; retry now");
  // The transaction cannot commit any more, whatever the error was.
  if (Error)
    co_return failTransaction(Session, Code,
                              "the endpoint answered " +
                                  std::string(answerCodeName(Error->Code)));
  Done.Answer.State = transaction_state::Open;
  co_return std::move(Done.Answer);
}

namespace {

/// The answer to a commit. \p Wrote: whether the transaction has written; if
/// not, every failure leaves no effect and may be retried.
answer answerToCommit(exchange Done, bool Trusted, bool Wrote) {
  const auto &Error = Done.Answer.Error;
  const bool Answered = Done.Outcome == exchange_outcome::Answered;
  if (Answered && !Error && Trusted)
    return std::move(Done.Answer);
  if (!Wrote)
    return makeError(answer_code::Aborted,
                     "the commit was not confirmed; the transaction had only "
                     "read");
  if (Done.Outcome == exchange_outcome::NotSent)
    return makeError(answer_code::Aborted,
                     "the connection to the endpoint was lost before the "
                     "commit was sent");
  if (Error)
    return makeError(isSafeToRetry(Error->Code) ? answer_code::Aborted
                                                : Error->Code,
                     "the endpoint answered the commit with " +
                         std::string(answerCodeName(Error->Code)));
  return makeError(Done.Outcome == exchange_outcome::TimedOut
                       ? answer_code::Timeout
                       : answer_code::InDoubt,
                   "the commit was sent and not confirmed");
}

} // namespace

base::task<answer> serveCommit(session_core &Core, caller_session &Session,
                               request &Request) {
  open_transaction &Transaction = *Session.Transaction;
  bool Opened = Transaction.Link != nullptr;
  if (!Opened)
    Opened = co_await openOnEndpoint(Core, Session, Request);
  if (!Opened) {
    Transaction.Counted.settle(Request.Ran);
    Session.Transaction.reset();
    co_return makeError(refusal(Core, Request));
  }
  if (isLost(Core, Transaction)) {
    co_await rollback(Session);
    co_return makeError(answer_code::Aborted,
                        "the primary was replaced; retry now");
  }
  if (isEvacuated(Transaction)) {
    co_await rollback(Session);
    co_return makeError(answer_code::Aborted, std::string(EvacuatedText));
  }
  if (isAway(Core, Request, Transaction)) {
    co_await rollback(Session);
    co_return makeError(answer_code::Aborted, std::string(AwayText));
  }
  const bool Wrote = Transaction.Wrote;
  Request.Writes = !Transaction.ReadOnly;
  placement Placement = takePlacement(Transaction, Request);
  Session.Transaction.reset();
  link_statement Statement;
  Statement.Id = Request.Statement.Id;
  Statement.Text = Request.Statement.Text;
  Statement.PrimaryLease = Placement.PrimaryLease;
  exchange Done =
      co_await runOnPlacement(Core, Request, Placement, std::move(Statement));
  settle(Core, Session, Request, Placement, Done, false);
  const bool Trusted =
      !Placement.PrimaryLease || Core.Ports.StillHolds(*Placement.PrimaryLease);
  co_return answerToCommit(std::move(Done), Trusted, Wrote);
}

bool isAbandoned(const session_core &Core, const caller_session &Session,
                 base::instant Now) {
  const auto &Transaction = Session.Transaction;
  return Transaction && Transaction->Link && !Session.Busy &&
         Now - Transaction->UsedAt > Core.Ports.Routes()->TransactionIdle;
}

base::task<void> abandonTransaction(caller_session &Session) {
  // The transaction is marked as failed before the first suspension: a
  // statement that arrives meanwhile must find a failed transaction, and never
  // run outside of one.
  Session.Transaction->Failed = true;
  checked_out_link Link(Session.Transaction->Pool,
                        std::move(Session.Transaction->Link));
  co_await rollbackOn(std::move(Link));
}

} // namespace redwinggw::session
