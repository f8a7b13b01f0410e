#include "redwinggw/control/centralized_buckets.hpp"

#include "centralized_fleet.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

/// Restarts all instances: nobody remembers what was spent.
void restartAll(demand_fleet &Fleet, double Rate) {
  const instant Now = Fleet.Now;
  const auto Random = Fleet.Random;
  const std::size_t Spent = Fleet.Spent;
  Fleet = centralizedFleet(Rate, Rate);
  Fleet.Random = Random;
  Fleet.Spent = Spent;
  for (std::size_t Index = 0; Index < Count; ++Index)
    for (member &Member : Fleet.Members[Index].Members)
      Member.ListedSince = Now;
  Fleet.Now = Now;
}

} // namespace

// Guards against seconds without service after the loss of all.
Test(centralized_buckets, serve_soon_after_all_have_started) {
  demand_fleet Fleet = centralizedFleet(100, 100);
  Fleet.load(evenly(60), milliseconds(500));
  cr_assert(ownersOf(Fleet).size() == 1);
  const std::size_t Before = Fleet.Spent;
  const std::size_t Refused = Fleet.load(evenly(60), milliseconds(500));
  cr_assert(Refused * 10 < Refused + Fleet.Spent - Before, "%zu of %zu",
            Refused, Refused + Fleet.Spent - Before);
}

// Guards against processes that start together and spend a rate again.
Test(centralized_buckets, keep_a_flood_within_the_rate_when_all_start_again) {
  for (const double Rate : {8.0, 100.0, 1000.0}) {
    demand_fleet Fleet = centralizedFleet(Rate, Rate);
    Fleet.load(evenly(Rate / 1.6), milliseconds(8000));
    for (const int Before : {500, 1500, 3000}) {
      const std::size_t Spent = Fleet.Spent;
      Fleet.load(evenly(6 * Rate), milliseconds(Before));
      restartAll(Fleet, Rate);
      Fleet.Now += milliseconds(500);
      Fleet.load(evenly(6 * Rate), milliseconds(4500 - Before));
      const auto Used = static_cast<double>(Fleet.Spent - Spent);
      cr_assert(Used <= allowed(Rate, Rate, 5), "%g of %g, rate %g", Used,
                allowed(Rate, Rate, 5), Rate);
      Fleet.load(evenly(Rate / 1.6), milliseconds(8000));
    }
  }
}

// Guards against what a fleet starts with being spent twice in one window.
Test(centralized_buckets,
     keep_a_flood_within_the_rate_when_all_are_lost_twice) {
  for (const double Rate : {2.0, 4.0, 8.0, 17.0, 100.0, 1000.0}) {
    demand_fleet Fleet = centralizedFleet(Rate, Rate);
    Fleet.load(evenly(Rate / 1.6), milliseconds(8000));
    const std::size_t Spent = Fleet.Spent;
    for (int Losses = 0; Losses < 2; ++Losses) {
      Fleet.load(evenly(8 * Rate), milliseconds(1000));
      restartAll(Fleet, Rate);
      Fleet.Now += milliseconds(500);
    }
    Fleet.load(evenly(8 * Rate), milliseconds(2000));
    const auto Used = static_cast<double>(Fleet.Spent - Spent);
    cr_assert(Used <= allowed(Rate, Rate, 5), "%g of %g, rate %g", Used,
              allowed(Rate, Rate, 5), Rate);
  }
}

// Guards against refusals of the whole demand of the time without service.
Test(centralized_buckets, begin_with_tokens_after_the_loss_of_all) {
  demand_fleet Fleet = centralizedFleet(20, 20);
  Fleet.load(evenly(12), milliseconds(8000));
  restartAll(Fleet, 20);
  Fleet.load(std::vector<double>(Count, 0), milliseconds(700));
  const double Tokens = ownerShares(Fleet).Accounts.at("acme").Tokens;
  cr_assert(Tokens >= 10, "%g", Tokens);
}

Test(centralized_buckets, tell_when_a_new_instance_knows_the_owners) {
  demand_fleet Fleet = centralizedFleet(20, 20);
  Fleet.tick();
  const auto Expected = ownersExpected(Fleet.Shares[0], Fleet.Now);
  cr_assert(Expected && *Expected <= milliseconds(500));
  Fleet.load(evenly(12), milliseconds(2000));
  cr_assert(!ownersExpected(Fleet.Shares[0], Fleet.Now));
}
