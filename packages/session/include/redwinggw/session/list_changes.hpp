#pragma once

#include "redwinggw/session/directory.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The list of endpoints as changes to an earlier list, for instances that have
/// that one. Decisions without I/O.
///
/// The text names both lists by their digests, so that changes take effect as a
/// whole or not at all.
namespace redwinggw::session {

/// What turns \p From into \p To. Thread safe.
std::string encodeChanges(const std::vector<endpoint_entry> &From,
                          const std::vector<endpoint_entry> &To);

/// What applying changes to a list came to.
enum class change_result {
  Applied,
  /// The list is the one that the changes lead to already.
  Known,
  /// The list is another one than the changes are relative to, or the text
  /// cannot be read.
  Unusable,
};

/// Applies a text that encodeChanges returned to \p List, which stays as it is
/// unless the result is Applied. Thread safe.
change_result applyChanges(std::vector<endpoint_entry> &List,
                           std::string_view Text);

/// The changes from \p From to \p To as several messages of at most about
/// \p MaxBytes, where one does not suffice; each leads to a list of its own,
/// from which the next one starts. Thread safe.
std::vector<std::string>
encodeChangesInParts(const std::vector<endpoint_entry> &From,
                     const std::vector<endpoint_entry> &To,
                     std::size_t MaxBytes);

} // namespace redwinggw::session
