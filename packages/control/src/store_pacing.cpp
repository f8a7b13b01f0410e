#include "redwinggw/control/store_pacing.hpp"

#include <algorithm>

namespace redwinggw::control {
namespace {

bool isDue(const store_pacing &Pacing, bool Connected, base::instant Now) {
  if (Pacing.Answers || !Pacing.AttemptedAt)
    return true;
  const base::milliseconds Interval =
      Connected ? ConnectedRetryInterval : IsolatedRetryInterval;
  return Now - *Pacing.AttemptedAt >= Interval;
}

/// Whether no other loop that still waits has waited for longer.
bool isFirst(const store_pacing &Pacing, const waiting_loop &Own,
             base::instant Now) {
  return std::ranges::none_of(Pacing.Waiting, [&](const waiting_loop &Other) {
    return Other.Since && *Other.Since < *Own.Since &&
           Now - Other.AskedAt < GaveUpAfter;
  });
}

} // namespace

bool tryAttempt(store_pacing &Pacing, store_loop Loop, bool Connected,
                base::instant Now) {
  waiting_loop &Own = Pacing.Waiting.at(static_cast<std::size_t>(Loop));
  if (!Own.Since || Now - Own.AskedAt >= GaveUpAfter)
    Own.Since = Now;
  Own.AskedAt = Now;
  const bool InTurn = Pacing.Answers || isFirst(Pacing, Own, Now);
  if (!InTurn || !isDue(Pacing, Connected, Now))
    return false;
  Own.Since.reset();
  Pacing.AttemptedAt = Now;
  return true;
}

} // namespace redwinggw::control
