#pragma once

#include <chrono>
#include <cstdint>

/// Times as the decisions see them: plain numbers passed in, no clock inside.
namespace redwinggw::base {

using std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

/// A point on the process's monotonic clock, in microseconds. Points of two
/// processes are never compared. It goes on while the process is stopped by a
/// signal, so a lease counted on it lapses during a pause.
using instant =
    std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/// Reads the monotonic clock. Thread safe.
instant now();

/// Wall clock in milliseconds since 1970; for people and for the age of
/// request ids only, never for leases. Thread safe.
std::int64_t wallMilliseconds();

} // namespace redwinggw::base
