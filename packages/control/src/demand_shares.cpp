#include "redwinggw/control/demand_shares.hpp"

#include "redwinggw/control/relays.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace redwinggw::control {
namespace {

using base::instant;

double secondsBetween(instant From, instant To) {
  return std::chrono::duration<double>(To - From).count();
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

/// What the others have of a customer's rate.
struct others_view {
  /// Demand of those that are heard, with their idle part.
  double Heard = 0;
  /// Last known demand of those that are silent.
  double SilentDemand = 0;
  /// Part of the whole rate that those had, and of those missed for long.
  double SilentPart = 0;
  double MissedPart = 0;
};

/// The part that a silent source had when it was heard last.
double silentPartOf(demand_account &Account, const std::string &Name,
                    double Demand) {
  const double Whole = std::max(Account.HeardDemand, Demand);
  const double Had = Whole > 0 ? Demand / Whole * Account.HeardPart : 0;
  return Account.SilentParts.try_emplace(Name, Had).first->second;
}

/// The own demand as relays pass it on by now.
double passedOnDemand(const demand_account &Account) {
  return Account.AnnouncedBefore.back();
}

/// The sums of a relay hold what this instance told it a moment ago.
double withoutOwn(const demand_account &Account, const demand_source &Source,
                  double Rate) {
  return Source.WithOwn ? std::max(0.0, Rate - passedOnDemand(Account)) : Rate;
}

void addTo(source_demand &Total, const source_demand &Demand) {
  Total.Rate += Demand.Rate;
  Total.SilentRate += Demand.SilentRate;
  Total.SilentPart += Demand.SilentPart;
  Total.MissedPart += Demand.MissedPart;
}

/// \p Demand of a silent source, with all of it among the silent.
source_demand asSilent(demand_account &Account, const demand_source &Source,
                       source_demand Demand, double Idle) {
  const double Part = silentPartOf(Account, Source.Name, Demand.Rate + Idle);
  Demand.SilentRate += Demand.Rate;
  Demand.SilentPart += Part;
  Demand.MissedPart += Source.State == source_state::Missed ? Part : 0;
  Demand.Rate = 0;
  return Demand;
}

void forgetHeard(demand_account &Account,
                 const std::vector<demand_source> &Sources) {
  std::erase_if(Account.SilentParts, [&](const auto &Item) {
    return std::ranges::none_of(Sources, [&](const demand_source &Source) {
      const bool Silent = Source.State == source_state::Silent ||
                          Source.State == source_state::Missed;
      return Silent && Source.Name == Item.first;
    });
  });
}

others_view viewOthers(demand_account &Account,
                       const std::vector<demand_source> &Sources,
                       std::uint32_t Customer, double IdleOfOne) {
  others_view View;
  Account.Zone = {};
  Account.Fleet = {};
  for (const demand_source &Source : Sources) {
    const double Idle = IdleOfOne * Source.Instances;
    if (Source.State == source_state::Unknown) {
      // Each may be asked for as much as this instance.
      View.Heard += Account.Announced * Source.Instances + Idle;
      continue;
    }
    source_demand Demand = demandFrom(Source, Customer);
    Demand.Rate = withoutOwn(Account, Source, Demand.Rate);
    if (Source.State != source_state::Heard)
      Demand = asSilent(Account, Source, Demand, Idle);
    else
      View.Heard += Demand.Rate + Idle;
    addTo(Account.Fleet, Demand);
    if (Source.ReportsHere)
      addTo(Account.Zone, Demand);
  }
  View.SilentDemand = Account.Fleet.SilentRate;
  View.SilentPart = Account.Fleet.SilentPart;
  View.MissedPart = Account.Fleet.MissedPart;
  Account.Fleet.Rate += Account.Announced;
  forgetHeard(Account, Sources);
  return View;
}

/// Counts the instances whose demand the sums to pass on hold.
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

/// The part of the rate that is divided among those that are heard.
double heardPart(const demand_shares &Shares, const others_view &Others,
                 bool HearsMajority) {
  const demand_limits &Limits = Shares.Limits;
  const double Free = (1 - Limits.SilentReserve) * Others.MissedPart;
  const double TakenOver =
      HearsMajority ? std::min(Free, Limits.MostTakenOver) : 0;
  return std::max(0.0, 1 - Others.SilentPart + TakenOver);
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

/// Admits an operation after \p Wait. A bucket that holds hardly more than one
/// token would give none while an operation runs, so it counts none back.
demand_verdict take(demand_account &Account, base::microseconds Wait) {
  --Account.Tokens;
  if (Account.Divisible)
    ++Account.Unsettled;
  return {true, Account.Divisible, Wait};
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

double fillSpeed(const demand_shares &Shares, const demand_account &Account) {
  return Account.Rate * Shares.Limits.RateSlack * Account.Part;
}

double tokensReserved(const demand_shares &Shares,
                      const demand_account &Account, unsigned Priority) {
  if (!Account.Pressed)
    return 0;
  const demand_limits &Limits = Shares.Limits;
  const double Part =
      std::min(Limits.ReservePerPriority * Priority, Limits.MostReserved);
  // A bucket too small to divide serves in the order of arrival.
  const double Room = std::max(0.0, bucketDepth(Shares, Account) - 1);
  return Part * Room;
}

double bucketDepth(const demand_shares &Shares, const demand_account &Account) {
  const double Depth =
      (Account.Burst + Shares.Limits.ExtraTokens) * Account.Part;
  return Account.Announced > 0 ? std::max(1.0, Depth) : Depth;
}

void fillBucket(const demand_shares &Shares, demand_account &Account,
                instant Now) {
  const double Added =
      fillSpeed(Shares, Account) * secondsBetween(Account.FilledAt, Now);
  const double Room =
      bucketDepth(Shares, Account) - Account.Tokens - Account.Unsettled;
  Account.Tokens += std::clamp(Added, 0.0, std::max(0.0, Room));
  Account.Tokens =
      std::min(Account.Tokens, bucketDepth(Shares, Account) + Account.LoanRoom);
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
  std::erase_if(Shares.Accounts, [&](const auto &Item) {
    return std::ranges::find(Customers, Item.first, &customer::Name) ==
           Customers.end();
  });
}

void divideRates(demand_shares &Shares, const membership &Membership,
                 bool InTouch, instant Now) {
  const bool Heard = inContactWithMajority(Membership, Now);
  if (InTouch)
    Shares.IsolatedSince.reset();
  else if (!Shares.IsolatedSince)
    Shares.IsolatedSince = Now;
  const bool Isolated = Shares.IsolatedSince && Now - *Shares.IsolatedSince >
                                                    Shares.Limits.IsolatedAfter;
  const auto Instances = static_cast<double>(instanceCount(Membership));
  const double Most = mostOf(Shares, Heard, Instances, Now);
  const auto Sources = demandSources(
      Membership, {Shares.Limits.HeardFor, Shares.Limits.SilentAfter}, Now);
  countInstances(Shares, Sources);
  const bool Relayed = usesRelays(Membership);
  for (auto &[Name, Account] : Shares.Accounts) {
    const std::uint32_t Hash = wire::hashOf(Name);
    const double Idle = Shares.Limits.IdlePart * Account.Rate / Instances;
    const double Own =
        (Relayed ? passedOnDemand(Account) : Account.Announced) + Idle;
    const others_view Others = viewOthers(Account, Sources, Hash, Idle);
    const double Sum = Own + Others.Heard;
    fillBucket(Shares, Account, Now);
    Account.LoanRoom = 0;
    Account.HeardDemand = Sum;
    Account.HeardPart = heardPart(Shares, Others, Heard);
    Account.Part = Sum > 0 ? Own / Sum * Account.HeardPart : 0;
    Account.FleetDemand =
        std::max(0.0, Sum - Instances * Idle) + Others.SilentDemand;
    Account.Pressed = Account.FleetDemand > Account.Rate;
    if (Isolated)
      Account.Part /= 2;
    Account.Part = std::min(Account.Part, Most);
    Account.Divisible =
        !Heard || Isolated || Most < 1 ||
        bucketDepth(Shares, Account) >= Shares.Limits.LeastDepth;
    // What a keeper has is clamped once it is known whether it still is one.
    if (!Account.Gathered)
      Account.Tokens = std::min(Account.Tokens, bucketDepth(Shares, Account));
  }
}

double spareTokens(const demand_shares &Shares, const demand_account &Account) {
  const double Kept =
      1 + Account.Announced *
              std::chrono::duration<double>(Shares.Limits.KeptFor).count();
  return std::max(0.0, Account.Tokens - Kept);
}

void yieldRates(demand_shares &Shares) { Shares.Yielded = true; }

namespace {

std::uint8_t wholeTokens(double Tokens) {
  constexpr double Most = UINT8_MAX;
  return static_cast<std::uint8_t>(std::min(Most, std::floor(Tokens)));
}

} // namespace

std::vector<wire::demand_report> announceDemand(demand_shares &Shares,
                                                instant Now) {
  // Below this nothing worth its bytes was asked for lately.
  constexpr double Least = 0.05;
  std::vector<wire::demand_report> Reports;
  for (auto &[Name, Account] : Shares.Accounts) {
    decay(Shares, Account, Now);
    const bool Told = Account.Demand > Least && !Shares.Yielded;
    Account.AnnouncedBefore = {Account.Announced, Account.AnnouncedBefore[0]};
    Account.Announced = Told ? Account.Demand : 0;
    if (Account.Announced > 0)
      Reports.push_back({wire::hashOf(Name),
                         static_cast<float>(Account.Announced),
                         wholeTokens(spareTokens(Shares, Account))});
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
    if (Sum.SilentPart > 0)
      Digest.Silent.push_back({Customer, static_cast<float>(Sum.SilentRate),
                               static_cast<float>(Sum.SilentPart),
                               static_cast<float>(Sum.MissedPart)});
  }
  return Digest;
}

std::uint16_t countOf(std::size_t Instances) {
  constexpr std::size_t Most = UINT16_MAX;
  return static_cast<std::uint16_t>(std::min(Most, Instances));
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
                               unsigned Priority, base::microseconds Patience,
                               instant Now) {
  const auto Found = Shares.Accounts.find(Customer);
  if (Found == Shares.Accounts.end())
    return {};
  demand_account &Account = Found->second;
  countDemand(Shares, Account, Now);
  fillBucket(Shares, Account, Now);
  if (isCalm(Shares, Account)) {
    Account.Tokens = std::max(-Shares.Limits.MostOwed, Account.Tokens - 1);
    return {true, false, {}};
  }
  const double Needed = 1 + tokensReserved(Shares, Account, Priority);
  if (Account.Tokens >= Needed)
    return take(Account, {});
  const double Speed = fillSpeed(Shares, Account);
  constexpr base::microseconds Never{1'000'000};
  if (Speed <= 0)
    return {false, false, Never};
  const base::microseconds Wait(
      static_cast<std::int64_t>((Needed - Account.Tokens) / Speed * 1e6));
  if (Wait > Patience)
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
