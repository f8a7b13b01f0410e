#pragma once

#include "redwinggw/base/time.hpp"

#include <compare>
#include <cstdint>

/// Hybrid logical clock: times that follow the wall clock closely and never
/// contradict the order of cause and effect between instances. For the time
/// line and for people only; leases count on base::instant.
namespace redwinggw::base {

/// A point in the fleet's order of events. Instances may have equal times for
/// events that do not depend on each other.
struct hybrid_time {
  /// Milliseconds since 1970.
  std::int64_t Wall = 0;
  /// Orders events of one millisecond.
  std::uint32_t Count = 0;

  friend auto operator<=>(const hybrid_time &, const hybrid_time &) = default;
};

/// One instance's clock. Not thread safe.
struct hybrid_clock {
  hybrid_time Last;
  /// A peer further ahead of the own wall clock than this is not believed.
  milliseconds MaxDrift{1000};
};

/// The time of a local event or of a message about to be sent; greater than
/// each time given before, also when \p WallMs stepped back.
hybrid_time tick(hybrid_clock &Clock, std::int64_t WallMs);

/// What merge made of a received time.
struct merged_time {
  hybrid_time Time;
  /// False when the sender's clock was too far ahead and was left out, so
  /// that Time is not ordered after the sender's.
  bool PeerAccepted = true;
};

/// The time of the receipt of a message sent at \p Received; greater than each
/// time given before and, unless the peer is not believed, than \p Received.
merged_time merge(hybrid_clock &Clock, const hybrid_time &Received,
                  std::int64_t WallMs);

} // namespace redwinggw::base
