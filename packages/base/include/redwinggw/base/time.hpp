#pragma once

#include <chrono>
#include <cstdint>

/// Time types. Decision logic receives times as arguments and reads no clock.
namespace redwinggw::base {

using std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

/// A time on the clock since boot, in microseconds. Times of different
/// processes are never compared. The clock advances while the process is
/// stopped by a signal and while the machine is suspended, so a lease measured
/// with it expires during a pause. The clock of timers does not advance during
/// a suspension: only durations may be carried over from one to the other.
using instant =
    std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/// Reads the clock since boot. Thread safe.
instant now();

/// Converts \p Instant to the clock that timers use, as of now. Thread safe.
std::chrono::steady_clock::time_point timerPoint(instant Instant);

/// Wall clock in milliseconds since the Unix epoch. Used only for display and
/// for the age of request ids, never for leases. Thread safe.
std::int64_t wallMilliseconds();

} // namespace redwinggw::base
