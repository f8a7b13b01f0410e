#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace redwinggw::base {

/// Encodes \p Bytes in base64 with padding. Thread safe.
std::string toBase64(std::string_view Bytes);

/// Decodes padded base64; nothing if \p Text is not valid. Thread safe.
std::optional<std::string> fromBase64(std::string_view Text);

} // namespace redwinggw::base
