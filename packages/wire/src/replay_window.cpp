#include "redwinggw/wire/replay_window.hpp"

namespace redwinggw::wire {
namespace {

constexpr std::uint64_t WindowBits = 64;

} // namespace

datagram_order recordDatagram(replay_window &Window, std::uint64_t Incarnation,
                              std::uint64_t Sequence) {
  if (Incarnation < Window.Incarnation)
    return datagram_order::FormerIncarnation;
  if (Incarnation > Window.Incarnation)
    Window = {Incarnation, 0, 0};
  if (Sequence > Window.Highest) {
    const std::uint64_t Shift = Sequence - Window.Highest;
    Window.Seen = Shift < WindowBits ? (Window.Seen << Shift) | 1 : 1;
    Window.Highest = Sequence;
    return datagram_order::Newest;
  }
  const std::uint64_t Back = Window.Highest - Sequence;
  const std::uint64_t Bit = Back < WindowBits ? std::uint64_t{1} << Back : 0;
  if (Bit == 0 || (Window.Seen & Bit) != 0)
    return datagram_order::Duplicate;
  Window.Seen |= Bit;
  return datagram_order::Reordered;
}

} // namespace redwinggw::wire
