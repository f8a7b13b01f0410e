#pragma once

#include "scenarios.hpp"

#include "fleet.hpp"

/// The fleets that tools/measure runs.
namespace redwinggw::load {

/// A policy to compare, given as settings of the instances.
struct policy {
  std::string Name;
  std::string Settings;
  /// Baselines run only the scenarios that their setting affects.
  bool Baseline = false;
};

/// The product's own policy first, then the baselines.
const std::vector<policy> &policies();

/// The fleet to start for \p Deployment under \p Policy.
fleet::fleet_plan planOf(const deployment &Deployment, const policy &Policy);

/// The view of \p Fleet that scenarios use; \p Fleet must outlive it.
fleet_view viewOf(fleet::running_fleet &Fleet);

/// Restarts the databases that a scenario killed.
void restartKilled(fleet::running_fleet &Fleet);

} // namespace redwinggw::load
