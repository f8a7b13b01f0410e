#include "redwinggw/base/hybrid_clock.hpp"

#include <algorithm>
#include <limits>

namespace redwinggw::base {
namespace {

hybrid_time successorOf(const hybrid_time &Time) {
  if (Time.Count == std::numeric_limits<std::uint32_t>::max())
    return {Time.Wall + 1, 0};
  return {Time.Wall, Time.Count + 1};
}

} // namespace

hybrid_time tick(hybrid_clock &Clock, std::int64_t WallMs) {
  Clock.Last = std::max(hybrid_time{WallMs, 0}, successorOf(Clock.Last));
  return Clock.Last;
}

merged_time merge(hybrid_clock &Clock, const hybrid_time &Received,
                  std::int64_t WallMs) {
  // Guards against one instance with a wrong wall clock, which would move the
  // timestamps of the whole fleet into the future permanently. Its timestamp is
  // ignored, so the other instances stay close to their own wall clocks.
  if (Received.Wall > WallMs + Clock.MaxDrift.count())
    return {tick(Clock, WallMs), false};
  Clock.Last = std::max(Clock.Last, Received);
  return {tick(Clock, WallMs), true};
}

} // namespace redwinggw::base
