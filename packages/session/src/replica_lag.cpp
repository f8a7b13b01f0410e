#include "redwinggw/session/replica_lag.hpp"

#include <algorithm>

namespace redwinggw::session {
namespace {

base::milliseconds ageOf(const required_point &Required, base::instant Now) {
  return std::chrono::ceil<base::milliseconds>(Now - Required.Since);
}

base::milliseconds pauseAfter(const replica_lag &Lag) {
  constexpr unsigned MaxDoublings = 5;
  const unsigned Doublings = std::min(Lag.Refusals - 1, MaxDoublings);
  return std::min(Lag.Limits.FirstPause * (1U << Doublings),
                  Lag.Limits.LongestPause);
}

} // namespace

void noteReached(replica_lag &Lag, log_point Point) {
  Lag.Reached = std::max(Lag.Reached, Point);
}

void noteServed(replica_lag &Lag) {
  Lag.Refusals = 0;
  Lag.TypicalLagMs *= 1 - Lag.Limits.DecayRate;
}

void noteLagging(replica_lag &Lag, const required_point &Required,
                 base::instant Now) {
  const base::milliseconds Age = ageOf(Required, Now);
  Lag.LastRefusalAt = Now;
  if (Age > Lag.Limits.MaxTypicalLag) {
    ++Lag.Refusals;
    return;
  }
  const double Above = static_cast<double>(Age.count()) - Lag.TypicalLagMs;
  Lag.TypicalLagMs += std::max(0.0, Above) * Lag.Limits.LearningRate;
}

bool probablyLags(const replica_lag &Lag, const required_point &Required,
                  base::instant Now) {
  if (Required.Point <= Lag.Reached)
    return false;
  if (Lag.Refusals > 0 && Now - Lag.LastRefusalAt < pauseAfter(Lag))
    return true;
  return static_cast<double>(ageOf(Required, Now).count()) < Lag.TypicalLagMs;
}

} // namespace redwinggw::session
