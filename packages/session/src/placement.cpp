#include "core_parts.hpp"
#include "link_setup.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

/// Where a statement runs.
namespace redwinggw::session {
namespace {

using base::instant;
using base::milliseconds;

/// Pause before looking again for an endpoint that can serve.
constexpr milliseconds LookAgain{20};

/// Until when to wait for something that is not known to come: longer holds
/// keep callers from trying elsewhere.
instant patienceEnd(const session_core &Core, const request &Request) {
  const auto Patience = std::chrono::duration_cast<base::microseconds>(
      Request.Route.TargetLatency * Core.Limits.PatienceShare);
  return std::min(Request.Deadline, Request.Arrived + Patience);
}

/// Until when to wait for a turn on an endpoint's slots: it comes, unlike what
/// patienceEnd is for, and later the answer would be late.
instant queueEnd(const session_core &Core, const request &Request) {
  const auto Time = std::chrono::duration_cast<base::microseconds>(
      Request.Route.TargetLatency * Core.Limits.QueueShare);
  return std::min(Request.Deadline, Request.Arrived + Time);
}

/// Until when a connection may be set up: a statement that gets it then can
/// still be answered within the aimed latency.
instant setUpEnd(const session_core &Core, const request &Request) {
  const auto Time = std::chrono::duration_cast<base::microseconds>(
      Request.Route.TargetLatency * Core.Limits.SetUpShare);
  return std::min(Request.Deadline,
                  std::max(Request.Arrived + Time, base::now()));
}

/// Until when to wait for a primary that is expected at \p Expected. What would
/// come too late is refused at once; what does not come as expected is not
/// waited for up to the end, or the caller would have no time left to go
/// elsewhere.
instant waitEnd(const session_core &Core, request &Request, instant Expected) {
  if (Request.WaitEnd)
    return *Request.WaitEnd;
  constexpr milliseconds Margin{400};
  const bool InTime = Expected < Request.Deadline;
  Request.WaitEnd = InTime ? std::min(Request.Deadline, Expected + Margin)
                           : patienceEnd(Core, Request);
  return *Request.WaitEnd;
}

/// The point that a read of this session must see; nothing when only the
/// primary can tell.
std::optional<required_point> pointFor(session_core &Core,
                                       const caller_session &Session,
                                       const request &Request, instant Now) {
  const route &Route = Request.Route;
  if (Route.Consistency == consistency::Primary)
    return std::nullopt;
  const auto Samples = Core.Set.Samples.find(Route.Service);
  if (Samples == Core.Set.Samples.end())
    return std::nullopt;
  auto Point = requiredPoint(Samples->second, Route.MaxStaleness, Now);
  const bool OwnCommits = Route.Consistency == consistency::ReadYourWrites &&
                          Session.CommitService == Route.Service;
  const bool IsLater = Point && OwnCommits && Session.LastCommit &&
                       *Session.LastCommit > Point->Point;
  if (IsLater)
    Point = required_point{*Session.LastCommit, Session.LastCommitAt};
  return Point;
}

instant tryDeadline(const session_core &Core, const request &Request,
                    instant Now, bool Repeatable) {
  if (!Repeatable || Request.Tries > 0)
    return Request.Deadline;
  const auto Left = Request.Deadline - Now;
  return Now + std::chrono::duration_cast<base::microseconds>(
                   Left * Core.Limits.FirstTryShare);
}

/// The way to the endpoint through its owner; null when this instance goes
/// there itself.
std::unique_ptr<relay_link> relayTo(const session_core &Core,
                                    const caller_session &Session,
                                    const request &Request,
                                    const endpoint_entry &Entry) {
  if (Request.Direct || !Core.Ports.Relay)
    return nullptr;
  return Core.Ports.Relay(Entry, Session.Customer, Request.Route.Priority);
}

/// Tries to get a connection to \p Name. Nothing when that endpoint cannot
/// serve now.
base::task<std::optional<placement>>
connectTo(session_core &Core, caller_session &Session, request &Request,
          const base::endpoint_name &Name, instant Latest) {
  const pool_ptr Pool = poolOf(Core.Set, Name);
  if (Pool == nullptr)
    co_return std::nullopt;
  placement Placement;
  if (auto Relay = relayTo(Core, Session, Request, Pool->entry())) {
    Placement.Link =
        leased_link(Pool, Pool->lend(std::move(Relay), Session.Customer));
    co_return Placement;
  }
  slot_pass Pass = co_await takeTurn(Pool, levelOf(Request.Route.Priority),
                                     Session.Customer, queueEnd(Core, Request));
  if (!Pass) {
    Request.LastTrouble = "no turn at " + Name + " in time, " +
                          std::to_string(Pool->waiting()) + " waiting";
    co_return std::nullopt;
  }
  acquired Acquired = co_await Pool->acquire(Session.Customer, Session.Values,
                                             Latest, setUpEnd(Core, Request));
  if (!Acquired.Link) {
    Request.LastTrouble = "no connection to " + Name + ", " +
                          std::to_string(Pool->open()) + " open, " +
                          std::to_string(Pool->waiting()) + " waiting";
    if (Acquired.Failure == acquire_failure::Unreachable)
      Core.Ports.NoteTrouble(Name);
    co_return std::nullopt;
  }
  Placement.Link = leased_link(Pool, std::move(Acquired.Link));
  Placement.Link.Pass = std::move(Pass);
  co_return Placement;
}

/// The endpoints to try for a request, best first.
std::vector<choice_candidate>
candidatesFor(session_core &Core, const caller_session &Session,
              const request &Request, bool NeedsPrimary,
              const std::optional<primary_right> &Right,
              const std::optional<required_point> &Point, instant Now) {
  auto Candidates =
      readCandidates(Core.Set, Request.Route.Service, Session.Customer,
                     Right ? &*Right : nullptr, Point, Now);
  if (NeedsPrimary || !Point)
    std::erase_if(Candidates, [](const choice_candidate &Candidate) {
      return !Candidate.IsPrimary;
    });
  return Candidates;
}

/// The best endpoint that was not tried yet; when all were, the best one.
const choice_candidate &
nextUntried(const std::vector<choice_candidate> &Candidates, request &Request) {
  const auto Found =
      std::ranges::find_if(Candidates, [&](const choice_candidate &Candidate) {
        return std::ranges::find(Request.Tried, Candidate.Name) ==
               Request.Tried.end();
      });
  if (Found != Candidates.end())
    return *Found;
  Request.Tried.clear();
  return Candidates.front();
}

} // namespace

base::task<void> pauseFor(session_core &Core, base::microseconds Time) {
  boost::asio::steady_timer Timer(Core.Set.Executor, Time);
  boost::system::error_code Ignored;
  co_await Timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
}

namespace {

/// Whether the endpoint has run the statement, or may have.
bool mayHaveRun(const exchange &Exchange) {
  if (Exchange.Outcome == exchange_outcome::NotSent)
    return false;
  if (Exchange.Outcome != exchange_outcome::Answered || !Exchange.Answer.Error)
    return true;
  const answer_code Code = Exchange.Answer.Error->Code;
  return !isPromise(Code) && Code != answer_code::Unknown;
}

/// Has the endpoint's owner run the statement.
base::task<exchange> runByOwner(session_core &Core, request &Request,
                                placement &Placement,
                                const link_statement &Statement) {
  relay_link &Relay = *Placement.Link.Link->Relay;
  endpoint_pool &Pool = *Placement.Link.Pool;
  Request.Via = Relay.owner();
  const instant WaitUntil =
      Placement.Begun ? Placement.TryDeadline : queueEnd(Core, Request);
  relay_reply Reply =
      co_await Relay.run(Statement, WaitUntil, Placement.TryDeadline);
  Placement.Failure = Reply.Failure;
  Placement.RanSince = base::now() - Reply.Ran;
  if (Reply.Failure != relay_failure::OwnerLost)
    Pool.noteOwnerLoad(Reply.Load, base::now());
  if (Reply.Failure != relay_failure::None)
    Request.LastTrouble = Pool.entry().Name + " through " + Request.Via + ": " +
                          std::string(relayFailureName(Reply.Failure));
  co_return std::move(Reply.Exchange);
}

/// Runs the statement on an own connection, which has its turn when it is the
/// first one there.
base::task<exchange> runHere(session_core &Core, request &Request,
                             placement &Placement,
                             const link_statement &Statement) {
  Request.Via.clear();
  leased_link &Link = Placement.Link;
  if (!Link.Pass)
    Link.Pass = co_await takeTurn(Link.Pool, slot_level::Begun,
                                  Link.Link->Customer, Placement.TryDeadline);
  if (!Link.Pass) {
    Placement.Failure = relay_failure::NoConnection;
    co_return exchange();
  }
  co_return co_await runOnLink(*Link.Link, Statement, Core.Ports.StillHolds,
                               Placement.TryDeadline);
}

} // namespace

base::task<exchange> runPlaced(session_core &Core, request &Request,
                               placement &Placement, link_statement Statement) {
  const pool_ptr Pool = Placement.Link.Pool;
  const instant Sent = base::now();
  Pool->noteSent(Sent);
  exchange Exchange;
  if (Placement.Link.Link->Relay) {
    Exchange = co_await runByOwner(Core, Request, Placement, Statement);
    Exchange.SentAt = Sent;
  } else {
    Exchange = co_await runHere(Core, Request, Placement, Statement);
  }
  Pool->noteEnded(Sent);
  Request.Ran = Request.Ran || mayHaveRun(Exchange);
  co_return Exchange;
}

namespace {

/// Gets a connection to the best candidate that was not tried yet, and notes
/// what its endpoint is trusted for.
base::task<std::optional<placement>>
tryBest(session_core &Core, caller_session &Session, request &Request,
        std::vector<choice_candidate> Candidates,
        std::optional<primary_right> Right,
        std::optional<required_point> Point) {
  const choice_candidate Chosen = nextUntried(Candidates, Request);
  Request.Tried.push_back(Chosen.Name);
  auto Placement = co_await connectTo(Core, Session, Request, Chosen.Name,
                                      patienceEnd(Core, Request));
  if (!Placement)
    co_return std::nullopt;
  if (Chosen.IsPrimary)
    Placement->Right = Right;
  else
    Placement->Required = Point;
  Request.OnPrimary = Chosen.IsPrimary;
  Request.Epoch = Right ? Right->Epoch : 0;
  Request.Required = pointOf(*Placement);
  const bool Repeatable = !Request.Writes && Candidates.size() > 1;
  Placement->TryDeadline = tryDeadline(Core, Request, base::now(), Repeatable);
  co_return Placement;
}

/// Pauses while a primary may still come in time. False when it is better to
/// refuse now.
base::task<bool> awaitPrimary(session_core &Core, request &Request) {
  const instant Now = base::now();
  const base::service_name &Service = Request.Route.Service;
  Request.LastTrouble = "no primary of " + Service;
  const auto Expected = Core.Ports.PrimaryExpected(Service);
  const instant Latest = Expected ? waitEnd(Core, Request, Now + *Expected)
                                  : patienceEnd(Core, Request);
  const bool Worthwhile = Now + LookAgain < Latest;
  if (Worthwhile)
    co_await pauseFor(Core, LookAgain);
  co_return Worthwhile;
}

bool mayTryAgain(const session_core &Core, request &Request) {
  ++Request.Tries;
  return Request.Tries < Core.Limits.MaxTries &&
         base::now() < patienceEnd(Core, Request);
}

} // namespace

base::task<std::optional<placement>> place(session_core &Core,
                                           caller_session &Session,
                                           request &Request,
                                           bool NeedsPrimary) {
  while (true) {
    const instant Now = base::now();
    const auto Right = Core.Ports.Right(Request.Route.Service);
    const auto Point = NeedsPrimary ? std::optional<required_point>()
                                    : pointFor(Core, Session, Request, Now);
    auto Candidates =
        candidatesFor(Core, Session, Request, NeedsPrimary, Right, Point, Now);
    if (Candidates.empty()) {
      const bool Again = co_await awaitPrimary(Core, Request);
      if (!Again)
        co_return std::nullopt;
      continue;
    }
    auto Placement = co_await tryBest(Core, Session, Request,
                                      std::move(Candidates), Right, Point);
    if (Placement)
      co_return Placement;
    if (!mayTryAgain(Core, Request))
      co_return std::nullopt;
  }
}

base::task<exchange> runOn(session_core &Core, caller_session &Session,
                           request &Request, placement &Placement) {
  link_statement Statement;
  Statement.Id = Request.Statement.Id;
  Statement.Values = Session.Values;
  Statement.After = pointOf(Placement);
  Statement.Right = Placement.Right;
  if (Request.Prepared == nullptr) {
    Statement.Text = Request.Statement.Text;
  } else {
    Statement.Prepared = Request.Prepared->Operand;
    Statement.Arguments = Request.Statement.Operand;
  }
  co_return co_await runPlaced(Core, Request, Placement, std::move(Statement));
}

namespace {

/// Takes in what a replica's answer tells about its lag.
void noteLag(replica_lag &Lag, const placement &Placement,
             const exchange &Exchange, instant Now) {
  if (Placement.Right)
    return;
  if (Exchange.Answer.Point)
    noteReached(Lag, *Exchange.Answer.Point);
  if (!Placement.Required)
    return;
  const auto &Error = Exchange.Answer.Error;
  if (Error && Error->Code == answer_code::Lagging)
    noteTrailing(Lag, *Placement.Required, Now);
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
    Core.Ports.NoteTrouble(Pool.entry().Name);
  const auto Point = Exchange.Answer.Point;
  if (Error || !Point || !Placement.Right ||
      !Core.Ports.StillHolds(*Placement.Right))
    return;
  notePoint(Core.Set, *Placement.Right, Exchange.SentAt, *Point);
  if (Core.Ports.NoteSample)
    Core.Ports.NoteSample(*Placement.Right, {Exchange.SentAt, *Point});
  const bool Committed =
      Request.Writes && Exchange.Answer.State == transaction_state::Idle;
  if (Committed) {
    Session.CommitService = Placement.Right->Service;
    Session.LastCommit = Point;
    Session.LastCommitAt = Now;
  }
}

} // namespace

namespace {

/// Whether the endpoint is to blame for a try that had no answer, and not the
/// instance that should have run it.
bool endpointFailed(relay_failure Failure) {
  return Failure == relay_failure::None ||
         Failure == relay_failure::EndpointLost;
}

} // namespace

void settle(session_core &Core, caller_session &Session, request &Request,
            placement &Placement, const exchange &Exchange, bool Keep) {
  endpoint_pool &Pool = *Placement.Link.Pool;
  if (Exchange.Outcome == exchange_outcome::Answered) {
    noteAnswer(Core, Session, Request, Placement, Exchange);
    const bool Idle = Exchange.Answer.State == transaction_state::Idle;
    if (!Keep && Idle)
      Placement.Link.giveBack();
    return;
  }
  // The next try does better without an owner that could not help.
  Request.Direct = Placement.Failure != relay_failure::None &&
                   Placement.Failure != relay_failure::NoConnection;
  if (!endpointFailed(Placement.Failure))
    return;
  Pool.noteFailure(base::now());
  Pool.closeIdle();
  Core.Ports.NoteTrouble(Pool.entry().Name);
}

bool mayRetry(const session_core &Core, const request &Request,
              const placement &Last) {
  const instant Now = base::now();
  const bool Crowded = Last.Failure == relay_failure::NoConnection;
  return Now < (Crowded ? patienceEnd(Core, Request) : Request.Deadline);
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
  // Without a known end of the trouble a caller does best to come back after
  // about the time in which a primary is replaced.
  constexpr milliseconds UnknownEnd{500};
  const milliseconds After =
      Core.Ports.PrimaryExpected(Request.Route.Service).value_or(UnknownEnd);
  return {answer_code::Busy, Request.LastTrouble + "; retry after " +
                                 std::to_string(After.count()) + " ms"};
}

} // namespace redwinggw::session
