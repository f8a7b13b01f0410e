#include "redwinggw/wire/signature.hpp"

#include "redwinggw/base/digest.hpp"

namespace redwinggw::wire {
namespace {

constexpr std::size_t DigestBytes = 32;

} // namespace

std::string sign(std::string_view FleetKey, std::string Payload) {
  Payload += base::keyedDigest(FleetKey, Payload);
  return Payload;
}

std::optional<std::string_view> verify(std::string_view FleetKey,
                                       std::string_view Datagram) {
  if (Datagram.size() < DigestBytes)
    return std::nullopt;
  const std::string_view Payload =
      Datagram.substr(0, Datagram.size() - DigestBytes);
  const std::string_view Digest = Datagram.substr(Payload.size());
  if (!base::equalInConstantTime(base::keyedDigest(FleetKey, Payload), Digest))
    return std::nullopt;
  return Payload;
}

} // namespace redwinggw::wire
