#include "redwinggw/control/share_consumer.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>

namespace redwinggw::control {
namespace {

using base::instant;
using base::microseconds;

/// Minimum time before the next request after the allocator had no token.
constexpr microseconds MinRequestInterval{2'000};
constexpr double MicrosecondsPerSecond = 1e6;
/// A customer with less demand than this is idle.
constexpr double MinDemand = 0.01;

double inSeconds(microseconds Time) {
  return static_cast<double>(Time.count()) / MicrosecondsPerSecond;
}

void dropExpired(share_consumer &Consumer, share_account &Account,
                 instant Now) {
  if (!Consumer.Shares.CheckExpiry)
    return;
  std::erase_if(Account.Held, [&](const held_tokens &Held) {
    const bool Expired = Held.Until <= Now;
    Consumer.Counters.Expired += Expired ? Held.Count : 0;
    return Expired;
  });
}

/// Spends a token that has not expired, the one that expires first.
bool spend(share_consumer &Consumer, share_account &Account, instant Now) {
  dropExpired(Consumer, Account, Now);
  const auto First =
      std::ranges::min_element(Account.Held, {}, &held_tokens::Until);
  if (First == Account.Held.end())
    return false;
  First->Count -= 1;
  if (First->Count < 1)
    Account.Held.erase(First);
  ++Consumer.Counters.Spent;
  return true;
}

double heldTokens(const share_account &Account) {
  return std::accumulate(
      Account.Held.begin(), Account.Held.end(), 0.0,
      [](double Sum, const held_tokens &Held) { return Sum + Held.Count; });
}

void decayDemand(const share_consumer &Consumer, share_account &Account,
                 instant Now) {
  const double Windows = inSeconds(Now - Account.DemandAt) /
                         inSeconds(Consumer.Limits.DemandWindow);
  Account.Demand *= std::exp(-Windows);
  Account.DemandAt = Now;
}

bool isIdle(const share_account &Account) {
  return Account.Waiters.empty() && Account.Held.empty() &&
         Account.Demand < MinDemand;
}

/// Tokens to request: for the waiting requests, and for the demand expected
/// until a later request can be answered. An expectation of less than one
/// request is left out: that token would mostly expire.
double wantedTokens(share_consumer &Consumer, share_account &Account,
                    instant Now) {
  if (Now < Account.NextRequestAt)
    return 0;
  dropExpired(Consumer, Account, Now);
  decayDemand(Consumer, Account, Now);
  const microseconds RequestAhead =
      std::min(Consumer.Limits.RequestAhead, Account.Plan.Ttl / 2);
  const double Expected = std::floor(Account.Demand * inSeconds(RequestAhead) /
                                     inSeconds(Consumer.Limits.DemandWindow));
  const auto Waiting = static_cast<double>(Account.Waiters.size());
  const double Held = heldTokens(Account);
  const bool Low = Held < Expected / 2;
  if (Waiting == 0 && !Low)
    return 0;
  return Waiting + std::max(0.0, Expected - Held);
}

bool isRequested(const share_consumer &Consumer, std::uint16_t Partition,
                 instant Now) {
  return std::ranges::any_of(
      Consumer.Requests, [&](const share_request &Request) {
        return Request.Partition == Partition &&
               Now - Request.SentAt < Consumer.Limits.ResendAfter;
      });
}

std::vector<share_verdict> serveWaiters(share_consumer &Consumer,
                                        share_account &Account, instant Now) {
  std::vector<share_verdict> Verdicts;
  while (!Account.Waiters.empty() && spend(Consumer, Account, Now)) {
    Verdicts.push_back({Account.Waiters.front().Ticket, true, false, {}});
    Account.Waiters.pop_front();
  }
  return Verdicts;
}

/// The allocator answered. After an outage there is a backlog, which takes
/// about as long again to work off.
void noteAnswer(const share_consumer &Consumer, share_account &Account,
                instant Now) {
  const auto OutageTime = Now - Account.UnansweredSince.value_or(Now);
  Account.UnansweredSince.reset();
  if (OutageTime >= Consumer.Limits.OutageTime)
    Account.MaxWaitSuspendedUntil = Now + 2 * OutageTime;
}

void noteShortage(share_account &Account, microseconds Wait, instant Now) {
  Account.NextRequestAt = Now + std::max(Wait, MinRequestInterval);
  std::ranges::for_each(Account.Waiters, [&](share_waiter &Waiter) {
    Waiter.RefusedAt = Waiter.RefusedAt.value_or(Now);
  });
}

/// Whether a request could not get a token within MaxWait even at the full
/// rate. Such requests are refused at once: a flood must not wait in memory.
bool exceedsMaxWait(const share_consumer &Consumer,
                    const share_account &Account, std::size_t Index) {
  const double MaxWait = inSeconds(Consumer.Limits.MaxWait);
  return static_cast<double>(Index) > Account.Plan.Rate * MaxWait + 1;
}

bool isTimedOut(const share_consumer &Consumer, const share_account &Account,
                const share_waiter &Waiter, std::size_t Index, instant Now) {
  if (Waiter.Deadline <= Now)
    return true;
  if (Index >= Consumer.Limits.MaxWaiters)
    return true;
  if (!Waiter.RefusedAt || Now < Account.MaxWaitSuspendedUntil)
    return false;
  return exceedsMaxWait(Consumer, Account, Index) ||
         Now - *Waiter.RefusedAt >= Consumer.Limits.MaxWait;
}

} // namespace

bool takeToken(share_consumer &Consumer, std::string_view Customer,
               instant Now) {
  const auto Found = Consumer.Accounts.find(Customer);
  if (Found == Consumer.Accounts.end())
    return false;
  share_account &Account = Found->second;
  decayDemand(Consumer, Account, Now);
  if (!Account.Waiters.empty() || !spend(Consumer, Account, Now))
    return false;
  Account.Demand += 1;
  Consumer.Active.emplace(Customer);
  return true;
}

std::uint64_t waitForToken(share_consumer &Consumer, std::string_view Customer,
                           instant Now, instant Deadline) {
  share_account &Account = Consumer.Accounts.find(Customer)->second;
  decayDemand(Consumer, Account, Now);
  Account.Demand += 1;
  share_waiter &Waiter = Account.Waiters.emplace_back();
  Waiter.Ticket = ++Consumer.LastTicket;
  Waiter.Deadline = Deadline;
  Consumer.Active.emplace(Customer);
  return Waiter.Ticket;
}

std::vector<wire::share_message> dueRequests(share_consumer &Consumer,
                                             instant Now) {
  std::map<std::uint16_t, wire::share_message> ByPartition;
  for (const base::customer_name &Name : Consumer.Active) {
    share_account &Account = Consumer.Accounts[Name];
    if (isRequested(Consumer, Account.Partition, Now))
      continue;
    const double Wanted = wantedTokens(Consumer, Account, Now);
    if (Wanted < 1)
      continue;
    wire::share_entry Entry;
    Entry.Customer = Name;
    Entry.Tokens = static_cast<float>(Wanted);
    ByPartition[Account.Partition].Entries.push_back(std::move(Entry));
    Account.UnansweredSince = Account.UnansweredSince.value_or(Now);
  }
  std::vector<wire::share_message> Messages;
  for (auto &[Partition, Message] : ByPartition) {
    Message.Partition = Partition;
    Message.Number = ++Consumer.LastNumber;
    Consumer.Requests.push_back({Message.Number, Partition, Now});
    Messages.push_back(std::move(Message));
  }
  return Messages;
}

std::vector<share_verdict> onGrant(share_consumer &Consumer,
                                   const wire::share_message &Grant,
                                   instant Now) {
  const auto Request = std::ranges::find(Consumer.Requests, Grant.Number,
                                         &share_request::Number);
  const bool Requested = Request != Consumer.Requests.end();
  if (!Requested && Consumer.Shares.MatchNumbers) {
    ++Consumer.Counters.UnexpectedGrants;
    return {};
  }
  const instant SentAt = Requested ? Request->SentAt : Now;
  if (Requested)
    Consumer.Requests.erase(Request);
  std::vector<share_verdict> Verdicts;
  for (const wire::share_entry &Entry : Grant.Entries) {
    const auto Found = Consumer.Accounts.find(Entry.Customer);
    if (Found == Consumer.Accounts.end())
      continue;
    share_account &Account = Found->second;
    noteAnswer(Consumer, Account, Now);
    if (Entry.Tokens >= 1)
      Account.Held.push_back({SentAt + microseconds(Entry.TtlUs),
                              static_cast<double>(Entry.Tokens)});
    std::ranges::move(serveWaiters(Consumer, Account, Now),
                      std::back_inserter(Verdicts));
    if (Entry.WaitUs > 0)
      noteShortage(Account, microseconds(Entry.WaitUs), Now);
  }
  return Verdicts;
}

bool dropRequest(share_consumer &Consumer, const wire::share_message &Answer) {
  return std::erase_if(Consumer.Requests, [&](const share_request &Request) {
           return Request.Number == Answer.Number;
         }) > 0;
}

std::vector<share_verdict> dueVerdicts(share_consumer &Consumer, instant Now) {
  // An answer later than the longest Ttl brings expired tokens only.
  std::erase_if(Consumer.Requests, [&](const share_request &Request) {
    return Now - Request.SentAt > Consumer.Shares.MaxTtl;
  });
  std::vector<share_verdict> Verdicts;
  for (const base::customer_name &Name : Consumer.Active) {
    share_account &Account = Consumer.Accounts[Name];
    std::size_t Index = 0;
    std::erase_if(Account.Waiters, [&](const share_waiter &Waiter) {
      if (!isTimedOut(Consumer, Account, Waiter, Index++, Now))
        return false;
      const bool Unanswered = !Waiter.RefusedAt;
      const auto Wait = std::max<microseconds>(Account.NextRequestAt - Now,
                                               MinRequestInterval);
      Verdicts.push_back({Waiter.Ticket, false, Unanswered, Wait});
      ++Consumer.Counters.Refused;
      Consumer.Counters.RefusedUnanswered += Unanswered ? 1 : 0;
      return true;
    });
  }
  std::erase_if(Consumer.Active, [&](const base::customer_name &Name) {
    share_account &Account = Consumer.Accounts[Name];
    decayDemand(Consumer, Account, Now);
    return isIdle(Account);
  });
  return Verdicts;
}

} // namespace redwinggw::control
