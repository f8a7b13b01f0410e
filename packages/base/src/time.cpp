#include "redwinggw/base/time.hpp"

#include <algorithm>
#include <ctime>

namespace redwinggw::base {

instant now() {
  timespec Time{};
  ::clock_gettime(CLOCK_BOOTTIME, &Time);
  const auto SinceBoot = std::chrono::seconds(Time.tv_sec) +
                         std::chrono::nanoseconds(Time.tv_nsec);
  return instant(std::chrono::duration_cast<microseconds>(SinceBoot));
}

std::chrono::steady_clock::time_point timerPoint(instant Instant) {
  // Clamped because instants far in the future mean "never" and would overflow.
  constexpr std::chrono::hours Longest{24 * 365};
  const microseconds Left =
      std::clamp<microseconds>(Instant - now(), -Longest, Longest);
  return std::chrono::steady_clock::now() + Left;
}

std::int64_t wallMilliseconds() {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(SinceEpoch).count();
}

} // namespace redwinggw::base
