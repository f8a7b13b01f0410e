#pragma once

#include <cstdint>

/// Recognition of datagrams that were delayed, crossed or doubled.
namespace redwinggw::wire {

enum class freshness {
  Newest,  ///< the highest sequence number so far
  Crossed, ///< seen for the first time, after a higher one
  Doubled, ///< seen before, or too old to tell
  Former,  ///< of an incarnation that has ended
};

/// The datagrams seen of one sender.
struct replay_window {
  std::uint64_t Incarnation = 0;
  std::uint64_t Highest = 0;
  /// Bit i: Highest - i was seen.
  std::uint64_t Seen = 0;
};

/// Notes a datagram and tells how fresh it is. Guards against the network's
/// repeats and delays: only Newest and Crossed may have an effect.
freshness note(replay_window &Window, std::uint64_t Incarnation,
               std::uint64_t Sequence);

} // namespace redwinggw::wire
