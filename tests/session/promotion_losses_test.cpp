#include "promotion_search.hpp"

#include "criterion_test.hpp"

using namespace redwinggw::promotion_model;

namespace {

constexpr std::size_t Unlimited = 2'000'000;

setting withoutFaults() {
  setting Setting;
  Setting.Delays = 0;
  Setting.InstanceFaults = 0;
  Setting.DatabaseFaults = 0;
  Setting.Takeovers = 0;
  Setting.Abandons = 0;
  return Setting;
}

/// Checks every reachable state: no rule is broken, and without further faults
/// an agreed primary is reached, whatever happens in which order.
void checkProgress(const setting &Setting) {
  const search_result Result = searchAll(Setting, Unlimited);
  cr_assert(Result.Broken == fault::None, "%s", Result.Trace.c_str());
  cr_assert(Result.Complete);
  cr_assert(Result.Stuck + Result.Endless == 0, "%s", Result.Trace.c_str());
}

} // namespace

// Guards against a target that is silent, refused or empty when its order
// arrives.
Test(promotion_losses, survives_the_loss_of_a_database) {
  setting Setting = withoutFaults();
  Setting.Delays = 2;
  Setting.DatabaseFaults = 1;
  Setting.Abandons = 1;
  checkProgress(Setting);
}

// Guards against a takeover at the moment when the target is lost.
Test(promotion_losses, takes_over_without_the_target) {
  setting Setting = withoutFaults();
  Setting.Delays = 1;
  Setting.DatabaseFaults = 1;
  Setting.Takeovers = 1;
  for (const number SynchronousReplicas : {0, 1}) {
    Setting.SynchronousReplicas = SynchronousReplicas;
    checkProgress(Setting);
  }
}

// Guards against the loss of an instance and of a database in one move.
Test(promotion_losses, survives_two_losses) {
  setting Setting = withoutFaults();
  Setting.Delays = 1;
  Setting.InstanceFaults = 1;
  Setting.DatabaseFaults = 1;
  checkProgress(Setting);
}
