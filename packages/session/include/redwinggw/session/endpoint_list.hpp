#pragma once

#include "redwinggw/session/directory.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The list of endpoints as text, for instances that do not read it from the
/// platform's store. It holds the fields in use only, about a third of a row.
namespace redwinggw::session {

/// \p Entries as texts of at most \p MaxBytes each, as far as no single entry
/// exceeds that; at least one. Thread safe.
std::vector<std::string>
encodeEndpoints(const std::vector<endpoint_entry> &Entries,
                std::size_t MaxBytes);

/// The entries of one text that encodeEndpoints returned; nothing if it cannot
/// be read. Thread safe.
std::optional<std::vector<endpoint_entry>>
decodeEndpoints(std::string_view Text);

} // namespace redwinggw::session
