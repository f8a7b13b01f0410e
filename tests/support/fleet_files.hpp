#pragma once

#include "fleet.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace redwinggw::fleet {

/// The sheet (docs/SHEET.md) that declares \p Plan. Thread safe.
std::string
sheetOf(const fleet_plan &Plan,
        const std::vector<std::unique_ptr<running_endpoint>> &Endpoints,
        std::string_view FleetKey, unsigned BaseVersion);

} // namespace redwinggw::fleet
