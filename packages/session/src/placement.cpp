#include "core_parts.hpp"
#include "link_setup.hpp"

#include "redwinggw/session/check_out.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

/// Chooses the endpoint and the connection for a statement.
namespace redwinggw::session {
namespace {

using base::instant;
using base::milliseconds;

/// Pause before searching again for an endpoint that can serve.
constexpr milliseconds RetryInterval{20};

/// Until when a connection may be set up: a statement that gets it then can
/// still be answered within the target latency.
instant setUpDeadline(const session_core &Core, const request &Request) {
  const auto Time = std::chrono::duration_cast<base::microseconds>(
      Request.Route.TargetLatency * Core.Limits.SetUpShare);
  return Request.Arrived + Time;
}

/// Until when to wait for a primary that is expected at \p Expected. If that is
/// too late, the statement is refused without that wait; if the primary does
/// not come as expected, the wait ends before the deadline, or the caller would
/// have no time left to go elsewhere.
instant primaryWaitDeadline(const session_core &Core, request &Request,
                            instant Expected) {
  if (Request.PrimaryWaitDeadline)
    return *Request.PrimaryWaitDeadline;
  constexpr milliseconds Margin{400};
  const bool InTime = Expected < Request.Deadline;
  Request.PrimaryWaitDeadline =
      InTime ? std::min(Request.Deadline, Expected + Margin)
             : patienceDeadline(Core, Request);
  return *Request.PrimaryWaitDeadline;
}

/// The log position that a read of this session must include; nothing if only
/// the primary can serve it.
std::optional<required_point> pointFor(session_core &Core,
                                       const caller_session &Session,
                                       const request &Request, instant Now) {
  const route &Route = Request.Route;
  if (Route.Consistency == consistency::Primary)
    return std::nullopt;
  const auto Samples = Core.Set.Samples.find(Route.Service);
  if (Samples == Core.Set.Samples.end())
    return std::nullopt;
  if (Route.Consistency != consistency::ReadYourWrites)
    return requiredPoint(Samples->second, Route.MaxStaleness, Now);
  return requiredPointWith(Session.Commits, Route.Service, Samples->second,
                           Route.MaxStaleness, Now);
}

instant tryDeadline(const session_core &Core, const request &Request,
                    instant Now, bool Repeatable) {
  if (!Repeatable || Request.Tries > 0)
    return Request.Deadline;
  const auto Left = Request.Deadline - Now;
  return Now + std::chrono::duration_cast<base::microseconds>(
                   Left * Core.Limits.FirstTryShare);
}

/// A link that forwards to the endpoint's owner; null if this instance connects
/// to the endpoint itself, as it does for an owner outside the home regions.
std::unique_ptr<forwarding_link> forwardingLinkTo(const session_core &Core,
                                                  const caller_session &Session,
                                                  const request &Request,
                                                  const endpoint_entry &Entry) {
  if (Request.Direct || !Core.Ports.Forward)
    return nullptr;
  auto Link =
      Core.Ports.Forward(Entry, Session.Customer, Request.Route.Priority);
  const bool Home =
      Link == nullptr || isHome(Core.Regions, Request.Homes, Link->zone());
  return Home ? std::move(Link) : nullptr;
}

std::string problemOf(acquire_failure Failure, const endpoint_pool &Pool) {
  const std::string &Name = Pool.entry().Name;
  if (Failure == acquire_failure::Cold)
    return Name + " is cold";
  const std::string Waiting = std::to_string(Pool.waiting()) + " waiting";
  if (Failure == acquire_failure::NoSlot)
    return "no turn at " + Name + " in time, " + Waiting;
  return "no connection to " + Name + ", " + std::to_string(Pool.open()) +
         " open, " + Waiting;
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
  if (auto Forwarding =
          forwardingLinkTo(Core, Session, Request, Pool->entry())) {
    Placement.Link = checked_out_link(
        Pool, Pool->wrapForwarding(std::move(Forwarding), Session.Customer));
    co_return Placement;
  }
  const cold_use Use = Session.Transaction ? cold_use::Begin : cold_use::Single;
  if (refusesAsCold(Core, *Pool, Use, queueDeadline(Core, Request))) {
    Request.LastProblem = Name + " is cold";
    Request.RetryAfter = coldRetryAfter(Pool->cold(), Use, base::now());
    co_return std::nullopt;
  }
  check_out_request Wanted;
  Wanted.Level = levelOf(Request.Route.Priority);
  Wanted.Customer = Session.Customer;
  Wanted.Values = Session.Values;
  Wanted.SlotUntil = queueDeadline(Core, Request);
  Wanted.ConnectionUntil = Latest;
  Wanted.SetUpUntil = setUpDeadline(Core, Request);
  Wanted.Deadline = Request.Deadline;
  checked_out Out = co_await checkOut(Pool, std::move(Wanted));
  if (!Out.Link) {
    Request.LastProblem = problemOf(Out.Failure, *Pool);
    Request.RetryAfter = Out.RetryAfter;
    if (Out.Failure == acquire_failure::Unreachable)
      Core.Ports.NoteEndpointProblem(Name);
    co_return std::nullopt;
  }
  Placement.Link = std::move(Out.Link);
  co_return Placement;
}

/// The endpoints to try for a request, best first.
std::vector<choice_candidate>
candidatesFor(session_core &Core, const caller_session &Session,
              const request &Request, bool NeedsPrimary,
              const std::optional<primary_lease> &PrimaryLease,
              const std::optional<required_point> &Point, instant Now) {
  auto Candidates =
      readCandidates(Core.Set, Request.Route.Service, Session.Customer,
                     PrimaryLease ? &*PrimaryLease : nullptr, Point, Now);
  if (NeedsPrimary || !Point)
    std::erase_if(Candidates, [](const choice_candidate &Candidate) {
      return !Candidate.IsPrimary;
    });
  return Candidates;
}

bool isEntryHome(const session_core &Core, const request &Request,
                 const endpoint_entry &Entry) {
  return isHome(Core.Regions, Request.Homes, Entry.Zone);
}

/// Removes the endpoints outside the statement's home regions. True if there
/// were endpoints and none is left.
bool removeAway(const session_core &Core, const request &Request,
                std::vector<choice_candidate> &Candidates) {
  if (Candidates.empty() || !isRestricted(Request.Homes))
    return false;
  std::erase_if(Candidates, [&](const choice_candidate &Candidate) {
    const endpoint_entry *Entry =
        findEndpoint(Core.Set.Directory, Candidate.Name);
    return Entry == nullptr || !isEntryHome(Core, Request, *Entry);
  });
  return Candidates.empty();
}

/// Whether the service has an endpoint in the statement's home regions, which
/// may soon be able to serve it.
bool hasHomeEndpoint(const session_core &Core, const request &Request) {
  return std::ranges::any_of(
      endpointsOf(Core.Set.Directory, Request.Route.Service),
      [&](const endpoint_entry *Entry) {
        return isEntryHome(Core, Request, *Entry);
      });
}

/// Records that no endpoint in the home regions can serve the statement.
void noteAway(request &Request) {
  // A primary that is moved back, or a new configuration, takes about as long.
  constexpr milliseconds NextChange{2000};
  Request.LastProblem = "no endpoint of " + Request.Route.Service +
                        " that can serve this is in a home region (" +
                        textOf(Request.Homes) + ")";
  Request.RetryAfter = NextChange;
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

bool refusesAsCold(session_core &Core, const endpoint_pool &Pool, cold_use Use,
                   instant Until) {
  const instant Now = base::now();
  const auto Expected = tokenExpected(Pool.cold(), Use, Now);
  const bool Refused = !Expected || Now + *Expected > Until;
  if (Refused)
    add(counterOf(Core.Metrics, base::metric::ColdRefusalsTotal,
                  {Pool.entry().Name}));
  return Refused;
}

base::task<void> pauseFor(session_core &Core, base::microseconds Time) {
  boost::asio::steady_timer Timer(Core.Set.Executor, Time);
  boost::system::error_code Ignored;
  co_await Timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
}

namespace {

/// Gets a connection to the best candidate that was not tried yet, and records
/// the conditions under which its endpoint may serve.
base::task<std::optional<placement>>
tryBest(session_core &Core, caller_session &Session, request &Request,
        std::vector<choice_candidate> Candidates,
        std::optional<primary_lease> PrimaryLease,
        std::optional<required_point> Point) {
  const choice_candidate Chosen = nextUntried(Candidates, Request);
  Request.Candidates = Candidates.size();
  Request.RetryAfter = milliseconds(0);
  Request.Tried.push_back(Chosen.Name);
  auto Placement = co_await connectTo(Core, Session, Request, Chosen.Name,
                                      patienceDeadline(Core, Request));
  if (!Placement)
    co_return std::nullopt;
  if (Chosen.IsPrimary)
    Placement->PrimaryLease = PrimaryLease;
  else
    Placement->Required = Point;
  Request.OnPrimary = Chosen.IsPrimary;
  Request.Epoch = PrimaryLease ? PrimaryLease->Epoch : 0;
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
  Request.LastProblem = "no primary of " + Service;
  Request.RetryAfter = milliseconds(0);
  const auto Expected = Core.Ports.PrimaryExpected(Service);
  const instant Latest =
      Expected ? primaryWaitDeadline(Core, Request, Now + *Expected)
               : patienceDeadline(Core, Request);
  const bool Worthwhile = Now + RetryInterval < Latest;
  if (Worthwhile)
    co_await pauseFor(Core, RetryInterval);
  co_return Worthwhile;
}

bool mayTryAgain(const session_core &Core, request &Request) {
  ++Request.Tries;
  if (Request.Tries >= Core.Limits.MaxTries)
    return false;
  if (Request.RetryAfter.count() != 0)
    return mayTryElsewhere(Core, Request);
  return base::now() < patienceDeadline(Core, Request);
}

} // namespace

base::task<std::optional<placement>> findPlacement(session_core &Core,
                                                   caller_session &Session,
                                                   request &Request,
                                                   bool NeedsPrimary) {
  while (true) {
    const instant Now = base::now();
    const auto PrimaryLease = Core.Ports.PrimaryLease(Request.Route.Service);
    const auto Point = NeedsPrimary ? std::optional<required_point>()
                                    : pointFor(Core, Session, Request, Now);
    auto Candidates = candidatesFor(Core, Session, Request, NeedsPrimary,
                                    PrimaryLease, Point, Now);
    const bool Away = removeAway(Core, Request, Candidates);
    if (Candidates.empty()) {
      bool Again = false;
      if (!Away || hasHomeEndpoint(Core, Request))
        Again = co_await awaitPrimary(Core, Request);
      if (Again)
        continue;
      if (Away)
        noteAway(Request);
      co_return std::nullopt;
    }
    auto Placement = co_await tryBest(
        Core, Session, Request, std::move(Candidates), PrimaryLease, Point);
    if (Placement)
      co_return Placement;
    if (!mayTryAgain(Core, Request))
      co_return std::nullopt;
  }
}

} // namespace redwinggw::session
