#include "promotion_checks.hpp"

using namespace redwinggw::promotion_model;

namespace {

setting twoServices() {
  setting Setting = withoutFaults();
  Setting.Services = 2;
  return Setting;
}

} // namespace

// Guards against moves of two services that end each other again and again by
// the row which they share.
Test(promotion_services, moves_two_services) {
  setting Setting = twoServices();
  Setting.LeavesLostMoves = true;
  checkProgress(Setting);
}

// Guards against a service without a primary for good where each instance
// resumes its own moves. Only chance ends these then.
Test(promotion_services, can_move_two_services_by_two_orderers) {
  constexpr std::size_t Unlimited = 2'000'000;
  const search_result Result = searchAll(twoServices(), Unlimited);
  cr_assert(Result.Broken == fault::None, "%s", Result.Trace.c_str());
  cr_assert(Result.Complete);
  cr_assert(Result.Stuck == 0, "%s", Result.Trace.c_str());
  cr_assert(Result.Endless != 0);
}

// Guards against orders of two services whose orderer changes between them.
Test(promotion_services, takes_over_one_of_two_services) {
  constexpr std::size_t Nearest = 300'000;
  setting Setting = twoServices();
  Setting.Delays = 1;
  Setting.Takeovers = 1;
  const search_result Result = searchAll(Setting, Nearest);
  cr_assert(Result.Broken == fault::None, "%s", Result.Trace.c_str());
}

// Guards against orders of two services whose orderer ends between them.
Test(promotion_services, survives_the_loss_of_an_instance) {
  constexpr std::size_t Nearest = 150'000;
  setting Setting = twoServices();
  Setting.Delays = 1;
  Setting.InstanceFaults = 1;
  Setting.Doubts = 1;
  Setting.Restarts = true;
  const search_result Result = searchAll(Setting, Nearest);
  cr_assert(Result.Broken == fault::None, "%s", Result.Trace.c_str());
}

// Guards against rare orders of events in two services.
Test(promotion_services, keeps_the_rules_on_random_walks) {
  setting Setting = twoServices();
  Setting.Moves = 2;
  Setting.Delays = 2;
  Setting.InstanceFaults = 2;
  Setting.DatabaseFaults = 2;
  Setting.Takeovers = 4;
  Setting.Abandons = 2;
  Setting.Doubts = 2;
  Setting.Restarts = true;
  constexpr std::size_t Walks = 500;
  constexpr std::size_t Steps = 250;
  for (const std::uint32_t Seed : {1U, 2U, 3U, 4U}) {
    const search_result Result = walk(Setting, Seed, Walks, Steps);
    cr_assert(Result.Broken == fault::None, "%s", Result.Trace.c_str());
  }
}
