#include "core_parts.hpp"

#include "redwinggw/base/log.hpp"

#include <functional>

/// Records each answer: a structured log line and the metrics.
namespace redwinggw::session {
namespace {

using base::metric;

/// Whether a log line about a statement may still be written in this second.
bool mayLog(log_budget &LogBudget, bool Failed, base::instant Now) {
  const auto Second =
      std::chrono::floor<std::chrono::seconds>(Now.time_since_epoch()).count();
  if (Second != LogBudget.Second) {
    LogBudget.Second = Second;
    LogBudget.Served = 0;
    LogBudget.Failed = 0;
  }
  unsigned &Used = Failed ? LogBudget.Failed : LogBudget.Served;
  const unsigned Most =
      Failed ? LogBudget.FailedPerSecond : LogBudget.ServedPerSecond;
  if (Used < Most) {
    ++Used;
    return true;
  }
  ++LogBudget.Suppressed;
  return false;
}

std::string_view outcomeOf(const answer &Answer) {
  if (!Answer.Error)
    return base::outcomeName(base::outcome::Done);
  return base::outcomeName(isSafeToRetry(Answer.Error->Code)
                               ? base::outcome::NotRun
                               : base::outcome::Unknown);
}

std::string pointText(const std::optional<log_point> &Point) {
  return Point ? std::to_string(Point->Term) + "." +
                     std::to_string(Point->Position)
               : "";
}

void writeLine(session_core &Core, const caller_session &Session,
               const request &Request, const answer &Answer,
               base::microseconds Took) {
  const auto &Error = Answer.Error;
  const auto Milliseconds = std::chrono::floor<base::milliseconds>(Took);
  const std::string &Text = Request.Statement.Text;
  base::logEvent(
      Error ? base::log_level::Warning : base::log_level::Info,
      base::log_part::Callers, Error ? answerCodeName(Error->Code) : "served",
      {{"request", Request.Statement.Id},
       {"outcome", std::string(outcomeOf(Answer))},
       {"session", std::to_string(Session.Number)},
       {"customer", Session.Customer},
       {"route", Request.Route.Name},
       {"service", Request.Route.Service},
       {"statement", Text.substr(0, Text.find(' '))},
       {"endpoint", Request.Tried.empty() ? "" : Request.Tried.back()},
       {"via", Request.Via},
       {"tries", std::to_string(Request.Tries)},
       {"epoch", std::to_string(Request.Epoch)},
       {"required", pointText(Request.Required)},
       {"took_ms", std::to_string(Milliseconds.count())},
       {"configuration", std::to_string(Core.Ports.Routes()->Version)},
       {"reason", Error ? Error->Reason : Request.LastProblem}});
}

void count(session_core &Core, const caller_session &Session,
           const request &Request, const answer &Answer,
           base::microseconds Took) {
  const std::string Kind = Request.Writes ? "write" : "read";
  add(counterOf(Core.Metrics, metric::RequestsTotal,
                {Session.Customer, Kind, std::string(outcomeOf(Answer))}));
  if (Answer.Error)
    add(counterOf(
        Core.Metrics, metric::RefusalsTotal,
        {Session.Customer, std::string(answerCodeName(Answer.Error->Code))}));
  if (Request.Tried.empty())
    return;
  const std::string Target = Request.OnPrimary ? "primary" : "replica";
  observe(histogramOf(Core.Metrics, metric::RequestSeconds, {Kind, Target}),
          Took);
  const bool ReplicaAllowed = Request.Route.Consistency != consistency::Primary;
  if (!Request.Writes)
    add(counterOf(Core.Metrics, metric::ReadsTotal,
                  {Target, ReplicaAllowed ? "yes" : "no"}));
}

} // namespace

void recordAnswer(session_core &Core, const caller_session &Session,
                  const request &Request, const answer &Answer) {
  // A success that needed no endpoint involved no decision and is not recorded.
  if (!Answer.Error && Request.Tried.empty())
    return;
  const base::instant Now = base::now();
  count(Core, Session, Request, Answer, Now - Request.Arrived);
  if (mayLog(Core.LogBudget, Answer.Error.has_value(), Now))
    writeLine(Core, Session, Request, Answer, Now - Request.Arrived);
}

void recordForwarded(session_core &Core, const forwarding_request &Request,
                     const forwarding_reply &Reply, base::microseconds Took) {
  const bool Answered = Reply.Exchange.Outcome == exchange_outcome::Answered;
  add(counterOf(Core.Metrics, metric::RelayedTotal,
                {std::string(forwardingFailureName(Reply.Failure))}));
  if (Answered || !mayLog(Core.LogBudget, true, base::now()))
    return;
  const pool_ptr Pool = findPool(Core.Set, Request.Endpoint);
  // An endpoint that is not listed any more has no pool to report on.
  const auto Count = [&](auto Of) {
    return Pool ? std::to_string(Of(*Pool)) : std::string();
  };
  base::logEvent(
      base::log_level::Warning, base::log_part::Peers, "relay_failed",
      {{"request", Request.Statement.Id},
       {"customer", Request.Customer},
       {"endpoint", Request.Endpoint},
       {"failure", std::string(forwardingFailureName(Reply.Failure))},
       {"reason", std::string(ownerLackName(Reply.Lack))},
       {"outcome", std::string(outcomeName(Reply.Exchange.Outcome))},
       {"fault", std::string(answerFaultName(Reply.Exchange.Fault))},
       {"retry_ms", std::to_string(Reply.RetryAfter.count())},
       {"running", Count(std::mem_fn(&endpoint_pool::running))},
       {"waiting", Count(std::mem_fn(&endpoint_pool::waiting))},
       {"open", Count(std::mem_fn(&endpoint_pool::open))},
       {"idle", Count(std::mem_fn(&endpoint_pool::idle))},
       {"took_ms",
        std::to_string(std::chrono::floor<base::milliseconds>(Took).count())}});
}

} // namespace redwinggw::session
