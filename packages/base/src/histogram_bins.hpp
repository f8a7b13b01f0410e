#pragma once

#include "redwinggw/base/metrics.hpp"

namespace redwinggw::base {

/// Number of observations up to a bound.
struct cumulative_bin {
  double UpperMicroseconds = 0;
  std::uint64_t Count = 0;
};

/// Ascending bounds, about four a decade; without the last, infinite one.
std::vector<cumulative_bin> cumulativeBins(const histogram &Histogram);

} // namespace redwinggw::base
