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
struct fleet_port {
  std::vector<http::address> Callers;
  std::vector<http::address> Operators;
  std::vector<pid_t> Instances;
  std::vector<database_place> Databases;
  /// Kills the process of a database at once.
  std::function<void(const std::string &Database)> Kill;
};

/// What one scenario needs. Members outlive the scenario's task.
struct bench {
  boost::asio::any_io_executor Executor;
  const deployment &Deployment;
  const fleet_port &Fleet;
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
base::task<bool> prepareFleet(bench &Bench);

/// Every customer inside its rate, then one at five times its rate.
base::task<void> runCalmAndFlood(bench &Bench);

/// Every customer inside its rate, each at one instance only.
base::task<void> runSkewed(bench &Bench);

/// The primary of each service fails while writes go on.
base::task<void> runFailover(bench &Bench, fault_kind Kind);

/// Added latency and statements a core against straight to the endpoint.
base::task<void> runProbes(bench &Bench);

/// CPU for a statement and memory with many caller connections.
base::task<void> runConnections(bench &Bench, std::size_t Connections);

/// The first read of a customer at each instance after a quiet time.
base::task<void> runCold(bench &Bench);

/// CPU, memory and bytes of each instance without load.
base::task<void> runIdle(bench &Bench);

} // namespace redwinggw::load
