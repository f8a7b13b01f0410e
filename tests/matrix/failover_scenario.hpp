#pragma once

#include "models.hpp"
#include "registry.hpp"

/// Failover of one group under injected faults.
namespace redwinggw::matrix {

struct failover_run {
  fault Fault = fault::KillInstance;
  step Step = step::WriteSent;
  std::uint64_t Seed = 0;
  data::failover_parameters Failover;
  data::confirm_parameters Confirm;
};

/// Runs one cell once; equal runs give equal results. The seed also selects how
/// the first primary fails: killed, paused, or cut off from all nodes, from its
/// replicas, in one direction, or from the instances.
cell_run runFailover(const failover_run &Run);

/// One run of every cell with \p Seed.
std::vector<failover_run> allCells(std::uint64_t Seed);

/// A safety check that is switched off, and the promise that breaks without it.
struct mutation {
  std::string Name;
  std::string Promise;
  void (*Apply)(failover_run &);
};

std::vector<mutation> failoverMutations();

} // namespace redwinggw::matrix
