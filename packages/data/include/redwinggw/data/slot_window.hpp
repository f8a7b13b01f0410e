#pragma once

#include "redwinggw/base/time.hpp"

#include <cstddef>

/// Concurrency window: how many requests one instance keeps running at one
/// endpoint. All instances share the database's slots without exchanging
/// messages: each grows its window while answers show no queueing in the
/// database and shrinks it when they do (additive increase, multiplicative
/// decrease).
namespace redwinggw::data {

struct slot_window {
  /// Current window size; only the whole part counts.
  double Size = 1;
  std::size_t Running = 0;
  /// Largest size: the number of connections that the instance may use there.
  double Limit = 1;
  /// Smallest recent delay outside the slot, that is, the network's part.
  base::microseconds BaseDelay{0};
  /// The window shrinks at most once per round trip.
  base::instant ShrunkAt;
};

/// Whether one more request may run.
bool hasRoom(const slot_window &Window);

/// Counts a request as running. Precondition: hasRoom.
void startRequest(slot_window &Window);

/// Counts a request as finished. \p RoundTrip is the time from sending it to
/// its answer, \p Busy the part in which it held a slot.
void finishRequest(slot_window &Window, base::microseconds RoundTrip,
                   base::microseconds Busy, base::instant Now);

/// Counts a request as finished that gave no measurement (failed or rolled
/// back).
void finishUnmeasured(slot_window &Window);

} // namespace redwinggw::data
