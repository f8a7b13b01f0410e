#pragma once

#include "redwinggw/base/metrics.hpp"

namespace redwinggw::base {

/// Number of observations up to an upper bound.
struct cumulative_bin {
  double UpperMicroseconds = 0;
  std::uint64_t Count = 0;
};

/// Bins with ascending bounds, about four per decade, without the infinite one.
std::vector<cumulative_bin> cumulativeBins(const histogram &Histogram);

} // namespace redwinggw::base
