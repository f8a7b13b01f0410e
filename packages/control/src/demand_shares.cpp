#include "redwinggw/control/demand_shares.hpp"

#include "redwinggw/control/relays.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>

namespace redwinggw::control {
namespace {

using base::instant;

double secondsBetween(instant From, instant To) {
  return std::chrono::duration<double>(To - From).count();
}

/// Decays the average to \p Now.
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

/// Demand and shares of the other instances for one customer.
struct others_demand {
  /// Demand of the fresh sources, including their idle shares.
  double FreshDemand = 0;
  /// Last known demand of the silent ones.
  double SilentDemand = 0;
  /// Share of the whole rate that the silent ones had, and that of the long
  /// silent among them.
  double SilentShare = 0;
  double LongSilentShare = 0;
};

/// The share that a silent source had at its last heartbeat.
double silentShareOf(demand_account &Account, const std::string &Name,
                     double Demand) {
  const double Whole = std::max(Account.FreshDemand, Demand);
  const double PreviousShare =
      Whole > 0 ? Demand / Whole * Account.FreshShare : 0;
  return Account.SilentShares.try_emplace(Name, PreviousShare).first->second;
}

/// The own demand as relays pass it on by now.
double relayedDemand(const demand_account &Account) {
  return Account.AnnouncedBefore.back();
}

/// Subtracts the demand that this instance announced a moment ago from a
/// relay's sums that include it.
double withoutOwn(const demand_account &Account, const demand_source &Source,
                  double Rate) {
  return Source.IncludesOwn ? std::max(0.0, Rate - relayedDemand(Account))
                            : Rate;
}

void addTo(source_demand &Total, const source_demand &Demand) {
  Total.Rate += Demand.Rate;
  Total.SilentRate += Demand.SilentRate;
  Total.SilentShare += Demand.SilentShare;
  Total.LongSilentShare += Demand.LongSilentShare;
}

/// \p Demand of a silent source, with all of it counted as silent.
source_demand asSilent(demand_account &Account, const demand_source &Source,
                       source_demand Demand, double Idle) {
  const double Share = silentShareOf(Account, Source.Name, Demand.Rate + Idle);
  Demand.SilentRate += Demand.Rate;
  Demand.SilentShare += Share;
  Demand.LongSilentShare +=
      Source.State == source_state::LongSilent ? Share : 0;
  Demand.Rate = 0;
  return Demand;
}

/// Drops the recorded shares of sources that are not silent any more.
void dropEndedSilences(demand_account &Account,
                       const std::vector<demand_source> &Sources) {
  std::erase_if(Account.SilentShares, [&](const auto &Item) {
    return std::ranges::none_of(Sources, [&](const demand_source &Source) {
      const bool Silent = Source.State == source_state::Silent ||
                          Source.State == source_state::LongSilent;
      return Silent && Source.Name == Item.first;
    });
  });
}

others_demand demandOfOthers(demand_account &Account,
                             const std::vector<demand_source> &Sources,
                             std::uint32_t Customer, double IdleOfOne) {
  others_demand Others;
  Account.Zone = {};
  Account.Fleet = {};
  for (const demand_source &Source : Sources) {
    const double Idle = IdleOfOne * Source.Instances;
    if (Source.State == source_state::Unknown) {
      // Each may have as much demand as this instance.
      Others.FreshDemand += Account.Announced * Source.Instances + Idle;
      continue;
    }
    source_demand Demand = demandFrom(Source, Customer);
    Demand.Rate = withoutOwn(Account, Source, Demand.Rate);
    if (Source.State != source_state::Fresh)
      Demand = asSilent(Account, Source, Demand, Idle);
    else
      Others.FreshDemand += Demand.Rate + Idle;
    addTo(Account.Fleet, Demand);
    if (Source.ReportsHere)
      addTo(Account.Zone, Demand);
  }
  Others.SilentDemand = Account.Fleet.SilentRate;
  Others.SilentShare = Account.Fleet.SilentShare;
  Others.LongSilentShare = Account.Fleet.LongSilentShare;
  Account.Fleet.Rate += Account.Announced;
  dropEndedSilences(Account, Sources);
  return Others;
}

/// Counts the instances that the sums to pass on cover.
void countInstances(demand_shares &Shares,
                    const std::vector<demand_source> &Sources) {
  double Zone = 0;
  double Fleet = 1;
  double Unknown = 0;
  for (const demand_source &Source : Sources) {
    Zone += Source.ReportsHere ? Source.Instances : 0;
    (Source.State == source_state::Unknown ? Unknown : Fleet) +=
        Source.Instances;
  }
  Shares.ZoneInstances = static_cast<std::size_t>(Zone);
  Shares.FleetInstances = static_cast<std::size_t>(Fleet);
  Shares.UnknownInstances = static_cast<std::size_t>(Unknown);
}

/// The share of the rate that is divided among this instance and the fresh
/// sources.
double freshShare(const demand_shares &Shares, const others_demand &Others,
                  bool HasMajority) {
  const demand_limits &Limits = Shares.Limits;
  const double Free = (1 - Limits.SilentReserve) * Others.LongSilentShare;
  const double TakenOver =
      HasMajority ? std::min(Free, Limits.MaxTakenOver) : 0;
  return std::max(0.0, 1 - Others.SilentShare + TakenOver);
}

/// The largest share that an instance may take. While a new instance is not in
/// contact with a majority, the others may be using the whole rate, and they
/// count only the idle share for an instance that announced no demand. Right
/// after the start an equal share does no harm: all may have started together.
double maxShare(demand_shares &Shares, bool HasMajority, double Instances,
                instant Now) {
  if (!Shares.StartedAt)
    Shares.StartedAt = Now;
  const demand_limits &Limits = Shares.Limits;
  const auto Age = Now - *Shares.StartedAt;
  Shares.StartupDone =
      Shares.StartupDone || HasMajority || Age > Limits.MaxStartupTime;
  if (Shares.StartupDone)
    return 1;
  return (Age < Limits.FirstHeartbeats ? 1 : Limits.IdleShare) / Instances;
}

/// Admits an operation after \p Wait. A bucket does not fill up in the place of
/// unsettled operations. One that holds hardly more than one token would stay
/// empty until settlement, so its operations are not settled.
demand_verdict take(demand_account &Account, base::microseconds Wait) {
  --Account.Tokens;
  if (Account.EnforcesShare)
    ++Account.Unsettled;
  return {true, Account.EnforcesShare, Wait};
}

/// Whether an operation may be admitted without a token: the share is too small
/// to be enforced, and the demand of the whole fleet is clearly below the rate.
bool hasLowDemand(const demand_shares &Shares, const demand_account &Account) {
  const double NewDemand = Account.Demand - Account.Announced;
  return !Account.EnforcesShare &&
         Account.FleetDemand + NewDemand <
             Shares.Limits.LowDemandFraction * Account.Rate;
}

} // namespace

double fillRate(const demand_shares &Shares, const demand_account &Account) {
  return Account.Rate * Shares.Limits.RateSlack * Account.Share;
}

double tokensReserved(const demand_shares &Shares,
                      const demand_account &Account, unsigned Priority) {
  if (!Account.OverRate)
    return 0;
  const demand_limits &Limits = Shares.Limits;
  const double Fraction =
      std::min(Limits.ReservePerPriority * Priority, Limits.MaxReserved);
  // A bucket that holds hardly more than one token serves operations in order
  // of arrival.
  const double Room = std::max(0.0, bucketDepth(Shares, Account) - 1);
  return Fraction * Room;
}

double bucketDepth(const demand_shares &Shares, const demand_account &Account) {
  const double Depth =
      (Account.Burst + Shares.Limits.ExtraTokens) * Account.Share;
  return Account.Announced > 0 ? std::max(1.0, Depth) : Depth;
}

void fillBucket(const demand_shares &Shares, demand_account &Account,
                instant Now) {
  const double Added =
      fillRate(Shares, Account) * secondsBetween(Account.FilledAt, Now);
  const double Room =
      bucketDepth(Shares, Account) - Account.Tokens - Account.Unsettled;
  Account.Tokens += std::clamp(Added, 0.0, std::max(0.0, Room));
  Account.Tokens = std::min(Account.Tokens, bucketDepth(Shares, Account) +
                                                Account.TransferRoom);
  Account.FilledAt = Now;
}

void applyRates(demand_shares &Shares, const std::vector<customer> &Customers,
                instant Now) {
  for (const customer &Customer : Customers) {
    const auto [At, New] = Shares.Accounts.try_emplace(Customer.Name);
    demand_account &Account = At->second;
    if (New) {
      Account.DemandAt = Now;
      Account.FilledAt = Now;
    }
    fillBucket(Shares, Account, Now);
    Account.Rate = Customer.Rate;
    Account.Burst = Customer.Burst;
    Account.Tokens = std::min(Account.Tokens, bucketDepth(Shares, Account));
  }
  std::set<std::string_view> Names;
  for (const customer &Customer : Customers)
    Names.insert(Customer.Name);
  std::erase_if(Shares.Accounts,
                [&](const auto &Item) { return !Names.contains(Item.first); });
  forgetCustomers(Shares.Ranking,
                  [&](std::string_view Name) { return Names.contains(Name); });
}

void divideRates(demand_shares &Shares, const membership &Membership,
                 bool InContact, instant Now) {
  const bool HasMajority = inContactWithMajority(Membership, Now);
  if (InContact)
    Shares.IsolatedSince.reset();
  else if (!Shares.IsolatedSince)
    Shares.IsolatedSince = Now;
  const bool Isolated = Shares.IsolatedSince && Now - *Shares.IsolatedSince >
                                                    Shares.Limits.IsolatedAfter;
  const auto Instances = static_cast<double>(instanceCount(Membership));
  const double Max = maxShare(Shares, HasMajority, Instances, Now);
  const auto Sources = demandSources(
      Membership, {Shares.Limits.FreshFor, Shares.Limits.LongSilentAfter}, Now);
  countInstances(Shares, Sources);
  const bool Relayed = usesRelays(Membership);
  for (auto &[Name, Account] : Shares.Accounts) {
    const std::uint32_t Hash = wire::hashOf(Name);
    const double Idle = Shares.Limits.IdleShare * Account.Rate / Instances;
    const double Own =
        (Relayed ? relayedDemand(Account) : Account.Announced) + Idle;
    const others_demand Others = demandOfOthers(Account, Sources, Hash, Idle);
    const double Sum = Own + Others.FreshDemand;
    fillBucket(Shares, Account, Now);
    Account.TransferRoom = 0;
    Account.FreshDemand = Sum;
    Account.FreshShare = freshShare(Shares, Others, HasMajority);
    Account.Share = Sum > 0 ? Own / Sum * Account.FreshShare : 0;
    Account.FleetDemand =
        std::max(0.0, Sum - Instances * Idle) + Others.SilentDemand;
    Account.OverRate = Account.FleetDemand > Account.Rate;
    if (Isolated)
      Account.Share /= 2;
    Account.Share = std::min(Account.Share, Max);
    Account.EnforcesShare =
        !HasMajority || Isolated || Max < 1 ||
        bucketDepth(Shares, Account) >= Shares.Limits.MinDepth;
    // An owner's tokens are limited later, once it is known whether it still
    // owns the bucket.
    if (!Account.Centralized)
      Account.Tokens = std::min(Account.Tokens, bucketDepth(Shares, Account));
  }
}

double spareTokens(const demand_shares &Shares, const demand_account &Account) {
  const double OwnReserve =
      1 + Account.Announced *
              std::chrono::duration<double>(Shares.Limits.ReserveTime).count();
  return std::max(0.0, Account.Tokens - OwnReserve);
}

bool isOutdated(const demand_shares &Shares, const demand_account &Account,
                instant Now) {
  return Shares.Limits.MaxUpdateAge && Account.Centralized &&
         Shares.LastCentralizedAt &&
         Now - *Shares.LastCentralizedAt > *Shares.Limits.MaxUpdateAge;
}

void yieldRates(demand_shares &Shares) { Shares.GaveUpShare = true; }

namespace {

std::uint8_t wholeTokens(double Tokens) {
  constexpr double Max = UINT8_MAX;
  return static_cast<std::uint8_t>(std::min(Max, std::floor(Tokens)));
}

/// Whether one instance has owned each bucket for a while. Then a customer's
/// own owner limits it, and demands decide only when contact is lost.
bool demandsMayWait(const demand_shares &Shares, instant Now) {
  constexpr base::milliseconds Settled{2000};
  return Shares.CentralizedSince && Now - *Shares.CentralizedSince > Settled;
}

} // namespace

std::vector<wire::demand_report> announceDemand(demand_shares &Shares,
                                                instant Now) {
  // Less demand is not worth its bytes in a heartbeat.
  constexpr double MinDemand = 0.05;
  publication_limits Limits;
  Limits.Exact = Shares.GaveUpShare || !demandsMayWait(Shares, Now);
  std::vector<wire::demand_report> Reports;
  for (auto &[Name, Account] : Shares.Accounts) {
    decay(Shares, Account, Now);
    const bool Announces = Account.Demand > MinDemand && !Shares.GaveUpShare;
    Account.AnnouncedBefore = {Account.Announced, Account.AnnouncedBefore[0]};
    const double Demand = Announces ? Account.Demand : 0;
    if (isChangeDue(Limits, Account.Announced, Demand, Account.AnnouncedAt,
                    Now)) {
      Account.Announced = Demand;
      Account.AnnouncedAt = Now;
      Account.AnnouncedSpare = wholeTokens(spareTokens(Shares, Account));
    }
    if (Account.Announced > 0)
      Reports.push_back({wire::hashOf(Name),
                         static_cast<float>(Account.Announced),
                         Account.AnnouncedSpare});
  }
  return Reports;
}

namespace {

wire::demand_digest digestOf(const demand_shares &Shares,
                             source_demand demand_account::*Total) {
  wire::demand_digest Digest;
  for (const auto &[Name, Account] : Shares.Accounts) {
    const source_demand &Sum = Account.*Total;
    const std::uint32_t Customer = wire::hashOf(Name);
    if (Sum.Rate > 0)
      Digest.Sums.push_back({Customer, static_cast<float>(Sum.Rate)});
    if (Sum.SilentShare > 0)
      Digest.Silent.push_back({Customer, static_cast<float>(Sum.SilentRate),
                               static_cast<float>(Sum.SilentShare),
                               static_cast<float>(Sum.LongSilentShare)});
  }
  return Digest;
}

std::uint16_t countOf(std::size_t Instances) {
  constexpr std::size_t Max = UINT16_MAX;
  return static_cast<std::uint16_t>(std::min(Max, Instances));
}

} // namespace

wire::demand_digest zoneDemands(const demand_shares &Shares) {
  wire::demand_digest Digest = digestOf(Shares, &demand_account::Zone);
  Digest.Contributors = countOf(Shares.ZoneInstances);
  return Digest;
}

wire::demand_digest fleetDemands(const demand_shares &Shares) {
  wire::demand_digest Digest = digestOf(Shares, &demand_account::Fleet);
  Digest.Contributors = countOf(Shares.FleetInstances);
  Digest.NeverSeen = countOf(Shares.UnknownInstances);
  return Digest;
}

demand_verdict takeDemandToken(demand_shares &Shares, std::string_view Customer,
                               unsigned Priority, base::microseconds MaxWait,
                               instant Now) {
  const auto Found = Shares.Accounts.find(Customer);
  if (Found == Shares.Accounts.end())
    return {};
  demand_account &Account = Found->second;
  countDemand(Shares, Account, Now);
  constexpr base::microseconds Never{1'000'000};
  if (isOutdated(Shares, Account, Now))
    return {false, false, Never};
  fillBucket(Shares, Account, Now);
  if (hasLowDemand(Shares, Account)) {
    Account.Tokens = std::max(-Shares.Limits.MaxDebt, Account.Tokens - 1);
    return {true, false, {}};
  }
  const double Needed = 1 + tokensReserved(Shares, Account, Priority);
  if (Account.Tokens >= Needed)
    return take(Account, {});
  const double FillRate = fillRate(Shares, Account);
  if (FillRate <= 0)
    return {false, false, Never};
  const base::microseconds Wait(
      static_cast<std::int64_t>((Needed - Account.Tokens) / FillRate * 1e6));
  if (Wait > MaxWait)
    return {false, false, Wait, Needed - Account.Tokens};
  return take(Account, Wait);
}

void settleDemandToken(demand_shares &Shares, std::string_view Customer,
                       bool Run, instant Now) {
  const auto Found = Shares.Accounts.find(Customer);
  if (Found == Shares.Accounts.end())
    return;
  demand_account &Account = Found->second;
  fillBucket(Shares, Account, Now);
  Account.Unsettled = std::max(0.0, Account.Unsettled - 1);
  if (!Run)
    Account.Tokens = std::min(Account.Tokens + 1, bucketDepth(Shares, Account));
}

} // namespace redwinggw::control
