#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Authentication of datagrams between instances.
namespace redwinggw::wire {

/// Appends a keyed digest to \p Payload. Thread safe.
std::string sign(std::string_view FleetKey, std::string Payload);

/// The payload of \p Datagram, or nothing when its digest does not match: it
/// was truncated, modified, or sent by somebody without the key. Thread safe.
std::optional<std::string_view> verify(std::string_view FleetKey,
                                       std::string_view Datagram);

} // namespace redwinggw::wire
