#include "redwinggw/control/store_pacing.hpp"

namespace redwinggw::control {

bool mayAttempt(const store_pacing &Pacing, bool Connected, base::instant Now) {
  if (Pacing.Answers || !Pacing.AttemptedAt)
    return true;
  const base::milliseconds Interval =
      Connected ? ConnectedRetryInterval : IsolatedRetryInterval;
  return Now - *Pacing.AttemptedAt >= Interval;
}

} // namespace redwinggw::control
