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

/// Addresses and processes of a running fleet, for the scenarios.
struct fleet_view {
  std::vector<http::address> Callers;
  std::vector<http::address> Operators;
  std::vector<pid_t> Instances;
  std::vector<database_endpoint> Databases;
  /// Kills the process of a database without a graceful stop.
  std::function<void(const std::string &Database)> Kill;
};

/// The environment of a scenario. The referenced objects must outlive the
/// scenario's task.
struct scenario_environment {
  boost::asio::any_io_executor Executor;
  const deployment &Deployment;
  const fleet_view &Fleet;
  figures &Figures;
  /// Name of the policy that the fleet runs.
  std::string Policy;
  /// Number of the repetition; also the random seed.
  std::uint64_t Repetition = 1;
  /// Length of one load run.
  base::microseconds Duration{0};
};

enum class fault_kind { Pause, Cut, Kill };

std::string_view faultName(fault_kind Kind);

/// Waits for a limited time until the instances accept keys, then creates the
/// tables. False when the fleet did not accept the writes.
base::task<bool> prepareFleet(scenario_environment &Environment);

/// Every customer within its rate, then one customer at five times its rate.
base::task<void> runNormalAndFlood(scenario_environment &Environment);

/// Every customer within its rate, each using one instance only.
base::task<void> runSkewed(scenario_environment &Environment);

/// The primary of each service fails under a load of writes.
base::task<void> runFailover(scenario_environment &Environment,
                             fault_kind Kind);

/// Compares reads through an instance with reads directly from the endpoint:
/// added latency and throughput, and statements per CPU core of the instance.
base::task<void> runProbes(scenario_environment &Environment);

/// CPU per statement and memory of an instance with many caller connections.
base::task<void> runConnections(scenario_environment &Environment,
                                std::size_t Connections);

/// Latency of a customer's first read at each instance after a time without
/// requests.
base::task<void> runCold(scenario_environment &Environment);

/// CPU, memory and peer traffic of each instance without load.
base::task<void> runIdle(scenario_environment &Environment);

} // namespace redwinggw::load
