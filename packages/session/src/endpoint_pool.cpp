#include "redwinggw/session/endpoint_pool.hpp"

#include "cold_wait.hpp"

#include "redwinggw/base/enum_table.hpp"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace redwinggw::session {
namespace {

namespace asio = boost::asio;
using base::instant;
using base::microseconds;
using base::milliseconds;

/// Weight of the newest statement in the smoothed latency: about the last ten
/// count.
constexpr double LatencyWeight = 0.1;
/// A load that the owner reported is used for about as long as a few statements
/// take; after that, what is known here is the better estimate.
constexpr milliseconds OwnerLoadValidFor{150};

/// Statements sent beyond the endpoint's slots, so that the next one is there
/// when a slot gets free, and not a round trip later.
constexpr unsigned ExtraInFlight = 1;
/// An endpoint that has answered nothing for StalledAfter, and for
/// StalledFactor times its usual latency, gets no more statements that would
/// have to wait.
constexpr milliseconds StalledAfter{250};
constexpr double StalledFactor = 8;

acquire_failure failureOf(const exchange &Exchange) {
  if (Exchange.Outcome != exchange_outcome::Answered || !Exchange.Answer.Error)
    return acquire_failure::Unreachable;
  const answer_code Code = Exchange.Answer.Error->Code;
  if (Code == answer_code::Misrouted)
    return acquire_failure::Misrouted;
  const bool Full = Code == answer_code::TooMany || Code == answer_code::Busy;
  return Full ? acquire_failure::EndpointRefused : acquire_failure::Unreachable;
}

constexpr std::array EvictionNames = std::to_array<base::enum_name<eviction>>({
    {eviction::Replaced, "replaced"},
    {eviction::Spare, "spare"},
    {eviction::Unneeded, "unneeded"},
    {eviction::Unused, "unused"},
    {eviction::Distrusted, "distrusted"},
});

} // namespace

std::string_view evictionName(eviction Reason) {
  return base::nameOf(EvictionNames, Reason);
}

endpoint_pool::endpoint_pool(asio::any_io_executor Executor,
                             deadline_watch &Watch, link_factory Factory,
                             endpoint_entry Entry)
    : Executor(std::move(Executor)), Watch(Watch), Factory(std::move(Factory)),
      Waiters(this->Executor, Watch) {
  Queue.Settings.MaxTotal = MaxWaiting;
  setEntry(std::move(Entry));
}

endpoint_pool::~endpoint_pool() = default;

void endpoint_pool::setEntry(endpoint_entry NewEntry) {
  Entry = std::move(NewEntry);
  Slots.MaxRunning = Entry.Slots == 0 ? 0 : Entry.Slots + ExtraInFlight;
}

void endpoint_pool::setEvacuated(bool IsEvacuated) {
  // The list may not say yet that the endpoint returns cold.
  if (Evacuated && !IsEvacuated)
    presumeCold(*Cold, base::now());
  Evacuated = IsEvacuated;
  Cold->Suspended = IsEvacuated;
  if (Evacuated)
    closeIdle();
}

bool endpoint_pool::isStalled(instant Now) const {
  if (waitsForTokens(*Cold, Now))
    return false;
  const auto Usual =
      milliseconds(static_cast<std::int64_t>(StalledFactor * Health.Latency));
  const milliseconds Longest = std::max(StalledAfter, Usual);
  instant Oldest = oldestUnanswered().value_or(Now);
  if (Limits.Policy == connection_policy::Demand && !SetUpStarts.empty())
    Oldest = std::min(Oldest, *SetUpStarts.begin());
  return Now - Oldest > Longest && Now - Health.LastSuccess > Longest;
}

base::task<bool> endpoint_pool::acquireSlot(slot_level Level,
                                            base::customer_name Customer,
                                            instant Until) {
  if (Evacuated)
    co_return false;
  if (tryStart(Slots))
    co_return true;
  const instant Now = base::now();
  if (isStalled(Now))
    co_return false;
  const data::queue_ticket Ticket{Waiters.nextNumber(), Customer, Until};
  if (!enqueue(Slots, Level, Ticket, Now).Queued)
    co_return false;
  const bool Started = co_await Waiters.wait(Ticket.Id, Until);
  if (!Started)
    cancel(Slots, Level, Ticket);
  if (Started && Evacuated) {
    --Slots.Running;
    startQueued();
    co_return false;
  }
  co_return Started;
}

void endpoint_pool::releaseSlot(slot_level Level, std::string_view Customer,
                                base::microseconds Busy) {
  finish(Slots, Level, Customer, Busy);
  startQueued();
}

void endpoint_pool::returnSlot() {
  --Slots.Running;
  startQueued();
}

microseconds endpoint_pool::expectedSlot(slot_level Level,
                                         std::string_view Customer) const {
  return expectedWait(Slots, Level, Customer);
}

void endpoint_pool::startQueued() {
  while (const auto Ticket = startNext(Slots)) {
    if (Waiters.wake(Ticket->Id))
      continue;
    // The coroutine has just given up waiting.
    --Slots.Running;
  }
}

void endpoint_pool::setLimits(pool_limits NewLimits) {
  Limits = NewLimits;
  wakeNext();
}

link_handle endpoint_pool::takeIdle(std::string_view Customer,
                                    const session_values &Values) {
  // The most recently used first, so that the others reach their idle time and
  // are closed.
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
  Link->TakenAt = base::now();
  customer_use &Use = useOf(Customer);
  --Use.Idle;
  ++Use.InUse;
  return Link;
}

bool endpoint_pool::isUnused(milliseconds Time, instant Now) const {
  const instant LastUse =
      std::max({OpenedAt, Health.LastSuccess, Health.LastFailure});
  return Open == 0 && Forwarded == 0 && waiting() == 0 && running() == 0 &&
         Unanswered.empty() && !isCold(*Cold, Now) && Now - LastUse > Time;
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
  // The endpoint may refuse connections even below the even share, since it
  // still counts those of instances that died a moment ago. With a connection
  // already open, it is faster to wait until that one is free.
  if (Open < Limits.Connections)
    return Open == 0 || !wasRefused(Limits.FullPause);
  return Open < Limits.MaxConnections && !wasRefused(Limits.RefusedPause);
}

customer_use &endpoint_pool::useOf(std::string_view Customer) {
  return Plan.Customers.try_emplace(base::customer_name(Customer))
      .first->second;
}

void endpoint_pool::countEvicted(const pooled_link &Link, eviction Reason) {
  --useOf(Link.Customer).Idle;
  --Open;
  ++Evicted.at(static_cast<std::size_t>(Reason));
}

/// Closes the least recently used idle connection.
bool endpoint_pool::evictOldest(eviction Reason) {
  if (Idle.empty())
    return false;
  countEvicted(*Idle.back(), Reason);
  Idle.pop_back();
  return true;
}

/// Closes the customer's least recently used idle connection. Precondition: it
/// has one.
void endpoint_pool::closeOneOf(std::string_view Customer) {
  const auto At = std::ranges::find_if(
      Idle.rbegin(), Idle.rend(),
      [&](const link_handle &Link) { return Link->Customer == Customer; });
  countEvicted(**At, eviction::Replaced);
  Idle.erase(std::prev(At.base()));
}

base::task<acquired> endpoint_pool::connect(base::customer_name Customer,
                                            instant Deadline) {
  ++Open;
  const token Token = co_await awaitToken(Cold, cold_use::Single, Deadline);
  if (Token == token::None) {
    --Open;
    wakeNext();
    co_return acquired{nullptr, Evacuated ? acquire_failure::Exhausted
                                          : acquire_failure::Cold};
  }
  ++Connects;
  ++useOf(Customer).InUse;
  ++Plan.SetUps;
  auto Link = std::make_unique<pooled_link>();
  Link->Link = Factory();
  Link->TakenAt = base::now();
  const auto Started = SetUpStarts.insert(Link->TakenAt);
  Link->Customer = std::move(Customer);
  Link->ValuesKnown = true;
  Link->Cold = Cold;
  const instant Latest = base::now() + Limits.ConnectTimeout;
  const exchange Opened = co_await Link->Link->open(Entry, Link->Customer,
                                                    std::min(Deadline, Latest));
  const bool Answered = Opened.Outcome == exchange_outcome::Answered;
  const bool Succeeded = Answered && !Opened.Answer.Error;
  SetUpStarts.erase(Started);
  noteSetUp(Plan, base::now() - Link->TakenAt, Succeeded);
  if (Succeeded) {
    Link->UsedAt = base::now();
    // Another set-up may begin.
    if (Limits.Policy == connection_policy::Demand)
      wakeNext();
    co_return acquired{std::move(Link)};
  }
  // It may restart, and be cold before the list says so.
  if (Opened.Outcome == exchange_outcome::NotSent ||
      Opened.Outcome == exchange_outcome::Broken)
    presumeCold(*Cold, base::now());
  // A refusal shows that the endpoint is up; a caller's short deadline does
  // not show that it is down.
  if (!Answered && (Latest <= Deadline || base::now() < Deadline))
    noteFailure(base::now());
  --Open;
  --useOf(Link->Customer).InUse;
  const acquire_failure Failure = failureOf(Opened);
  if (Failure == acquire_failure::EndpointRefused)
    RefusedAt = base::now();
  wakeNext();
  co_return acquired{nullptr, Failure};
}

base::task<acquired> endpoint_pool::acquire(base::customer_name Customer,
                                            const session_values &Values,
                                            instant WaitUntil,
                                            instant Deadline) {
  while (!Evacuated) {
    while (link_handle Link = takeIdle(Customer, Values)) {
      if (Link->Link->isUsable())
        co_return acquired{std::move(Link)};
      --useOf(Customer).InUse;
      --Open;
    }
    const bool Fits = Open < Limits.Connections && mayOpen();
    if (Fits || evictOldest(eviction::Replaced) || mayOpen())
      co_return co_await connect(std::move(Customer), Deadline);
    if (!co_await waitForConnection(Customer, WaitUntil))
      co_return acquired{nullptr, acquire_failure::Exhausted};
  }
  co_return acquired{nullptr, acquire_failure::Exhausted};
}

base::task<bool>
endpoint_pool::waitForConnection(const base::customer_name &Customer,
                                 instant Deadline) {
  const data::queue_ticket Ticket{Waiters.nextNumber(), Customer, Deadline};
  const std::size_t Width = std::max<std::size_t>(1, Limits.Connections);
  if (!enqueue(Queue, Ticket, Width, base::now()).Queued)
    co_return false;
  const bool Woken = co_await Waiters.wait(Ticket.Id, Deadline);
  if (!Woken)
    cancel(Queue, Ticket);
  co_return Woken;
}

void endpoint_pool::wakeNext() {
  if (Limits.Policy == connection_policy::Demand)
    return wakeByDemand();
  if (Queue.Size == 0 || isExhausted())
    return;
  while (const auto Ticket = dequeue(Queue))
    if (Waiters.wake(Ticket->Id))
      return;
}

link_handle
endpoint_pool::wrapForwarding(std::unique_ptr<forwarding_link> Forwarding,
                              base::customer_name Customer) {
  ++Forwarded;
  auto Link = std::make_unique<pooled_link>();
  Link->Forwarding = std::move(Forwarding);
  Link->Customer = std::move(Customer);
  return Link;
}

void endpoint_pool::release(link_handle Link) {
  if (Link->Forwarding) {
    --Forwarded;
    return;
  }
  if (Link->Answers.Suspect || Link->Refused)
    return discard(std::move(Link));
  Link->UsedAt = base::now();
  customer_use &Use = useOf(Link->Customer);
  --Use.InUse;
  ++Use.Idle;
  noteHeld(Plan, Link->Customer, Link->UsedAt - Link->TakenAt);
  Link->End = end_reserve();
  Idle.push_front(std::move(Link));
  wakeNext();
}

void endpoint_pool::discard(link_handle Link) {
  if (Link->Forwarding) {
    --Forwarded;
    return;
  }
  RepeatsAnswers = RepeatsAnswers || Link->Answers.Suspect;
  --useOf(Link->Customer).InUse;
  Link.reset();
  --Open;
  wakeNext();
}

void endpoint_pool::closeIdle() {
  while (evictOldest(eviction::Distrusted)) {
  }
  wakeNext();
}

bool endpoint_pool::isOverdue(const pooled_link &Link, instant Now) const {
  if (Open > Limits.Connections)
    return Now - Link.UsedAt > Limits.SpareIdleTime;
  if (Open > Limits.KeptConnections)
    return Now - Link.UsedAt > Limits.UnneededIdleTime;
  return Now - Link.UsedAt > Limits.IdleTime;
}

/// Why a connection is overdue with as many open as now.
eviction endpoint_pool::reasonNow() const {
  if (Open > Limits.Connections)
    return eviction::Spare;
  return Open > Limits.KeptConnections ? eviction::Unneeded : eviction::Unused;
}

void endpoint_pool::closeUnused(instant Now) {
  if (Limits.Policy == connection_policy::Demand)
    closeUnusedByDemand(Now);
  while (Limits.Policy == connection_policy::Recent && !Idle.empty() &&
         isOverdue(*Idle.back(), Now))
    evictOldest(reasonNow());
  forgetUnused(Plan, Now);
  wakeNext();
}

void endpoint_pool::noteOwnerLoad(std::size_t Load, instant Now) {
  OwnerLoad = Load;
  OwnerLoadAt = Now;
}

std::size_t endpoint_pool::load(instant Now) const {
  const std::size_t LocalLoad = Slots.Running + waiting() + Forwarded;
  const bool Reported = OwnerLoadAt && Now - *OwnerLoadAt < OwnerLoadValidFor;
  return Reported ? std::max(LocalLoad, OwnerLoad) : LocalLoad;
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
