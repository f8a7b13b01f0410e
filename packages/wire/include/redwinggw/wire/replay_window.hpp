#pragma once

#include <cstdint>

/// Recognition of datagrams that were delayed, crossed or doubled.
namespace redwinggw::wire {

enum class datagram_order {
  Newest,            ///< the highest sequence number so far
  Reordered,         ///< seen for the first time, after a higher one
  Duplicate,         ///< seen before, or too old to tell
  FormerIncarnation, ///< of an incarnation that has ended
};

/// The datagrams seen of one sender.
struct replay_window {
  std::uint64_t Incarnation = 0;
  std::uint64_t Highest = 0;
  /// Bit i: Highest - i was seen.
  std::uint64_t Seen = 0;
};

/// Notes a datagram and tells how fresh it is. Guards against the network's
/// repeats and delays: only Newest and Reordered may have an effect.
datagram_order recordDatagram(replay_window &Window, std::uint64_t Incarnation,
                              std::uint64_t Sequence);

} // namespace redwinggw::wire
