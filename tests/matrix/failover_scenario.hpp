#pragma once

#include "models.hpp"
#include "registry.hpp"

/// Failover of one group under faults.
namespace redwinggw::matrix {

struct failover_run {
  fault Fault = fault::KillInstance;
  step Step = step::WriteSent;
  std::uint64_t Seed = 0;
  data::failover_parameters Failover;
  data::confirm_parameters Confirm;
};

/// Runs one cell once. The same run gives the same result each time. The seed
/// also picks how the first primary fails: killed, paused, cut off from all,
/// from its replicas, one way, or from the instances.
cell_run runFailover(const failover_run &Run);

/// One run of every cell with \p Seed.
std::vector<failover_run> allCells(std::uint64_t Seed);

/// A guard switched off, and the promise that breaks without it.
struct mutation {
  std::string Name;
  std::string Promise;
  void (*Apply)(failover_run &);
};

std::vector<mutation> failoverMutations();

} // namespace redwinggw::matrix
