#include "redwinggw/base/time.hpp"

namespace redwinggw::base {

instant now() {
  return std::chrono::time_point_cast<microseconds>(
      std::chrono::steady_clock::now());
}

std::int64_t wallMilliseconds() {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(SinceEpoch).count();
}

} // namespace redwinggw::base
