#pragma once

#include "redwinggw/base/metrics.hpp"
#include "redwinggw/wire/message.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

/// Counts the datagrams between instances by kind.
namespace redwinggw::control {

enum class peer_message_kind : std::uint8_t {
  /// Without a digest of other instances.
  Heartbeat,
  /// A heartbeat with the state of an availability zone.
  ZoneState,
  /// A heartbeat with the state of the fleet, the answer of a relay.
  Answer,
  /// Of shares of rates.
  Share,
  /// Something read from the store for others.
  SharedRead,
  /// Could not be decoded.
  Invalid,
};
constexpr std::size_t PeerMessageKinds = 6;

std::string_view peerMessageKindName(peer_message_kind Kind);

/// Thread safe.
peer_message_kind kindOf(const wire::datagram &Datagram);

/// Traffic since the start; bytes without IP and UDP headers.
struct peer_traffic {
  std::uint64_t SentDatagrams = 0;
  std::uint64_t SentBytes = 0;
  std::uint64_t ReceivedDatagrams = 0;
  std::uint64_t ReceivedBytes = 0;
  /// The bytes by kind.
  std::array<std::uint64_t, PeerMessageKinds> SentByKind{};
  std::array<std::uint64_t, PeerMessageKinds> ReceivedByKind{};
};

void countSent(peer_traffic &Traffic, peer_message_kind Kind,
               std::size_t Bytes);
void countReceived(peer_traffic &Traffic, peer_message_kind Kind,
                   std::size_t Bytes);

/// Sets the counters of bytes in \p Metrics.
void observeTraffic(base::metrics &Metrics, const peer_traffic &Traffic);

} // namespace redwinggw::control
