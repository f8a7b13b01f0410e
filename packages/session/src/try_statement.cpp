#include "core_parts.hpp"
#include "link_setup.hpp"

#include <algorithm>

/// One attempt to run a statement on the connection that was chosen for it, and
/// what its outcome shows.
namespace redwinggw::session {

using base::instant;
using base::milliseconds;

instant patienceDeadline(const session_core &Core, const request &Request) {
  const auto Patience = std::chrono::duration_cast<base::microseconds>(
      Request.Route.TargetLatency * Core.Limits.PatienceShare);
  return std::min(Request.Deadline, Request.Arrived + Patience);
}

instant queueDeadline(const session_core &Core, const request &Request) {
  const auto Time = std::chrono::duration_cast<base::microseconds>(
      Request.Route.TargetLatency * Core.Limits.QueueShare);
  return std::min(Request.Deadline, Request.Arrived + Time);
}

bool isHeldBack(const endpoint_pool &Pool, const exchange &Exchange) {
  return Exchange.Outcome == exchange_outcome::NotSent &&
         isCold(Pool.cold(), base::now());
}

namespace {

/// Whether the endpoint has run the statement, or may have.
bool mayHaveRun(const exchange &Exchange) {
  if (Exchange.Outcome == exchange_outcome::NotSent)
    return false;
  if (Exchange.Outcome != exchange_outcome::Answered || !Exchange.Answer.Error)
    return true;
  const answer_code Code = Exchange.Answer.Error->Code;
  return !isSafeToRetry(Code) && Code != answer_code::UnknownName;
}

/// Why the owner did not run a statement.
std::string problemOf(const forwarding_reply &Reply, std::string_view Owner,
                      std::string_view Endpoint) {
  const std::string Through =
      std::string(Endpoint) + " through " + std::string(Owner);
  switch (Reply.Lack) {
  case owner_lack::Slot:
    return "no turn at " + Through + " in time";
  case owner_lack::Connection:
    return "no connection to " + Through + " in time";
  case owner_lack::ColdToken:
    return Through + ": the endpoint is cold";
  case owner_lack::Acceptance:
    return "no connection to " + Through + ": it accepts no more at present";
  default:
    return Through + ": " + std::string(forwardingFailureName(Reply.Failure));
  }
}

/// Lets the endpoint's owner run the statement.
base::task<exchange> runByOwner(session_core &Core, request &Request,
                                placement &Placement,
                                const link_statement &Statement) {
  forwarding_link &Forwarding = *Placement.Link.Link->Forwarding;
  endpoint_pool &Pool = *Placement.Link.Pool;
  Request.Via = Forwarding.owner();
  const instant WaitUntil = Placement.InTransaction
                                ? Placement.TryDeadline
                                : queueDeadline(Core, Request);
  forwarding_reply Reply =
      co_await Forwarding.run(Statement, WaitUntil, Placement.TryDeadline);
  Placement.Failure = Reply.Failure;
  Placement.SentNothing = Reply.Failure != forwarding_failure::OwnerLost &&
                          Reply.Exchange.Outcome == exchange_outcome::NotSent;
  Placement.RanSince = base::now() - Reply.Ran;
  if (Reply.Failure != forwarding_failure::OwnerLost)
    Pool.noteOwnerLoad(Reply.Load, base::now());
  // The owner's connection may have broken since the endpoint restarts. Without
  // this every instance would probe it before the list says that it is cold.
  if (Reply.Failure == forwarding_failure::None &&
      Reply.Exchange.Outcome == exchange_outcome::Broken)
    presumeCold(Pool.cold(), base::now());
  if (Reply.Failure != forwarding_failure::None)
    Request.LastProblem = problemOf(Reply, Request.Via, Pool.entry().Name);
  else if (Placement.SentNothing)
    Request.LastProblem = Pool.entry().Name + " through " + Request.Via +
                          ": the session could not be set up";
  Request.RetryAfter = Reply.RetryAfter;
  co_return std::move(Reply.Exchange);
}

/// Runs the statement on a connection of this instance. The first statement
/// there already has a slot; the later ones of a transaction get one here.
base::task<exchange> runLocally(session_core &Core, request &Request,
                                placement &Placement,
                                const link_statement &Statement) {
  Request.Via.clear();
  checked_out_link &Link = Placement.Link;
  if (!Link.Grant)
    Link.Grant =
        co_await acquireSlot(Link.Pool, slot_level::InTransaction,
                             Link.Link->Customer, Placement.TryDeadline);
  if (!Link.Grant) {
    Placement.Failure = forwarding_failure::NoConnection;
    co_return exchange();
  }
  exchange Done = co_await runOnLink(
      *Link.Link, Statement, Core.Ports.StillHolds, Placement.TryDeadline);
  if (Link.Pool->repeatsAnswers() &&
      isDoubtfulBegin(*Link.Link, Statement, Done)) {
    Placement.Failure = forwarding_failure::NoConnection;
    co_return exchange();
  }
  if (isHeldBack(*Link.Pool, Done)) {
    const bool Begins = Statement.Action != link_action::Caller;
    Placement.Failure = forwarding_failure::NoConnection;
    Placement.SentNothing = true;
    Request.LastProblem = Link.Pool->entry().Name + " is cold";
    Request.RetryAfter = coldRetryAfter(
        Link.Pool->cold(), Begins ? cold_use::Begin : cold_use::Single,
        base::now());
  }
  co_return Done;
}

} // namespace

base::task<exchange> runOnPlacement(session_core &Core, request &Request,
                                    placement &Placement,
                                    link_statement Statement) {
  const pool_ptr Pool = Placement.Link.Pool;
  if (Pool->isEvacuated()) {
    Placement.Failure = forwarding_failure::NoConnection;
    co_return exchange();
  }
  const instant Sent = base::now();
  Pool->noteSent(Sent);
  exchange Exchange;
  if (Placement.Link.Link->Forwarding) {
    Exchange = co_await runByOwner(Core, Request, Placement, Statement);
    Exchange.SentAt = Sent;
  } else {
    Exchange = co_await runLocally(Core, Request, Placement, Statement);
  }
  Pool->noteEnded(Sent);
  Request.Ran = Request.Ran || mayHaveRun(Exchange);
  co_return Exchange;
}

base::task<exchange> runOn(session_core &Core, caller_session &Session,
                           request &Request, placement &Placement) {
  link_statement Statement;
  Statement.Id = Request.Statement.Id;
  Statement.Values = Session.Values;
  Statement.After = pointOf(Placement);
  Statement.PrimaryLease = Placement.PrimaryLease;
  if (Request.Prepared == nullptr) {
    Statement.Text = Request.Statement.Text;
  } else {
    Statement.Prepared = Request.Prepared->Operand;
    Statement.Arguments = Request.Statement.Operand;
  }
  co_return co_await runOnPlacement(Core, Request, Placement,
                                    std::move(Statement));
}

namespace {

/// Records what a replica's answer shows about its lag.
void noteLag(replica_lag &Lag, const placement &Placement,
             const exchange &Exchange, instant Now) {
  if (Placement.PrimaryLease)
    return;
  if (Exchange.Answer.Point)
    noteReached(Lag, *Exchange.Answer.Point);
  if (!Placement.Required)
    return;
  const auto &Error = Exchange.Answer.Error;
  if (Error && Error->Code == answer_code::Lagging)
    noteLagging(Lag, *Placement.Required, Now);
  else if (!Error)
    noteServed(Lag);
}

void noteAnswer(session_core &Core, caller_session &Session,
                const request &Request, placement &Placement,
                const exchange &Exchange) {
  const instant Now = base::now();
  endpoint_pool &Pool = *Placement.Link.Pool;
  Pool.noteSuccess(Placement.RanSince.value_or(Exchange.SentAt), Now);
  const auto &Error = Exchange.Answer.Error;
  noteLag(Pool.health().Lag, Placement, Exchange, Now);
  if (Error && Error->Code == answer_code::ReadOnly)
    Core.Ports.NoteEndpointProblem(Pool.entry().Name);
  const auto Point = Exchange.Answer.Point;
  if (Error || !Placement.PrimaryLease ||
      !Core.Ports.StillHolds(*Placement.PrimaryLease))
    return;
  if (Point)
    notePoint(Core.Set, *Placement.PrimaryLease, Exchange.SentAt, *Point);
  const bool Committed =
      Request.Writes && Exchange.Answer.State == transaction_state::Idle;
  if (Committed)
    noteCommit(Session.Commits, Placement.PrimaryLease->Service, Point, Now);
}

/// Whether an attempt without an answer is the endpoint's failure, and not that
/// of the instance that should have run it, or of a lease that was lost during
/// the set-up.
bool endpointFailed(const session_core &Core, const placement &Placement,
                    const exchange &Exchange) {
  if (Placement.Failure != forwarding_failure::None)
    return Placement.Failure == forwarding_failure::EndpointLost;
  const bool LeaseLost = Exchange.Outcome == exchange_outcome::NotSent &&
                         Placement.PrimaryLease &&
                         !Core.Ports.StillHolds(*Placement.PrimaryLease);
  return !LeaseLost;
}

} // namespace

void settle(session_core &Core, caller_session &Session, request &Request,
            placement &Placement, const exchange &Exchange, bool Keep) {
  endpoint_pool &Pool = *Placement.Link.Pool;
  if (Exchange.Outcome == exchange_outcome::Answered) {
    noteAnswer(Core, Session, Request, Placement, Exchange);
    const bool Idle = Exchange.Answer.State == transaction_state::Idle;
    // The statement may run again, and its answer must not look repeated.
    const bool Trusted = !Placement.PrimaryLease ||
                         Core.Ports.StillHolds(*Placement.PrimaryLease);
    if (!Keep && Idle && Trusted)
      Placement.Link.release();
    return;
  }
  // The next attempt bypasses an owner that could not be used. The standby
  // takes the place of one that is lost.
  const bool ToStandby = Core.Limits.StandbyOwners &&
                         Placement.Failure == forwarding_failure::OwnerLost;
  Request.Direct = !ToStandby &&
                   Placement.Failure != forwarding_failure::None &&
                   Placement.Failure != forwarding_failure::NoConnection;
  if (!endpointFailed(Core, Placement, Exchange))
    return;
  Pool.noteFailure(base::now());
  Pool.closeIdle();
  Core.Ports.NoteEndpointProblem(Pool.entry().Name);
}

bool mayTryElsewhere(const session_core &Core, const request &Request) {
  return Request.Tried.size() < Request.Candidates &&
         base::now() < queueDeadline(Core, Request);
}

bool mayRetry(const session_core &Core, const request &Request,
              const placement &Last) {
  const instant Now = base::now();
  const bool GotNoConnection = Last.Failure == forwarding_failure::NoConnection;
  if (GotNoConnection && Request.RetryAfter.count() != 0)
    return mayTryElsewhere(Core, Request);
  return Now <
         (GotNoConnection ? patienceDeadline(Core, Request) : Request.Deadline);
}

answer makeError(answer_error Error) {
  answer Answer;
  Answer.Error = std::move(Error);
  return Answer;
}

answer makeError(answer_code Code, std::string Reason) {
  return makeError(answer_error{Code, std::move(Reason)});
}

answer_error refusal(const session_core &Core, const request &Request) {
  // If the end of the problem is not known, a caller does best to retry after
  // about the time in which a primary is replaced.
  constexpr milliseconds UnknownEnd{500};
  const milliseconds Expected =
      Request.RetryAfter.count() != 0 ? Request.RetryAfter : UnknownEnd;
  const milliseconds After =
      Core.Ports.PrimaryExpected(Request.Route.Service).value_or(Expected);
  return {answer_code::Busy, Request.LastProblem + "; retry after " +
                                 std::to_string(After.count()) + " ms"};
}

} // namespace redwinggw::session
