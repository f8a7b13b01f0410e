#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace redwinggw::base {

/// \p Bytes in base64 with padding. Thread safe.
std::string toBase64(std::string_view Bytes);

/// What toBase64 was given; nothing for what is not base64. Thread safe.
std::optional<std::string> fromBase64(std::string_view Text);

} // namespace redwinggw::base
