#include "redwinggw/control/share_bucket.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace redwinggw::control {
namespace {

using base::instant;
using base::microseconds;

constexpr double MicrosecondsPerSecond = 1e6;
/// Fraction of the burst that is outstanding at the full rate.
constexpr double OutstandingFraction = 0.25;

double seconds(microseconds Time) {
  return static_cast<double>(Time.count()) / MicrosecondsPerSecond;
}

microseconds inMicroseconds(double Seconds) {
  return microseconds(
      static_cast<std::int64_t>(std::ceil(Seconds * MicrosecondsPerSecond)));
}

double roomIn(const share_bucket &Bucket, const share_limits &Limits) {
  const double Out = Limits.CountOutstanding ? outstandingTokens(Bucket) : 0;
  return std::max(0.0, Bucket.Plan.Burst - Bucket.Tokens - Out);
}

/// Fills the bucket from FilledAt to \p Until, between which no grant expires.
void fillUntil(share_bucket &Bucket, instant Until,
               const share_limits &Limits) {
  if (Until <= Bucket.FilledAt)
    return;
  const double Filled = Bucket.Plan.Rate * seconds(Until - Bucket.FilledAt);
  Bucket.Tokens += std::min(Filled, roomIn(Bucket, Limits));
  Bucket.FilledAt = Until;
}

} // namespace

share_plan planOf(double Rate, double Burst, const share_limits &Limits) {
  share_plan Plan{Rate, Burst, Limits.MaxTtl};
  if (Rate > 0)
    Plan.Ttl = std::clamp(inMicroseconds(OutstandingFraction * Burst / Rate),
                          Limits.MinTtl, Limits.MaxTtl);
  return Plan;
}

double outstandingTokens(const share_bucket &Bucket) {
  return std::accumulate(Bucket.Outstanding.begin(), Bucket.Outstanding.end(),
                         0.0, [](double Sum, const outstanding_grant &Grant) {
                           return Sum + Grant.Tokens;
                         });
}

void advance(share_bucket &Bucket, instant Now, const share_limits &Limits) {
  while (!Bucket.Outstanding.empty() &&
         Bucket.Outstanding.front().Until <= Now) {
    fillUntil(Bucket, Bucket.Outstanding.front().Until, Limits);
    Bucket.Outstanding.pop_front();
  }
  fillUntil(Bucket, Now, Limits);
}

void setPlan(share_bucket &Bucket, const share_plan &Plan, instant Now,
             const share_limits &Limits) {
  advance(Bucket, Now, Limits);
  Bucket.Plan = Plan;
  const double Room = Plan.Burst - outstandingTokens(Bucket);
  Bucket.Tokens = std::clamp(Bucket.Tokens, 0.0, std::max(0.0, Room));
}

double allocateTokens(share_bucket &Bucket, double Wanted, instant Now,
                      const share_limits &Limits) {
  advance(Bucket, Now, Limits);
  const double Allocated = std::floor(std::min(Bucket.Tokens, Wanted));
  if (Allocated < 1)
    return 0;
  Bucket.Tokens -= Allocated;
  // The plan may have changed to a shorter Ttl since the last grant.
  const outstanding_grant Grant{Now + Bucket.Plan.Ttl, Allocated};
  const auto At = std::ranges::upper_bound(Bucket.Outstanding, Grant.Until, {},
                                           &outstanding_grant::Until);
  Bucket.Outstanding.insert(At, Grant);
  return Allocated;
}

microseconds timeToToken(const share_bucket &Bucket, instant Now) {
  if (Bucket.Tokens >= 1)
    return microseconds(0);
  if (Bucket.Plan.Rate <= 0)
    return std::chrono::hours(1);
  microseconds Wait = inMicroseconds((1 - Bucket.Tokens) / Bucket.Plan.Rate);
  const double Room =
      Bucket.Plan.Burst - Bucket.Tokens - outstandingTokens(Bucket);
  if (Room < 1 - Bucket.Tokens && !Bucket.Outstanding.empty())
    Wait = std::max<microseconds>(Wait, Bucket.Outstanding.front().Until - Now);
  return Wait;
}

} // namespace redwinggw::control
