#include "redwinggw/control/peer_traffic.hpp"

#include "redwinggw/base/enum_table.hpp"

#include <string>

namespace redwinggw::control {
namespace {

constexpr std::array KindNames =
    std::to_array<base::enum_name<peer_message_kind>>({
        {peer_message_kind::Heartbeat, "heartbeat"},
        {peer_message_kind::ZoneState, "zone_state"},
        {peer_message_kind::Answer, "answer"},
        {peer_message_kind::Share, "share"},
        {peer_message_kind::SharedRead, "shared_read"},
        {peer_message_kind::Invalid, "invalid"},
    });
static_assert(KindNames.size() == PeerMessageKinds);

void setBytes(base::metrics &Metrics, std::string_view Direction,
              const std::array<std::uint64_t, PeerMessageKinds> &ByKind) {
  for (const auto &[Kind, Name] : KindNames)
    counterOf(Metrics, base::metric::PeerBytesTotal,
              {std::string(Direction), std::string(Name)})
        .Value = static_cast<double>(ByKind[static_cast<std::size_t>(Kind)]);
}

} // namespace

std::string_view peerMessageKindName(peer_message_kind Kind) {
  return base::nameOf(KindNames, Kind);
}

peer_message_kind kindOf(const wire::datagram &Datagram) {
  if (std::holds_alternative<wire::share_message>(Datagram.Body))
    return peer_message_kind::Share;
  const auto *Report = std::get_if<wire::peer_report>(&Datagram.Body);
  if (Report == nullptr)
    return peer_message_kind::SharedRead;
  switch (Report->Digest.Scope) {
  case wire::digest_scope::Zone:
    return peer_message_kind::ZoneState;
  case wire::digest_scope::Fleet:
    return peer_message_kind::Answer;
  case wire::digest_scope::None:
    break;
  }
  return peer_message_kind::Heartbeat;
}

void countSent(peer_traffic &Traffic, peer_message_kind Kind,
               std::size_t Bytes) {
  ++Traffic.SentDatagrams;
  Traffic.SentBytes += Bytes;
  Traffic.SentByKind[static_cast<std::size_t>(Kind)] += Bytes;
}

void countReceived(peer_traffic &Traffic, peer_message_kind Kind,
                   std::size_t Bytes) {
  ++Traffic.ReceivedDatagrams;
  Traffic.ReceivedBytes += Bytes;
  Traffic.ReceivedByKind[static_cast<std::size_t>(Kind)] += Bytes;
}

void observeTraffic(base::metrics &Metrics, const peer_traffic &Traffic) {
  setBytes(Metrics, "sent", Traffic.SentByKind);
  setBytes(Metrics, "received", Traffic.ReceivedByKind);
}

} // namespace redwinggw::control
