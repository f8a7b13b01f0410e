#pragma once

#include "scenarios.hpp"

#include "fleet.hpp"

/// The fleets that tools/measure runs.
namespace redwinggw::load {

/// A policy that is compared, as settings of the instances.
struct policy {
  std::string Name;
  std::string Settings;
  /// Baselines run only the scenarios that their setting bears on.
  bool Baseline = false;
};

/// The policy of the product first, then the baselines.
const std::vector<policy> &policies();

/// The processes of \p Deployment under \p Policy.
fleet::fleet_plan planOf(const deployment &Deployment, const policy &Policy);

/// \p Fleet as the scenarios see it; it outlives the port.
fleet_view viewOf(fleet::running_fleet &Fleet);

/// Starts again the databases that a scenario killed.
void restartKilled(fleet::running_fleet &Fleet);

} // namespace redwinggw::load
