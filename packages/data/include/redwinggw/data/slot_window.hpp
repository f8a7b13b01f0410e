#pragma once

#include "redwinggw/base/time.hpp"

#include <cstddef>

/// How many requests one instance keeps running at one endpoint. The slots of
/// a database are shared by all instances without messages between them: each
/// grows its window while answers come without queueing in the database and
/// shrinks it when they queue (additive increase, multiplicative decrease).
namespace redwinggw::data {

struct slot_window {
  /// Current limit; its whole part counts.
  double Size = 1;
  std::size_t Running = 0;
  /// Largest size: this instance's connections there.
  double Limit = 1;
  /// Smallest time outside the slot seen lately: the network's share.
  base::microseconds BaseDelay{0};
  /// The window shrinks at most once a round trip.
  base::instant ShrunkAt;
};

/// Whether one more request may run now.
bool hasRoom(const slot_window &Window);

/// Counts a request as running. Precondition: hasRoom.
void startRequest(slot_window &Window);

/// Counts a request as over. \p RoundTrip is the time from sending to the
/// answer, \p Busy the part in which it held a slot.
void finishRequest(slot_window &Window, base::microseconds RoundTrip,
                   base::microseconds Busy, base::instant Now);

/// Counts a request as over that brought no measure (failed, rolled back).
void finishUnmeasured(slot_window &Window);

} // namespace redwinggw::data
