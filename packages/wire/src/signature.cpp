#include "redwinggw/wire/signature.hpp"

#include "redwinggw/base/digest.hpp"

namespace redwinggw::wire {
namespace {

/// HMAC-SHA-256 truncated to 128 bits, as in RFC 4868: no weaker against online
/// forgery, and a heartbeat is a tenth shorter.
constexpr std::size_t DigestBytes = 16;

std::string digest(std::string_view FleetKey, std::string_view Payload) {
  return base::hmacSha256(FleetKey, Payload).substr(0, DigestBytes);
}

} // namespace

std::string sign(std::string_view FleetKey, std::string Payload) {
  Payload += digest(FleetKey, Payload);
  return Payload;
}

std::optional<std::string_view> verify(std::string_view FleetKey,
                                       std::string_view Datagram) {
  if (Datagram.size() < DigestBytes)
    return std::nullopt;
  const std::string_view Payload =
      Datagram.substr(0, Datagram.size() - DigestBytes);
  const std::string_view Digest = Datagram.substr(Payload.size());
  if (!base::equalInConstantTime(digest(FleetKey, Payload), Digest))
    return std::nullopt;
  return Payload;
}

} // namespace redwinggw::wire
