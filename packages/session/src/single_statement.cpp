#include "core_parts.hpp"

/// Statements outside transactions.
namespace redwinggw::session {
namespace {

/// What to do after one attempt.
enum class next_step { Deliver, TryAgain };

/// Whether an endpoint's error means that this statement can still be served,
/// here or elsewhere. Reads may always be retried; a write only if the error
/// proves that it did not run.
next_step decideAfterError(answer_code Code, bool Writes) {
  switch (Code) {
  case answer_code::Busy:
  case answer_code::Lagging:
  case answer_code::ReadOnly:
  case answer_code::Misrouted:
  case answer_code::TooMany:
  case answer_code::UnknownName:
    return next_step::TryAgain;
  case answer_code::Failed:
  case answer_code::Timeout:
  case answer_code::InDoubt:
    return Writes ? next_step::Deliver : next_step::TryAgain;
  default:
    return next_step::Deliver;
  }
}

next_step decideAfterTry(const exchange &Exchange, bool Writes) {
  if (Exchange.Outcome == exchange_outcome::NotSent)
    return next_step::TryAgain;
  if (Exchange.Outcome != exchange_outcome::Answered)
    return Writes ? next_step::Deliver : next_step::TryAgain;
  if (!Exchange.Answer.Error)
    return next_step::Deliver;
  return decideAfterError(Exchange.Answer.Error->Code, Writes);
}

std::string problemOf(const exchange &Exchange, std::string_view Endpoint) {
  const std::string Name(Endpoint);
  switch (Exchange.Outcome) {
  case exchange_outcome::NotSent:
    return Name + " could not be asked";
  case exchange_outcome::Broken:
    return Name + " broke off" +
           (Exchange.Fault == answer_fault::None
                ? std::string()
                : ": " + std::string(answerFaultName(Exchange.Fault)));
  case exchange_outcome::TimedOut:
    return Name + " did not answer in time";
  case exchange_outcome::Answered:
    break;
  }
  const auto &Error = Exchange.Answer.Error;
  return Name + " answered " +
         std::string(Error ? answerCodeName(Error->Code) : "nothing");
}

/// The answer if no further attempt is possible.
answer finalAnswer(const session_core &Core, const request &Request,
                   const exchange &Exchange) {
  const auto &Error = Exchange.Answer.Error;
  if (Error && !isSafeToRetry(Error->Code) && Request.Writes)
    return makeError(Error->Code, Request.LastProblem);
  const bool Sent = Exchange.Outcome == exchange_outcome::Broken ||
                    Exchange.Outcome == exchange_outcome::TimedOut;
  if (Request.Writes && Sent)
    return makeError(Exchange.Outcome == exchange_outcome::TimedOut
                         ? answer_code::Timeout
                         : answer_code::InDoubt,
                     Request.LastProblem + "; the write may have run");
  if (!Request.Writes && Exchange.Outcome == exchange_outcome::TimedOut)
    return makeError(answer_code::Timeout, Request.LastProblem);
  return makeError(refusal(Core, Request));
}

/// The answer to deliver after an attempt; nothing if another one may serve.
std::optional<answer> answerToTry(session_core &Core, request &Request,
                                  const placement &Placement, exchange &Last) {
  const bool Done =
      Last.Outcome == exchange_outcome::Answered && !Last.Answer.Error;
  if (!Done) {
    if (!Placement.SentNothing)
      Request.LastProblem = problemOf(Last, Placement.Link.Pool->entry().Name);
    if (decideAfterTry(Last, Request.Writes) == next_step::TryAgain)
      return std::nullopt;
    return finalAnswer(Core, Request, Last);
  }
  // The answer is valid only if no other endpoint can have been promoted before
  // it.
  if (!Placement.PrimaryLease || Core.Ports.StillHolds(*Placement.PrimaryLease))
    return std::move(Last.Answer);
  Request.LastProblem = "the primary was replaced meanwhile";
  Last = {};
  if (Request.Writes)
    return makeError(answer_code::InDoubt, Request.LastProblem);
  return std::nullopt;
}

} // namespace

base::task<answer> serveSingle(session_core &Core, caller_session &Session,
                               request &Request) {
  const bool NeedsPrimary =
      Request.Writes || Request.Route.Consistency == consistency::Primary;
  exchange Last;
  while (Request.Tries < Core.Limits.MaxTries) {
    auto Placement =
        co_await findPlacement(Core, Session, Request, NeedsPrimary);
    if (!Placement)
      co_return makeError(refusal(Core, Request));
    ++Request.Tries;
    Last = co_await runOn(Core, Session, Request, *Placement);
    settle(Core, Session, Request, *Placement, Last, false);
    auto Answer = answerToTry(Core, Request, *Placement, Last);
    if (Answer)
      co_return std::move(*Answer);
    if (!mayRetry(Core, Request, *Placement))
      break;
  }
  co_return finalAnswer(Core, Request, Last);
}

} // namespace redwinggw::session
