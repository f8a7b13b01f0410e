#include "redwinggw/session/endpoint_pool.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>
#include <ranges>

namespace redwinggw::session {
namespace {

namespace asio = boost::asio;
using base::instant;
using base::milliseconds;

/// Weight of the newest statement in the smoothed latency: about the last ten
/// count.
constexpr double LatencyWeight = 0.1;
/// Callers that wait for a connection here, at most; beyond it the wait would
/// outlast every statement's time.
constexpr std::size_t LongestQueue = 400;

/// What the owner said of its load counts for about as long as a few
/// statements take; then what is known here is the better guess.
constexpr milliseconds OwnerLoadCounts{150};

acquire_failure failureOf(const exchange &Exchange) {
  if (Exchange.Outcome != exchange_outcome::Answered || !Exchange.Answer.Error)
    return acquire_failure::Unreachable;
  const answer_code Code = Exchange.Answer.Error->Code;
  if (Code == answer_code::Misrouted)
    return acquire_failure::Misrouted;
  const bool Full = Code == answer_code::TooMany || Code == answer_code::Busy;
  return Full ? acquire_failure::Exhausted : acquire_failure::Unreachable;
}

} // namespace

/// A coroutine that waits for a connection; sleeps until it is woken.
struct endpoint_pool::waiter {
  explicit waiter(asio::any_io_executor Executor)
      : Timer(Executor, asio::steady_timer::time_point::max()) {}
  asio::steady_timer Timer;
  bool Woken = false;
};

endpoint_pool::endpoint_pool(asio::any_io_executor Executor,
                             deadline_watch &Watch, link_factory Factory,
                             endpoint_entry Entry)
    : Executor(std::move(Executor)), Watch(Watch), Factory(std::move(Factory)),
      Entry(std::move(Entry)) {
  Queue.Settings.Total = LongestQueue;
}

endpoint_pool::~endpoint_pool() = default;

void endpoint_pool::setLimits(pool_limits NewLimits) {
  Limits = NewLimits;
  wakeNext();
}

link_handle endpoint_pool::takeIdle(std::string_view Customer,
                                    const session_values &Values) {
  // The most recently used first: the others may then grow old and close.
  auto Best = Idle.end();
  for (auto At = Idle.begin(); At != Idle.end(); ++At) {
    if ((*At)->Customer != Customer)
      continue;
    if (Best == Idle.end())
      Best = At;
    if ((*At)->ValuesKnown && (*At)->Values == Values) {
      Best = At;
      break;
    }
  }
  if (Best == Idle.end())
    return nullptr;
  link_handle Link = std::move(*Best);
  Idle.erase(Best);
  return Link;
}

bool endpoint_pool::hasIdle(std::string_view Customer) const {
  return std::ranges::any_of(Idle, [&](const link_handle &Link) {
    return Link->Customer == Customer;
  });
}

bool endpoint_pool::wasRefused(milliseconds Within) const {
  return RefusedAt && base::now() - *RefusedAt < Within;
}

bool endpoint_pool::mayOpen() const {
  // Below the even part too: an endpoint still counts the connections of
  // instances that died a moment ago. With a connection of its own at work,
  // which is free soon, a statement does better to wait for that one.
  if (Open < Limits.Connections)
    return Open == 0 || !wasRefused(Limits.FullPause);
  return Open < Limits.MostConnections && !wasRefused(Limits.RefusedPause);
}

/// Closes the idle connection that was used longest ago.
bool endpoint_pool::evictOne() {
  if (Idle.empty())
    return false;
  Idle.pop_back();
  --Open;
  return true;
}

base::task<acquired> endpoint_pool::connect(base::customer_name Customer,
                                            instant Deadline) {
  ++Open;
  ++Connects;
  auto Link = std::make_unique<pooled_link>();
  Link->Link = Factory();
  Link->Customer = std::move(Customer);
  Link->ValuesKnown = true;
  const instant Latest = base::now() + Limits.ConnectTimeout;
  const exchange Opened = co_await Link->Link->open(Entry, Link->Customer,
                                                    std::min(Deadline, Latest));
  const bool Answered = Opened.Outcome == exchange_outcome::Answered;
  if (Answered && !Opened.Answer.Error) {
    Link->UsedAt = base::now();
    co_return acquired{std::move(Link)};
  }
  // A refusal shows that the endpoint is up; a caller's short deadline does
  // not show that it is down.
  if (!Answered && (Latest <= Deadline || base::now() < Deadline))
    noteFailure(base::now());
  --Open;
  const acquire_failure Failure = failureOf(Opened);
  if (Failure == acquire_failure::Exhausted)
    RefusedAt = base::now();
  wakeNext();
  co_return acquired{nullptr, Failure};
}

base::task<acquired> endpoint_pool::acquire(base::customer_name Customer,
                                            const session_values &Values,
                                            instant WaitUntil,
                                            instant Deadline) {
  while (true) {
    while (link_handle Link = takeIdle(Customer, Values)) {
      if (Link->Link->isUsable())
        co_return acquired{std::move(Link)};
      --Open;
    }
    const bool Fits = Open < Limits.Connections && mayOpen();
    if (Fits || evictOne() || mayOpen())
      co_return co_await connect(std::move(Customer), Deadline);
    if (!co_await waitForTurn(Customer, WaitUntil))
      co_return acquired{nullptr, acquire_failure::Exhausted};
  }
}

base::task<bool> endpoint_pool::waitForTurn(const base::customer_name &Customer,
                                            instant Deadline) {
  const data::queue_ticket Ticket{++LastTicket, Customer, Deadline};
  const std::size_t Width = std::max<std::size_t>(1, Limits.Connections);
  if (!enqueue(Queue, Ticket, Width, base::now()).Queued)
    co_return false;
  waiter Waiter(Executor);
  Waiters.emplace(Ticket.Id, &Waiter);
  const auto Expiry = Watch.add(Deadline, [&] { Waiter.Timer.cancel(); });
  boost::system::error_code Ignored;
  if (!Waiter.Woken)
    co_await Waiter.Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  Watch.drop(Expiry);
  Waiters.erase(Ticket.Id);
  if (!Waiter.Woken)
    cancel(Queue, Ticket);
  co_return Waiter.Woken;
}

void endpoint_pool::wakeNext() {
  if (isExhausted())
    return;
  while (const auto Ticket = dequeue(Queue)) {
    const auto Found = Waiters.find(Ticket->Id);
    if (Found == Waiters.end())
      continue;
    Found->second->Woken = true;
    Found->second->Timer.cancel();
    return;
  }
}

link_handle endpoint_pool::lend(std::unique_ptr<relay_link> Relay,
                                base::customer_name Customer) {
  ++Relayed;
  auto Link = std::make_unique<pooled_link>();
  Link->Relay = std::move(Relay);
  Link->Customer = std::move(Customer);
  return Link;
}

void endpoint_pool::giveBack(link_handle Link) {
  if (Link->Relay) {
    --Relayed;
    return;
  }
  Link->UsedAt = base::now();
  Idle.push_front(std::move(Link));
  wakeNext();
}

void endpoint_pool::discard(link_handle Link) {
  if (Link->Relay) {
    --Relayed;
    return;
  }
  Link.reset();
  --Open;
  wakeNext();
}

void endpoint_pool::closeIdle() {
  Open -= Idle.size();
  Idle.clear();
  wakeNext();
}

void endpoint_pool::closeUnused(instant Now) {
  const auto IsOld = [&](const link_handle &Link) {
    const milliseconds Longest =
        Open > Limits.Connections ? Limits.SpareIdleTime : Limits.IdleTime;
    return Now - Link->UsedAt > Longest;
  };
  while (!Idle.empty() && IsOld(Idle.back()))
    evictOne();
}

void endpoint_pool::noteOwnerLoad(std::size_t Load, instant Now) {
  OwnerLoad = Load;
  OwnerLoadAt = Now;
}

std::size_t endpoint_pool::load(instant Now) const {
  const std::size_t Own = Open - Idle.size() + waiting() + Relayed;
  const bool Told = OwnerLoadAt && Now - *OwnerLoadAt < OwnerLoadCounts;
  return Told ? std::max(Own, OwnerLoad) : Own;
}

void endpoint_pool::noteSuccess(instant SentAt, instant Now) {
  Health.Failures = 0;
  Health.FailingSince.reset();
  Health.LastSuccess = Now;
  const double Took =
      std::chrono::duration<double, std::milli>(Now - SentAt).count();
  Health.Latency = Health.Latency == 0
                       ? Took
                       : std::lerp(Health.Latency, Took, LatencyWeight);
}

void endpoint_pool::noteFailure(instant Now) {
  ++Health.Failures;
  if (!Health.FailingSince)
    Health.FailingSince = Now;
  Health.LastFailure = Now;
}

} // namespace redwinggw::session
