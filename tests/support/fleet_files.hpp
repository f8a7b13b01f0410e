#pragma once

#include "fleet.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace redwinggw::fleet {

/// Settings that all instances share.
struct shared_settings {
  http::address Platform;
  std::string KeyFile;
  std::string OperatorKeyFile;
  /// Additional INI text.
  std::string More;
};

/// The settings file of \p Instance. Thread safe.
std::string settingsOf(const running_instance &Instance,
                       const shared_settings &Shared);

/// The configuration sheet (docs/SHEET.md) that declares \p Plan. Thread safe.
std::string
sheetOf(const fleet_plan &Plan,
        const std::vector<std::unique_ptr<running_endpoint>> &Endpoints,
        std::string_view FleetKey, unsigned BaseVersion);

} // namespace redwinggw::fleet
