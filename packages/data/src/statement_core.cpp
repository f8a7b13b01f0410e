#include "redwinggw/data/statement_core.hpp"

#include "redwinggw/base/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace redwinggw::data {
namespace {

namespace asio = boost::asio;
using base::errc;
using base::failure;
using base::result;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);

run_result failed(failure Failure) {
  run_result Result;
  Result.Failed.Failure = std::move(Failure);
  return Result;
}

double randomUnit(statement_core &Core) {
  return std::uniform_real_distribution<>(0, 1)(Core.Random);
}

/// Whether the endpoint answered at all; if so, the connection still works.
bool hasAnswered(const run_result &Result) {
  return Result.Answer.has_value() || Result.Failed.Refusal != refusal::None;
}

void finishRun(statement_core &Core, dispatcher &Target, const call &Call,
               connection_handle Connection, const run_result &Result,
               base::instant SentAt) {
  const bool Answered = hasAnswered(Result);
  if (Result.Answer)
    Core.Ports.NoteState(Target.endpoint().Group, Result.Answer->State, SentAt);
  Core.Ports.NoteTraffic(Target.endpoint().Group, Target.endpoint().Name,
                         Answered, SentAt);
  if (Answered) {
    noteSuccess(Target.breaker());
    Target.pool().release(std::move(Connection));
  } else {
    noteFailure(Target.breaker(), base::now(), randomUnit(Core));
    Target.pool().discard(std::move(Connection));
    Target.pool().closeUnansweredSince(SentAt);
  }
  std::optional<base::microseconds> Busy;
  if (Result.Answer)
    Busy = Result.Answer->Busy;
  Target.release(Call.Customer, base::now() - SentAt, Busy);
}

/// Failures where no primary accepted the request. Such a request waits until
/// the group has a primary that answers. It adds no load, so it uses no token
/// of the retry budget.
bool hasNoWorkingPrimary(const failure &Failure) {
  switch (kindOf(Failure)) {
  case errc::EndpointUnreachable:
  case errc::NotPrimary:
  case errc::TermReplaced:
  case errc::NoPrimary:
    return true;
  default:
    return false;
  }
}

/// Whether requests to the known primary have just failed. A new primary, or
/// the old one once its circuit breaker closes again, is worth a try.
bool isPrimaryFailing(const statement_core &Core, std::string_view Group) {
  const group_view *View = Core.Ports.View(Group);
  const auto Primary = View == nullptr ? nullptr : primaryOf(Core, *View);
  return Primary && !isClosed(Primary->breaker(), base::now());
}

std::size_t limitOf(const control::endpoint &Endpoint, std::size_t Instances) {
  return std::max<std::size_t>(1, Endpoint.Connections /
                                      std::max<std::size_t>(1, Instances));
}

} // namespace

void applyConfiguration(statement_core &Core,
                        const control::configuration &Configuration,
                        std::size_t Instances) {
  ++Core.ConfigurationChanges;
  std::erase_if(Core.Dispatchers, [&](const auto &Entry) {
    return std::ranges::find(Configuration.Endpoints,
                             Entry.second->endpoint()) ==
           Configuration.Endpoints.end();
  });
  for (const control::endpoint &Endpoint : Configuration.Endpoints) {
    const std::size_t Limit = limitOf(Endpoint, Instances);
    auto &Dispatcher = Core.Dispatchers[Endpoint.Name];
    if (Dispatcher)
      Dispatcher->setConnectionLimit(Limit);
    else
      Dispatcher =
          std::make_shared<dispatcher>(Core.Executor, Core.Settings.Instance,
                                       Endpoint, Limit, Core.Settings.Queue);
  }
}

bool isKeyInForce(const statement_core &Core, call &Call) {
  const control::configuration &Configuration = Core.Ports.Configuration();
  if (Core.ConfigurationChanges == Call.KeyCheckedAt)
    return true;
  const auto Key = std::ranges::find(Configuration.Keys, Call.KeyId,
                                     &control::customer_key::Id);
  if (Key == Configuration.Keys.end() || Key->Digest != Call.KeyDigest ||
      Key->Customer != Call.Customer)
    return false;
  Call.KeyCheckedAt = Core.ConfigurationChanges;
  return true;
}

result<void> mayStillRun(const statement_core &Core, call &Call) {
  if (!Core.Ports.MayServe())
    return failure(errc::StaleConfiguration, Core.Settings.Instance);
  if (!isKeyInForce(Core, Call))
    return failure(errc::UnknownKey);
  return {};
}

base::task<run_result> runAt(statement_core &Core,
                             std::shared_ptr<dispatcher> Target, call &Call,
                             run_request Request) {
  const auto Acquired = co_await Target->acquire(Call.Customer, Call.Deadline);
  if (!Acquired)
    co_return failed(Acquired.error());
  if (const auto Allowed = mayStillRun(Core, Call); !Allowed) {
    Target->release(Call.Customer, {}, std::nullopt);
    co_return failed(Allowed.error());
  }
  const base::instant Deadline =
      std::min(Call.Deadline, base::now() + Core.Settings.TryTimeout);
  auto Connection = co_await Target->pool().acquire(Deadline);
  if (!Connection) {
    if (kindOf(Connection.error()) == errc::EndpointUnreachable) {
      noteFailure(Target->breaker(), base::now(), randomUnit(Core));
      Core.Ports.NoteTraffic(Call.Group, Target->endpoint().Name, false,
                             base::now());
    }
    Target->release(Call.Customer, {}, std::nullopt);
    co_return failed(Connection.error());
  }
  const base::instant SentAt = base::now();
  Core.Ports.Record(base::event_kind::RequestSent, Target->endpoint().Name, {},
                    Call.Request.RequestId);
  run_result Result = co_await run((*Connection)->Client, Request,
                                   Core.Settings.Instance, Deadline);
  finishRun(Core, *Target, Call, std::move(*Connection), Result, SentAt);
  co_return Result;
}

std::shared_ptr<dispatcher> primaryOf(const statement_core &Core,
                                      const group_view &View) {
  if (!View.Primary)
    return nullptr;
  const auto Found = Core.Dispatchers.find(*View.Primary);
  return Found == Core.Dispatchers.end() ? nullptr : Found->second;
}

base::task<result<const group_view *>> awaitPrimary(statement_core &Core,
                                                    const call &Call) {
  const auto Waited =
      co_await Core.Ports.AwaitPrimary(Call.Group, Call.Deadline);
  if (!Waited)
    co_return Waited.error();
  const group_view *View = Core.Ports.View(Call.Group);
  if (View == nullptr || !primaryOf(Core, *View))
    co_return failure(errc::NoPrimary, "group " + Call.Group);
  co_return View;
}

base::task<result<void>> awaitRetry(statement_core &Core, const call &Call,
                                    unsigned Try, const failure &Last) {
  const bool AwaitsPrimary = hasNoWorkingPrimary(Last);
  if (!AwaitsPrimary && !spendRetry(Core.Budget)) {
    ++Core.Counters.RetriesRefused;
    co_return Last;
  }
  ++Core.Counters.Retries;
  do {
    const base::microseconds Pause = backoff(Try, randomUnit(Core));
    if (base::now() + Pause >= Call.Deadline)
      co_return Last;
    asio::steady_timer Timer(Core.Executor, Pause);
    co_await Timer.async_wait(Token);
  } while (AwaitsPrimary && isPrimaryFailing(Core, Call.Group));
  co_return result<void>();
}

std::string tokenAfter(const statement_core &Core, call &Call,
                       base::term_number Term, base::log_position Position) {
  if (Call.SessionKind == session_kind::None)
    return {};
  static const std::vector<history_row> NoHistory;
  const group_view *View = Core.Ports.View(Call.Group);
  const group_position Seen{Call.Group, Term, Position};
  advance(Call.Session, View == nullptr ? NoHistory : View->History, Seen);
  return encodeToken(Core.Settings.FleetKey, Call.Customer, Call.Session);
}

} // namespace redwinggw::data
