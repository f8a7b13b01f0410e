#include "redwinggw/session/replica_lag.hpp"

#include <algorithm>

namespace redwinggw::session {
namespace {

base::milliseconds ageOf(const required_point &Required, base::instant Now) {
  return std::chrono::ceil<base::milliseconds>(Now - Required.Since);
}

base::milliseconds pauseAfter(const replica_lag &Lag) {
  constexpr unsigned MostDoublings = 5;
  const unsigned Doublings = std::min(Lag.Misses - 1, MostDoublings);
  return std::min(Lag.Limits.FirstPause * (1U << Doublings),
                  Lag.Limits.LongestPause);
}

} // namespace

void noteReached(replica_lag &Lag, log_point Point) {
  Lag.Reached = std::max(Lag.Reached, Point);
}

void noteServed(replica_lag &Lag) {
  Lag.Misses = 0;
  Lag.UsualMs *= 1 - Lag.Limits.Forget;
}

void noteTrailing(replica_lag &Lag, const required_point &Required,
                  base::instant Now) {
  const base::milliseconds Age = ageOf(Required, Now);
  Lag.MissedAt = Now;
  if (Age > Lag.Limits.LongestUsual) {
    ++Lag.Misses;
    return;
  }
  const double Above = static_cast<double>(Age.count()) - Lag.UsualMs;
  Lag.UsualMs += std::max(0.0, Above) * Lag.Limits.Learn;
}

bool probablyTrails(const replica_lag &Lag, const required_point &Required,
                    base::instant Now) {
  if (Required.Point <= Lag.Reached)
    return false;
  if (Lag.Misses > 0 && Now - Lag.MissedAt < pauseAfter(Lag))
    return true;
  return static_cast<double>(ageOf(Required, Now).count()) < Lag.UsualMs;
}

} // namespace redwinggw::session
