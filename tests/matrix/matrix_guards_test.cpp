#include "failover_scenario.hpp"

#include <algorithm>
#include <optional>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::matrix;

namespace {

constexpr std::uint64_t SearchSeeds = 2;

/// The first cell in which the mutation breaks its promise.
std::optional<failover_run> cellThatCatches(const mutation &Mutation) {
  for (std::uint64_t Seed = 1; Seed <= SearchSeeds; ++Seed)
    for (failover_run Run : allCells(Seed)) {
      Mutation.Apply(Run);
      if (runFailover(Run).Broken.contains(Mutation.Promise))
        return Run;
    }
  return std::nullopt;
}

} // namespace

// Switches off each safety check in turn and verifies that the fault matrix
// detects the consequence: a lost acknowledged write, a stale read, or two
// orders in one term. With all checks on, the same run keeps every promise.
Test(matrix_guards, each_guard_is_needed) {
  for (const mutation &Mutation : failoverMutations()) {
    const auto Caught = cellThatCatches(Mutation);
    cr_assert(Caught.has_value());
    const failover_run Guarded{
        Caught->Fault, Caught->Step, Caught->Seed, {}, {}};
    cr_assert(runFailover(Guarded).Broken.empty());
  }
}
