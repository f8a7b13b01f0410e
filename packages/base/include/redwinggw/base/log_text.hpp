#pragma once

#include <string>
#include <string_view>

namespace redwinggw::base {

/// \p Text as it stands between quotes in a structured line: control characters
/// and bytes that are no ASCII are escaped, and a long text is cut. Thread
/// safe.
std::string logText(std::string_view Text);

} // namespace redwinggw::base
