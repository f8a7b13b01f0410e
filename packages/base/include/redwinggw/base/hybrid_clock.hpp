#pragma once

#include "redwinggw/base/time.hpp"

#include <compare>
#include <cstdint>

/// Hybrid logical clock: timestamps that stay close to the wall clock and
/// respect causal order between instances. Used only for the timeline and for
/// display; leases are measured with base::instant.
namespace redwinggw::base {

/// A timestamp in the fleet's order of events. Causally independent events of
/// different instances may have equal timestamps.
struct hybrid_time {
  /// Milliseconds since the Unix epoch.
  std::int64_t Wall = 0;
  /// Orders events within one millisecond.
  std::uint32_t Count = 0;

  friend auto operator<=>(const hybrid_time &, const hybrid_time &) = default;
};

/// The clock of one instance. Not thread safe.
struct hybrid_clock {
  hybrid_time Last;
  /// A peer's timestamp further ahead of the local wall clock than this is
  /// ignored.
  milliseconds MaxDrift{1000};
};

/// Returns the timestamp of a local event or of a message about to be sent. It
/// is greater than every timestamp returned before, even if \p WallMs went
/// backwards.
hybrid_time tick(hybrid_clock &Clock, std::int64_t WallMs);

/// Result of merging a received timestamp.
struct merged_time {
  hybrid_time Time;
  /// False if the sender's timestamp was too far ahead and was ignored; Time is
  /// then not ordered after it.
  bool PeerAccepted = true;
};

/// Returns the timestamp of the receipt of a message sent at \p Received. It is
/// greater than every timestamp returned before and, if the peer's timestamp
/// was accepted, than \p Received.
merged_time merge(hybrid_clock &Clock, const hybrid_time &Received,
                  std::int64_t WallMs);

} // namespace redwinggw::base
