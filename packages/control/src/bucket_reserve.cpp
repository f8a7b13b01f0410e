#include "redwinggw/control/bucket_reserve.hpp"

#include "redwinggw/control/relays.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace redwinggw::control {
namespace {

using base::instant;
using base::microseconds;

/// \name The owner's parts of the tolerated excess; see bucket_reserve.hpp
/// @{
constexpr double SlackPart = 0.5;
constexpr double TakenOverPart = 0.4;
constexpr double InitialRatePart = 0.2;
constexpr double InitialBurstPart = 0.4;
constexpr double ExtraPart = 0.7;
constexpr double InitialExtraPart = 0.125;
constexpr double MaxOvershoot = 0.5;
/// @}

/// Grants are counted by slots of a window, so that their number is bounded.
constexpr int SlotsPerWindow = 50;

double seconds(microseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

microseconds slotLength(const rate_bound &Bound) {
  return std::max(microseconds(1), microseconds(Bound.Window) / SlotsPerWindow);
}

/// How long an instance is the successor before it grants.
base::milliseconds holdTime(const reserve_limits &Limits) {
  return Limits.Bound.Window + Limits.ViewsAgreeWithin;
}

double usedOvershoot(const rate_bound &Bound) {
  return std::min(Bound.Overshoot, MaxOvershoot);
}

/// The first two candidates for a customer's bucket, as hashOf their names.
void takeRanks(customer_reserve &Reserve, const ranked_candidates &Ranks) {
  Reserve.First = Ranks.First.Instance;
  Reserve.Second = Ranks.Second.Instance;
}

/// Whether this instance may hold a reserve: it is second, or was so until it
/// became the next owner.
bool holds(const customer_reserve &Reserve, const demand_account &Account,
           std::uint32_t Self) {
  if (!Account.Centralized || Account.OwnedHere)
    return false;
  return Reserve.Second == Self ||
         (Reserve.First == Self && Reserve.HeldSince.has_value());
}

/// The most tokens that a reserve grants in a window.
double maxGranted(const reserve_limits &Limits, const demand_account &Account) {
  return std::floor(Limits.Fraction *
                    toleratedExcess(Limits.Bound, Account.Rate, Account.Burst));
}

double depthOf(const reserve_limits &Limits, const demand_account &Account) {
  return std::max(Limits.MinDepth, seconds(Limits.DepthTime) * Account.Rate);
}

void fillReserve(const reserve_limits &Limits, const demand_account &Account,
                 customer_reserve &Reserve, instant Now) {
  const double Added = Account.Rate * seconds(Now - Reserve.FilledAt);
  Reserve.Tokens =
      std::min(depthOf(Limits, Account), Reserve.Tokens + std::max(0.0, Added));
  Reserve.FilledAt = Now;
}

/// When the grants of a slot no longer count: a slot counts as a whole until
/// its end has left the window.
instant expiryOf(const rate_bound &Bound, const reserve_grants &Slot) {
  return Slot.Begin + slotLength(Bound) + Bound.Window;
}

void dropExpired(const rate_bound &Bound, customer_reserve &Reserve,
                 instant Now) {
  while (!Reserve.Grants.empty() &&
         expiryOf(Bound, Reserve.Grants.front()) <= Now)
    Reserve.Grants.pop_front();
}

unsigned grantedInWindow(const customer_reserve &Reserve) {
  return std::accumulate(Reserve.Grants.begin(), Reserve.Grants.end(), 0U,
                         [](unsigned Sum, const reserve_grants &Slot) {
                           return Sum + Slot.Count;
                         });
}

void recordGrant(const rate_bound &Bound, customer_reserve &Reserve,
                 instant Now) {
  const bool SameSlot = !Reserve.Grants.empty() &&
                        Now - Reserve.Grants.back().Begin < slotLength(Bound);
  if (!SameSlot)
    Reserve.Grants.push_back({Now, 0});
  ++Reserve.Grants.back().Count;
}

bool mayGrant(const bucket_reserves &Reserves, const demand_account &Account,
              const customer_reserve &Reserve, instant Now) {
  const reserve_limits &Limits = Reserves.Limits;
  return usesReserves(Limits) && Account.Centralized && !Account.OwnedHere &&
         Reserve.HeldSince && Now - *Reserve.HeldSince >= holdTime(Limits) &&
         Reserves.UpdatedAt && Now - *Reserves.UpdatedAt <= Limits.MaxUpdateAge;
}

void updateHeld(const reserve_limits &Limits, customer_reserve &Reserve,
                const demand_account &Account, std::uint32_t Self,
                instant Now) {
  if (!holds(Reserve, Account, Self)) {
    Reserve.HeldSince.reset();
  } else if (!Reserve.HeldSince) {
    Reserve.HeldSince = Now;
    Reserve.Tokens = depthOf(Limits, Account);
    Reserve.FilledAt = Now;
  }
}

} // namespace

double toleratedExcess(const rate_bound &Bound, double Rate, double Burst) {
  return usedOvershoot(Bound) * (Rate * seconds(Bound.Window) + Burst) +
         Bound.ExtraTokens;
}

bool usesReserves(const reserve_limits &Limits) { return Limits.Fraction > 0; }

demand_limits limitsBesideReserve(const reserve_limits &Limits,
                                  demand_limits Shared) {
  if (!usesReserves(Limits))
    return Shared;
  const double Rest = std::max(0.0, 1 - 2 * Limits.Fraction);
  const double Overshoot = Rest * usedOvershoot(Limits.Bound);
  const double Extra = Rest * Limits.Bound.ExtraTokens;
  Shared.RateSlack = 1 + SlackPart * Overshoot;
  Shared.ExtraTokens = ExtraPart * Extra;
  Shared.MaxTakenOver = TakenOverPart * Overshoot;
  Shared.InitialSlackSeconds =
      InitialRatePart * Overshoot * seconds(Limits.Bound.Window);
  Shared.InitialBurstFraction = InitialBurstPart * Overshoot;
  Shared.InitialExtraTokens = InitialExtraPart * Extra;
  Shared.MaxUpdateAge = Limits.MaxUpdateAge;
  return Shared;
}

void applyReserveLimits(demand_shares &Shares, const reserve_limits &Limits,
                        const membership &Membership, instant Now,
                        const demand_limits &Shared) {
  const bool HadReserves = Shares.LastCentralizedAt &&
                           Now - *Shares.LastCentralizedAt < holdTime(Limits);
  Shares.Limits = usesRelays(Membership) || HadReserves
                      ? limitsBesideReserve(Limits, Shared)
                      : Shared;
}

void updateReserves(bucket_reserves &Reserves, const demand_shares &Shares,
                    const membership &Membership, instant Now) {
  const reserve_limits &Limits = Reserves.Limits;
  if (!usesReserves(Limits))
    return;
  const std::uint32_t Self = wire::hashOf(Membership.Self.Name);
  const bool WasFrozen =
      Reserves.UpdatedAt && Now - *Reserves.UpdatedAt > Limits.MaxUpdateAge;
  for (const auto &[Name, Account] : Shares.Accounts) {
    customer_reserve &Reserve = Reserves.Customers[Name];
    if (const ranked_candidates *Ranks = findRanks(Shares.Ranking, Name))
      takeRanks(Reserve, *Ranks);
    if (WasFrozen)
      Reserve.HeldSince.reset();
    updateHeld(Limits, Reserve, Account, Self, Now);
  }
  std::erase_if(Reserves.Customers, [&](const auto &Item) {
    return !Shares.Accounts.contains(Item.first);
  });
  Reserves.UpdatedAt = Now;
}

const member *bucketSuccessor(const bucket_reserves &Reserves,
                              const membership &Membership,
                              std::string_view Customer) {
  const auto Found = Reserves.Customers.find(Customer);
  return Found == Reserves.Customers.end()
             ? nullptr
             : findByHash(Membership, Found->second.Second);
}

std::optional<bucket_owner_answer> grantFromReserve(bucket_reserves &Reserves,
                                                    const demand_shares &Shares,
                                                    std::string_view Customer,
                                                    instant Now) {
  const auto Found = Reserves.Customers.find(Customer);
  const auto Account = Shares.Accounts.find(Customer);
  if (Found == Reserves.Customers.end() || Account == Shares.Accounts.end() ||
      !mayGrant(Reserves, Account->second, Found->second, Now))
    return std::nullopt;
  const reserve_limits &Limits = Reserves.Limits;
  customer_reserve &Reserve = Found->second;
  fillReserve(Limits, Account->second, Reserve, Now);
  dropExpired(Limits.Bound, Reserve, Now);
  constexpr microseconds Never{1'000'000};
  const double Max = maxGranted(Limits, Account->second);
  if (grantedInWindow(Reserve) + 1 > Max) {
    const auto Wait =
        Reserve.Grants.empty()
            ? Never
            : expiryOf(Limits.Bound, Reserve.Grants.front()) - Now;
    return bucket_owner_answer{false, Wait};
  }
  if (Reserve.Tokens < 1) {
    const double Rate = Account->second.Rate;
    const auto Wait = Rate > 0
                          ? microseconds(static_cast<std::int64_t>(
                                std::ceil((1 - Reserve.Tokens) / Rate * 1e6)))
                          : Never;
    return bucket_owner_answer{false, Wait};
  }
  --Reserve.Tokens;
  recordGrant(Limits.Bound, Reserve, Now);
  return bucket_owner_answer{true, microseconds(0)};
}

} // namespace redwinggw::control
