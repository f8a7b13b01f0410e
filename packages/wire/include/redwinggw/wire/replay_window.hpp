#pragma once

#include <cstdint>

/// Detects delayed, reordered and duplicate datagrams.
namespace redwinggw::wire {

enum class datagram_order {
  Newest,            ///< the highest sequence number so far
  Reordered,         ///< first seen after a higher sequence number
  Duplicate,         ///< seen before, or too old to tell
  FormerIncarnation, ///< from an earlier incarnation of the sender
};

/// The datagrams seen from one sender.
struct replay_window {
  std::uint64_t Incarnation = 0;
  std::uint64_t Highest = 0;
  /// Bit i is set when sequence number Highest - i was seen.
  std::uint64_t Seen = 0;
};

/// Records a datagram and classifies it. Guards against datagrams that the
/// network repeats or delays: only Newest and Reordered ones may have an
/// effect.
datagram_order recordDatagram(replay_window &Window, std::uint64_t Incarnation,
                              std::uint64_t Sequence);

} // namespace redwinggw::wire
