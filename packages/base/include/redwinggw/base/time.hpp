#pragma once

#include <chrono>
#include <cstdint>

/// Times as the decisions see them: plain numbers passed in, no clock inside.
namespace redwinggw::base {

using std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

/// A point on the clock since boot, in microseconds. Points of two processes
/// are never compared. It goes on while the process is stopped by a signal and
/// while the whole machine is suspended, so a lease counted on it lapses
/// during a pause. The clock of timers stands still in a suspension: only
/// spans may be passed from one to the other.
using instant =
    std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/// Reads the clock since boot. Thread safe.
instant now();

/// \p Instant on the clock that timers run on, as of now. Thread safe.
std::chrono::steady_clock::time_point timerPoint(instant Instant);

/// Wall clock in milliseconds since 1970; for people and for the age of
/// request ids only, never for leases. Thread safe.
std::int64_t wallMilliseconds();

} // namespace redwinggw::base
