#include "promotion_checks.hpp"

using namespace redwinggw::promotion_model;

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
