#pragma once

#include "native/simulated_platform.hpp"

#include <set>
#include <string>
#include <vector>

/// Judges promotion orders and writes by what the platform and callers saw.
namespace redwinggw::fleet {

/// Ids of statements that callers have seen succeed.
using acknowledged_ids = std::set<std::string>;

/// One line for each write that was committed at a former primary after its
/// successor had been promoted, and acknowledged to its caller.
std::vector<std::string>
writesAtFormerPrimaries(standin::simulated_platform &World,
                        const acknowledged_ids &Acknowledged);

/// One line for each fencing token that two instances ordered with.
std::vector<std::string> sharedTokens(standin::simulated_platform &World);

/// The number of lines, and the first ones.
std::string summaryOf(const std::vector<std::string> &Lines);

} // namespace redwinggw::fleet
