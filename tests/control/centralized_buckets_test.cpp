#include "redwinggw/control/centralized_buckets.hpp"

#include "centralized_fleet.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

// Guards against shares of a rate that hold less than one operation.
Test(centralized_buckets, serve_small_customers_within_their_rates) {
  for (const double Rate : {4.0, 8.0, 20.0, 100.0}) {
    demand_fleet Divided = relayedFleet(Rate, Rate);
    demand_fleet Centralized = centralizedFleet(Rate, Rate);
    Divided.load(evenly(Rate / 1.6), milliseconds(8000));
    Centralized.load(evenly(Rate / 1.6), milliseconds(8000));
    const double Before = refusedFraction(Divided, Rate / 1.6);
    const double After = refusedFraction(Centralized, Rate / 1.6);
    cr_assert(After < 0.01 && After <= Before,
              "rate %g: %g refused, %g with divided rates", Rate, After,
              Before);
  }
}

Test(centralized_buckets, have_one_owner_for_each_customer) {
  demand_fleet Fleet = centralizedFleet(100, 100);
  Fleet.load(evenly(50), milliseconds(3000));
  cr_assert(ownersOf(Fleet).size() == 1);
}

Test(centralized_buckets, are_not_used_in_a_small_fleet) {
  demand_fleet Fleet(9);
  Fleet.Centralizes = true;
  Fleet.load(std::vector<double>(9, 5), milliseconds(3000));
  cr_assert(!isCentralized(Fleet.Shares[0], "acme"));
}

Test(centralized_buckets, keep_a_flood_within_the_rate) {
  for (const double Rate : {8.0, 100.0, 1000.0}) {
    demand_fleet Fleet = centralizedFleet(Rate, Rate);
    Fleet.load(evenly(Rate / 1.6), milliseconds(8000));
    cr_assert(keepsRate(Fleet, Rate), "rate %g", Rate);
  }
}

Test(centralized_buckets, serve_a_flood_the_whole_rate) {
  demand_fleet Fleet = centralizedFleet(100, 100);
  Fleet.load(evenly(300), milliseconds(8000));
  const std::size_t Before = Fleet.Spent;
  Fleet.load(evenly(300), milliseconds(5000));
  cr_assert(Fleet.Spent - Before >= 500, "%zu", Fleet.Spent - Before);
}

// Guards against a second bucket while another instance takes over as owner.
Test(centralized_buckets, keep_a_flood_within_the_rate_when_the_owner_dies) {
  for (const double Rate : {8.0, 100.0, 1000.0}) {
    demand_fleet Fleet = centralizedFleet(Rate, Rate);
    Fleet.load(evenly(Rate / 1.6), milliseconds(8000));
    Fleet.Dead = ownersOf(Fleet).front();
    cr_assert(keepsRate(Fleet, Rate), "rate %g", Rate);
    cr_assert(ownersOf(Fleet).size() == 1);
  }
}

// Guards against a customer that stays refused when its bucket's owner is gone.
Test(centralized_buckets, serve_on_two_seconds_after_the_owner_died) {
  demand_fleet Fleet = centralizedFleet(40, 40);
  Fleet.load(evenly(20), milliseconds(8000));
  Fleet.Dead = ownersOf(Fleet).front();
  Fleet.load(evenly(20), milliseconds(2000));
  cr_assert(refusedFraction(Fleet, 20) < 0.01);
}

Test(centralized_buckets, go_to_another_owner_when_one_leaves) {
  demand_fleet Fleet = centralizedFleet(100, 100);
  Fleet.load(evenly(60), milliseconds(8000));
  const std::size_t Owner = ownersOf(Fleet).front();
  Fleet.leave(Owner);
  cr_assert(keepsRate(Fleet, 100, 1));
  const auto Owners = ownersOf(Fleet);
  cr_assert(Owners.size() == 1 && Owners.front() != Owner);
}

Test(centralized_buckets, give_urgent_operations_the_last_tokens) {
  demand_fleet Fleet = centralizedFleet(100, 100);
  Fleet.load(evenly(400), milliseconds(8000));
  demand_shares &Shares = ownerShares(Fleet);
  Shares.Accounts.at("acme").Tokens = 5;
  cr_assert(Shares.Accounts.at("acme").OverRate);
  const bucket_owner_answer Nothing;
  cr_assert(
      !grantToken(Shares, "acme", 2, {}, Fleet.Now).value_or(Nothing).Granted);
  cr_assert(
      grantToken(Shares, "acme", 0, {}, Fleet.Now).value_or(Nothing).Granted);
}

Test(centralized_buckets, tell_when_there_is_a_token) {
  demand_fleet Fleet = centralizedFleet(10, 10);
  Fleet.load(evenly(40), milliseconds(8000));
  demand_shares &Shares = ownerShares(Fleet);
  Shares.Accounts.at("acme").Tokens = 0;
  const auto Answer = grantToken(Shares, "acme", 0, {}, Fleet.Now)
                          .value_or(bucket_owner_answer{true});
  cr_assert(!Answer.Granted);
  // One token at ten per second, and the slack above the rate.
  cr_assert(Answer.Wait > milliseconds(90) && Answer.Wait < milliseconds(101));
}

Test(centralized_buckets, are_given_by_the_owner_only) {
  demand_fleet Fleet = centralizedFleet(10, 10);
  Fleet.load(evenly(5), milliseconds(8000));
  const std::size_t Owner = ownersOf(Fleet).front();
  const std::size_t Other = Owner == 0 ? 1 : 0;
  cr_assert(!grantToken(Fleet.Shares[Other], "acme", 0, {}, Fleet.Now));
  cr_assert(!grantToken(Fleet.Shares[Owner], "unknown", 0, {}, Fleet.Now));
}
