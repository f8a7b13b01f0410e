#pragma once

#include "redwinggw/base/time.hpp"

namespace redwinggw::control {

/// What operators tolerate beyond a customer's rate and burst in any window.
struct rate_bound {
  base::milliseconds Window{5000};
  /// Fraction of rate x window + burst.
  double Overshoot = 0.1;
  /// Tokens, whatever the rate.
  double ExtraTokens = 20;
};

} // namespace redwinggw::control
