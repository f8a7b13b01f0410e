#include "redwinggw/control/demand_shares.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace redwinggw::control {
namespace {

using base::instant;

double secondsBetween(instant From, instant To) {
  return std::chrono::duration<double>(To - From).count();
}

/// At least one operation where there is demand: in a large fleet a small
/// customer's part is less, and every operation would be refused. What this
/// adds to the burst is less than one for each instance that it calls.
double depthOf(const demand_shares &Shares, const demand_account &Account) {
  const double Depth =
      (Account.Burst + Shares.Limits.ExtraTokens) * Account.Part;
  return Account.Announced > 0 ? std::max(1.0, Depth) : Depth;
}

double speedOf(const demand_shares &Shares, const demand_account &Account) {
  return Account.Rate * Shares.Limits.RateSlack * Account.Part;
}

void fill(const demand_shares &Shares, demand_account &Account, instant Now) {
  const double Added =
      speedOf(Shares, Account) * secondsBetween(Account.FilledAt, Now);
  Account.Tokens = std::min(Account.Tokens + Added, depthOf(Shares, Account));
  Account.FilledAt = Now;
}

/// Lets the average decay to \p Now.
void decay(const demand_shares &Shares, demand_account &Account, instant Now) {
  const double Window =
      std::chrono::duration<double>(Shares.Limits.Window).count();
  Account.Demand *= std::exp(-secondsBetween(Account.DemandAt, Now) / Window);
  Account.DemandAt = Now;
}

void countDemand(const demand_shares &Shares, demand_account &Account,
                 instant Now) {
  decay(Shares, Account, Now);
  Account.Demand +=
      1 / std::chrono::duration<double>(Shares.Limits.Window).count();
}

/// The demand of a member as it last told it; 0 when it told none. One that
/// was never heard may be asked for as much as this instance, whose demand is
/// \p Own.
double demandOf(const member &Member, std::uint32_t Customer, double Own) {
  if (!Member.ArrivedAt)
    return Own;
  const auto &Demands = Member.Report.Demands;
  const auto Found =
      std::ranges::find(Demands, Customer, &wire::demand_report::Customer);
  return Found == Demands.end() ? 0 : Found->Rate;
}

/// How much of a member's part stays reserved for it. One that leaves keeps its
/// part too: it serves until the balancer sends nobody any more, and tells no
/// demand from then on. Without that each planned stop under a
/// flood had its part spent twice.
double reservedFor(const demand_shares &Shares, const member &Member,
                   bool HearsMajority, instant Now) {
  const instant LastSign = Member.ArrivedAt.value_or(Member.Since);
  const bool Silent = Now - LastSign > Shares.Limits.SilentAfter;
  return Silent && HearsMajority ? Shares.Limits.SilentReserve : 1;
}

/// The largest part that an instance may take for itself. The others may be
/// using the whole rate while a new instance has not heard a majority, and
/// count only the idle part for one that has told them no demand. Right after
/// the start, an equal part does no harm: all may have started together.
double mostOf(demand_shares &Shares, bool HearsMajority, double Instances,
              instant Now) {
  if (!Shares.StartedAt)
    Shares.StartedAt = Now;
  const demand_limits &Limits = Shares.Limits;
  const auto Age = Now - *Shares.StartedAt;
  Shares.Acquainted =
      Shares.Acquainted || HearsMajority || Age > Limits.StrangerFor;
  if (Shares.Acquainted)
    return 1;
  return (Age < Limits.FirstHeartbeats ? 1 : Limits.IdlePart) / Instances;
}

/// Tokens that an operation of \p Priority leaves to more urgent ones.
double reserveFor(const demand_shares &Shares, const demand_account &Account,
                  unsigned Priority) {
  if (!Account.Pressed)
    return 0;
  const demand_limits &Limits = Shares.Limits;
  const double Part =
      std::min(Limits.ReservePerPriority * Priority, Limits.MostReserved);
  // A bucket too small to divide serves in the order of arrival.
  const double Room = std::max(0.0, depthOf(Shares, Account) - 1);
  return Part * Room;
}

/// Whether an operation may go without a token: the part is too small to be
/// divided in time, and the fleet as a whole is asked for clearly less than the
/// rate.
bool isCalm(const demand_shares &Shares, const demand_account &Account) {
  const double Here = Account.Demand - Account.Announced;
  return !Account.Divisible &&
         Account.FleetDemand + Here < Shares.Limits.CalmShare * Account.Rate;
}

} // namespace

void applyRates(demand_shares &Shares, const std::vector<customer> &Customers,
                instant Now) {
  for (const customer &Customer : Customers) {
    const auto [At, New] = Shares.Accounts.try_emplace(Customer.Name);
    demand_account &Account = At->second;
    if (New) {
      Account.DemandAt = Now;
      Account.FilledAt = Now;
    }
    fill(Shares, Account, Now);
    Account.Rate = Customer.Rate;
    Account.Burst = Customer.Burst;
    Account.Tokens = std::min(Account.Tokens, depthOf(Shares, Account));
  }
  std::erase_if(Shares.Accounts, [&](const auto &Item) {
    return std::ranges::find(Customers, Item.first, &customer::Name) ==
           Customers.end();
  });
}

void divideRates(demand_shares &Shares, const membership &Membership,
                 bool InTouch, instant Now) {
  const bool Heard = hearsMajority(Membership, Now);
  if (InTouch)
    Shares.IsolatedSince.reset();
  else if (!Shares.IsolatedSince)
    Shares.IsolatedSince = Now;
  const bool Isolated = Shares.IsolatedSince && Now - *Shares.IsolatedSince >
                                                    Shares.Limits.IsolatedAfter;
  const auto Instances = static_cast<double>(instanceCount(Membership));
  const double Most = mostOf(Shares, Heard, Instances, Now);
  for (auto &[Name, Account] : Shares.Accounts) {
    const std::uint32_t Hash = wire::hashOf(Name);
    const double Idle = Shares.Limits.IdlePart * Account.Rate / Instances;
    double Sum = Account.Announced + Idle;
    for (const member &Member : Membership.Members)
      Sum += (demandOf(Member, Hash, Account.Announced) + Idle) *
             reservedFor(Shares, Member, Heard, Now);
    fill(Shares, Account, Now);
    Account.Part = Sum > 0 ? (Account.Announced + Idle) / Sum : 0;
    Account.FleetDemand = Sum - Instances * Idle;
    Account.Pressed = Account.FleetDemand > Account.Rate;
    if (Isolated)
      Account.Part /= 2;
    Account.Part = std::min(Account.Part, Most);
    Account.Divisible = !Heard || Isolated || Most < 1 ||
                        depthOf(Shares, Account) >= Shares.Limits.LeastDepth;
    Account.Tokens = std::min(Account.Tokens, depthOf(Shares, Account));
  }
}

void yieldRates(demand_shares &Shares) { Shares.Yielded = true; }

std::vector<wire::demand_report> announceDemand(demand_shares &Shares,
                                                instant Now) {
  // Below this nothing worth its bytes was asked for lately.
  constexpr double Least = 0.05;
  std::vector<wire::demand_report> Reports;
  for (auto &[Name, Account] : Shares.Accounts) {
    decay(Shares, Account, Now);
    const bool Told = Account.Demand > Least && !Shares.Yielded;
    Account.Announced = Told ? Account.Demand : 0;
    if (Account.Announced > 0)
      Reports.push_back(
          {wire::hashOf(Name), static_cast<float>(Account.Announced)});
  }
  return Reports;
}

demand_verdict takeDemandToken(demand_shares &Shares, std::string_view Customer,
                               unsigned Priority, base::microseconds Patience,
                               instant Now) {
  const auto Found = Shares.Accounts.find(Customer);
  if (Found == Shares.Accounts.end())
    return {};
  demand_account &Account = Found->second;
  countDemand(Shares, Account, Now);
  fill(Shares, Account, Now);
  if (isCalm(Shares, Account)) {
    Account.Tokens = std::max(0.0, Account.Tokens - 1);
    return {true, {}};
  }
  const double Needed = 1 + reserveFor(Shares, Account, Priority);
  if (Account.Tokens >= Needed) {
    --Account.Tokens;
    return {true, {}};
  }
  const double Speed = speedOf(Shares, Account);
  constexpr base::microseconds Never{1'000'000};
  if (Speed <= 0)
    return {false, Never};
  const base::microseconds Wait(
      static_cast<std::int64_t>((Needed - Account.Tokens) / Speed * 1e6));
  if (Wait > Patience)
    return {false, Wait};
  --Account.Tokens;
  return {true, Wait};
}

void returnDemandToken(demand_shares &Shares, std::string_view Customer,
                       instant Now) {
  const auto Found = Shares.Accounts.find(Customer);
  if (Found == Shares.Accounts.end())
    return;
  demand_account &Account = Found->second;
  // A part too small to divide may have given no token for it.
  if (!Account.Divisible)
    return;
  fill(Shares, Account, Now);
  Account.Tokens = std::min(Account.Tokens + 1, depthOf(Shares, Account));
}

} // namespace redwinggw::control
