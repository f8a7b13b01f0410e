#include "redwinggw/session/connection_plan.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace redwinggw::session {
namespace {

using base::instant;
using base::microseconds;

using seconds = std::chrono::duration<double>;

/// Time over which rates are smoothed.
constexpr seconds RateTime{4};
/// A customer whose statements are further apart has no demand: its connection
/// would be idle for longer than RateTime in the mean.
constexpr double LeastRate = 1 / RateTime.count();
/// A connection that is not used for this many of its expected intervals is no
/// longer expected to be used: with independent arrivals, one in twenty
/// intervals is longer.
constexpr double KeptIntervals = 3;
/// Weight of the newest value in smoothed times is 1/TimeWeight.
constexpr int TimeWeight = 8;

double secondsOf(microseconds Time) { return seconds(Time).count(); }

/// Probability that \p Load (in mean connections in use) finds all of
/// \p Connections in use.
double lossOf(std::size_t Connections, double Load) {
  double Loss = 1;
  for (std::size_t Count = 1; Count <= Connections; ++Count)
    Loss = Load * Loss / (static_cast<double>(Count) + Load * Loss);
  return Loss;
}

/// The connections that a customer may have before the last ones of others are
/// kept from it: an even part of the limit, and at least as many as the
/// endpoint has slots. With fewer, a burst of one customer would leave slots
/// unused; which customer uses them is decided by the queue for slots.
double fairShare(const connection_plan &Plan, const connection_room &Room,
                 instant Now) {
  const auto Customers =
      std::ranges::count_if(Plan.Customers, [&](const auto &Item) {
        return Item.second.InUse != 0 || hasDemand(Item.second, Now);
      });
  const double Even =
      static_cast<double>(Room.Limit) /
      static_cast<double>(std::max<std::ptrdiff_t>(1, Customers));
  return std::max(Even, static_cast<double>(Room.Slots));
}

/// Half of the slots, so that statements always get the others. The most urgent
/// level is not limited, nor is any while the number of slots is not known.
bool maySetUp(const connection_plan &Plan, unsigned Slots, slot_level Level) {
  const bool Limited = Slots != 0 && Level > slot_level::Urgent;
  return !Limited || Plan.SetUps < std::max(1U, Slots / 2);
}

/// The customer whose idle connection has the least expected reuse.
/// \p KeepLast: not the last idle one of a customer with demand.
std::optional<base::customer_name> leastReused(const connection_plan &Plan,
                                               bool KeepLast, instant Now) {
  std::optional<base::customer_name> Found;
  double Least = std::numeric_limits<double>::infinity();
  for (const auto &[Customer, Use] : Plan.Customers) {
    if (Use.Idle == 0 || (KeepLast && Use.Idle == 1 && hasDemand(Use, Now)))
      continue;
    const double Reuse = expectedReuse(Use, Now);
    if (Reuse >= Least)
      continue;
    Least = Reuse;
    Found = Customer;
  }
  return Found;
}

} // namespace

void noteDemand(connection_plan &Plan, std::string_view Customer, instant Now) {
  customer_use &Use =
      Plan.Customers.try_emplace(base::customer_name(Customer)).first->second;
  Use.Weighted = rateOf(Use, Now) * RateTime.count() + 1;
  Use.UpdatedAt = Now;
}

void noteHeld(connection_plan &Plan, std::string_view Customer,
              microseconds Held) {
  const auto Found = Plan.Customers.find(Customer);
  if (Found != Plan.Customers.end())
    Found->second.Hold += (Held - Found->second.Hold) / TimeWeight;
}

void noteSetUp(connection_plan &Plan, microseconds Took, bool Succeeded) {
  --Plan.SetUps;
  if (Succeeded)
    Plan.SetUpTime += (Took - Plan.SetUpTime) / TimeWeight;
}

double rateOf(const customer_use &Use, instant Now) {
  if (Use.Weighted == 0)
    return 0;
  const seconds Age = std::max(seconds(0), seconds(Now - Use.UpdatedAt));
  return Use.Weighted * std::exp(-Age / RateTime) / RateTime.count();
}

bool hasDemand(const customer_use &Use, instant Now) {
  return Use.Waiting != 0 || rateOf(Use, Now) >= LeastRate;
}

double expectedReuse(const customer_use &Use, instant Now) {
  if (Use.Idle == 0)
    return 0;
  const double Rate = rateOf(Use, Now);
  return Rate * lossOf(Use.Idle - 1, Rate * secondsOf(Use.Hold));
}

connection_decision decideConnection(const connection_plan &Plan,
                                     const connection_room &Room,
                                     std::string_view Customer,
                                     slot_level Level, instant Now) {
  if (!maySetUp(Plan, Room.Slots, Level))
    return {};
  const auto Found = Plan.Customers.find(Customer);
  const std::size_t InUse =
      Found == Plan.Customers.end() ? 0 : Found->second.InUse;
  // One of its own gets free sooner than a new one is set up.
  if (InUse != 0 && expectedConnection(Plan, Customer) < Plan.SetUpTime)
    return {};
  if (Room.Open < Room.Limit && Room.MayOpen)
    return {connection_step::Open, {}};
  // Closing an idle connection helps only if the endpoint then accepts another.
  if (Room.Refused && InUse != 0)
    return {};
  const double Share = fairShare(Plan, Room, Now);
  const bool AboveShare = static_cast<double>(InUse) > Share;
  if (auto Victim = leastReused(Plan, AboveShare, Now))
    return {connection_step::Replace, std::move(*Victim)};
  return {Room.MayOpen ? connection_step::Open : connection_step::Wait, {}};
}

microseconds keptFor(const customer_use &Use, instant Now) {
  if (!hasDemand(Use, Now))
    return microseconds(0);
  const seconds Kept{KeptIntervals / std::max(LeastRate, rateOf(Use, Now))};
  return std::chrono::duration_cast<microseconds>(Kept);
}

microseconds expectedConnection(const connection_plan &Plan,
                                std::string_view Customer) {
  const auto Found = Plan.Customers.find(Customer);
  if (Found == Plan.Customers.end() || Found->second.InUse == 0)
    return Plan.SetUpTime * (1 + static_cast<int>(Plan.SetUps));
  const customer_use &Use = Found->second;
  return Use.Hold * static_cast<std::int64_t>(Use.Waiting + 1) /
         static_cast<std::int64_t>(Use.InUse);
}

void forgetUnused(connection_plan &Plan, instant Now) {
  std::erase_if(Plan.Customers, [&](const auto &Item) {
    const customer_use &Use = Item.second;
    return Use.InUse == 0 && Use.Idle == 0 && !hasDemand(Use, Now);
  });
}

} // namespace redwinggw::session
