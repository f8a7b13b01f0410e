#include "redwinggw/data/statement_core.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <iterator>

namespace redwinggw::data {
namespace {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;
using base::errc;
using base::failure;
using base::result;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);

read_request readOf(const call &Call) {
  read_request Read;
  Read.Session = Call.SessionKind;
  Read.MaxAge = Call.MaxAge;
  if (const auto *Position = findPosition(Call.Session, Call.Group))
    Read.Position = *Position;
  return Read;
}

run_request runOf(const call &Call) {
  run_request Request;
  Request.ReadOnly = true;
  Request.Statements = {Call.Request.Statement};
  return Request;
}

std::vector<endpoint_load> loadsOf(const statement_core &Core,
                                   const group_view &View) {
  std::vector<endpoint_load> Loads;
  for (const member_view &Member : View.Members) {
    const auto Found = Core.Dispatchers.find(Member.Endpoint.Name);
    if (Found == Core.Dispatchers.end())
      continue;
    dispatcher &Target = *Found->second;
    Loads.push_back({Member.Endpoint.Name, Target.waiting() + Target.running(),
                     !isClosed(Target.breaker(), base::now())});
  }
  return Loads;
}

base::task<void> pause(statement_core &Core, base::microseconds Time) {
  if (Time <= base::microseconds(0))
    co_return;
  asio::steady_timer Timer(Core.Executor, Time);
  co_await Timer.async_wait(Token);
}

result<caller_answer> toCallerAnswer(run_answer Answer, std::string Session,
                                     std::string_view ServedBy) {
  if (Answer.Results.empty())
    return failure(errc::TruncatedAnswer, "no result");
  caller_answer Delivered;
  Delivered.Result = std::move(Answer.Results.back());
  Delivered.Session = std::move(Session);
  Delivered.ServedBy = ServedBy;
  return Delivered;
}

/// Tries a replica; empty when the primary has to serve the read.
base::task<std::optional<result<caller_answer>>>
tryReplica(statement_core &Core, call &Call) {
  const group_view *View = Core.Ports.View(Call.Group);
  if (View == nullptr)
    co_return std::nullopt;
  const read_request Read = readOf(Call);
  const route Route =
      routeRead(*View, Read, loadsOf(Core, *View), Core.Settings.Zone,
                Core.Settings.Routing, base::now());
  if (mayUseReplica(Read, Core.Settings.Routing))
    ++Core.Counters.ReadsAllowed;
  if (!Route.Replica || base::now() + Route.Wait >= Call.Deadline)
    co_return std::nullopt;
  const auto Target = Core.Dispatchers.find(*Route.Replica);
  if (Target == Core.Dispatchers.end())
    co_return std::nullopt;
  const std::shared_ptr<dispatcher> Dispatcher = Target->second;
  co_await pause(Core, Route.Wait);
  const base::instant SentAt = base::now();
  run_request Request = runOf(Call);
  run_result Ran = co_await runAt(Core, Dispatcher, Call, std::move(Request));
  if (!Ran.Answer) {
    const bool Final = retryKindOf(Ran.Failed.Failure) == retry_kind::Never &&
                       kindOf(Ran.Failed.Failure) != errc::Overloaded;
    if (Final)
      co_return std::optional<result<caller_answer>>(Ran.Failed.Failure);
    ++Core.Counters.ReplicaMisses;
    co_return std::nullopt;
  }
  const group_view *After = Core.Ports.View(Call.Group);
  if (After == nullptr ||
      !isFreshEnough(*After, Ran.Answer->State, Ran.Answer->Position, Read,
                     Core.Settings.Routing, SentAt)) {
    ++Core.Counters.ReplicaMisses;
    co_return std::nullopt;
  }
  ++Core.Counters.ReadsAtReplica;
  std::string Session =
      tokenAfter(Core, Call, Ran.Answer->State.Term, Ran.Answer->Position);
  co_return toCallerAnswer(std::move(*Ran.Answer), std::move(Session),
                           "replica");
}

/// Tries the primary. The answer is only used once a majority has confirmed,
/// after the request arrived, that the term is still in force and that it holds
/// everything the read saw. Otherwise a primary that was replaced while cut off
/// could answer with data that is stale or about to be dropped.
base::task<result<caller_answer>> tryPrimary(statement_core &Core, call &Call) {
  const auto View = co_await awaitPrimary(Core, Call);
  if (!View)
    co_return View.error();
  const base::term_number Term = (*View)->Term;
  const std::shared_ptr<dispatcher> Target = primaryOf(Core, **View);
  run_request Request = runOf(Call);
  Request.ExpectTerm = Term;
  // Both start after the request arrived, so they may run concurrently.
  auto [Ran, Current] =
      co_await (runAt(Core, Target, Call, std::move(Request)) &&
                Core.Ports.Confirm(Call.Group, Term, 0, Call.Deadline,
                                   confirm_kind::ReplicatedAndCurrent));
  if (!Ran.Answer)
    co_return Ran.Failed.Failure;
  if (!Current)
    co_return Current.error();
  const base::log_position Position = Ran.Answer->Position;
  const auto Confirmed = co_await Core.Ports.Confirm(
      Call.Group, Term, Position, Call.Deadline, confirm_kind::Replicated);
  if (!Confirmed)
    co_return Confirmed.error();
  std::string Session = tokenAfter(Core, Call, Term, Position);
  co_return toCallerAnswer(std::move(*Ran.Answer), std::move(Session),
                           "primary");
}

/// A read without an answer has had no effect, whatever the failure.
failure asNotRun(const failure &Failure) {
  if (retryKindOf(Failure) != retry_kind::SameId)
    return Failure;
  return {errc::DeadlinePassed, Failure.Detail};
}

} // namespace

base::task<result<caller_answer>> serveRead(statement_core &Core, call Call) {
  ++Core.Counters.Reads;
  auto AtReplica = co_await tryReplica(Core, Call);
  if (AtReplica)
    co_return std::move(*AtReplica);
  for (unsigned Try = 1;; ++Try) {
    auto Answer = co_await tryPrimary(Core, Call);
    if (Answer)
      co_return Answer;
    if (retryKindOf(Answer.error()) == retry_kind::Never)
      co_return Answer;
    const failure Last = asNotRun(Answer.error());
    const auto Again = co_await awaitRetry(Core, Call, Try, Last);
    if (!Again)
      co_return Again.error();
  }
}

} // namespace redwinggw::data
