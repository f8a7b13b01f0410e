#pragma once

#include <optional>
#include <string>
#include <string_view>

/// The difference between two versions of a large text of records, such as the
/// configuration: a change of one route among thousands takes a few hundred
/// bytes in place of the whole. Decisions without I/O.
namespace redwinggw::session {

/// What turns \p From into \p To: parts of \p From, which begin and end at the
/// ends of records, and new text. Thread safe.
std::string encodeDelta(std::string_view From, std::string_view To);

/// The text into which \p Delta turns \p From. Nothing if the delta cannot be
/// read or was made for another text. Thread safe.
std::optional<std::string> applyDelta(std::string_view From,
                                      std::string_view Delta);

} // namespace redwinggw::session
