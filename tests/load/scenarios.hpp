#pragma once

#include "deployment.hpp"
#include "driver.hpp"
#include "figures.hpp"

#include "redwinggw/base/task.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <sys/types.h>

/// The scenarios that tools/measure runs against a fleet of real processes.
namespace redwinggw::load {

/// A running fleet as the scenarios see it.
struct fleet_view {
  std::vector<http::address> Callers;
  std::vector<http::address> Operators;
  std::vector<pid_t> Instances;
  std::vector<database_endpoint> Databases;
  /// Kills the process of a database at once.
  std::function<void(const std::string &Database)> Kill;
};

/// What one scenario needs. Members outlive the scenario's task.
struct scenario_environment {
  boost::asio::any_io_executor Executor;
  const deployment &Deployment;
  const fleet_view &Fleet;
  figures &Figures;
  /// Name of the policy that the fleet runs.
  std::string Policy;
  /// Seed and number of the repetition.
  std::uint64_t Repetition = 1;
  /// Length of one load run.
  base::microseconds Duration{0};
};

enum class fault_kind { Pause, Cut, Kill };

std::string_view faultName(fault_kind Kind);

/// Makes the tables. False when the fleet did not take the writes.
base::task<bool> prepareFleet(scenario_environment &Environment);

/// Every customer inside its rate, then one at five times its rate.
base::task<void> runNormalAndFlood(scenario_environment &Environment);

/// Every customer inside its rate, each at one instance only.
base::task<void> runSkewed(scenario_environment &Environment);

/// The primary of each service fails while writes go on.
base::task<void> runFailover(scenario_environment &Environment,
                             fault_kind Kind);

/// Added latency and statements a core against straight to the endpoint.
base::task<void> runProbes(scenario_environment &Environment);

/// CPU for a statement and memory with many caller connections.
base::task<void> runConnections(scenario_environment &Environment,
                                std::size_t Connections);

/// The first read of a customer at each instance after a quiet time.
base::task<void> runCold(scenario_environment &Environment);

/// CPU, memory and bytes of each instance without load.
base::task<void> runIdle(scenario_environment &Environment);

} // namespace redwinggw::load
