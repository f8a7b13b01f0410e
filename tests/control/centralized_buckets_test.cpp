#include "redwinggw/control/centralized_buckets.hpp"

#include "relayed_demand_fleet.hpp"

#include <algorithm>
#include <cmath>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

demand_fleet centralizedFleet(double Rate, double Burst) {
  demand_fleet Fleet = relayedFleet(Rate, Burst);
  Fleet.Centralizes = true;
  return Fleet;
}

std::vector<std::size_t> ownersOf(const demand_fleet &Fleet) {
  std::vector<std::size_t> Owners;
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (!Fleet.isDead(Index) &&
        Fleet.Shares[Index].Accounts.at("acme").OwnedHere)
      Owners.push_back(Index);
  return Owners;
}

/// The shares of the only owner of the customer's bucket.
demand_shares &ownerShares(demand_fleet &Fleet) {
  const auto Owners = ownersOf(Fleet);
  cr_assert(Owners.size() == 1);
  return Fleet.Shares[Owners.front()];
}

/// Runs a flood; returns whether each five seconds of it stayed within the
/// rate.
bool keepsRate(demand_fleet &Fleet, double Rate, int Windows = 3) {
  for (int Window = 0; Window < Windows; ++Window) {
    const std::size_t Before = Fleet.Spent;
    Fleet.load(evenly(6 * Rate), milliseconds(5000));
    const auto Used = static_cast<double>(Fleet.Spent - Before);
    if (Used > allowed(Rate, Rate, 5))
      return false;
  }
  return true;
}

/// The fraction refused of a demand of \p Rate for ten seconds.
double refusedFraction(demand_fleet &Fleet, double Rate) {
  const std::size_t Before = Fleet.Spent;
  const auto Refused =
      static_cast<double>(Fleet.load(evenly(Rate), milliseconds(10'000)));
  return Refused / (static_cast<double>(Fleet.Spent - Before) + Refused);
}

} // namespace

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

// Guards against an owner, or most of a rate, on each side of a partition.
Test(centralized_buckets, keep_a_flood_within_the_rate_in_a_partition) {
  for (std::size_t Border = 1; Border < Zones; ++Border) {
    demand_fleet Fleet = centralizedFleet(200, 200);
    Fleet.StoreReached = true;
    Fleet.load(evenly(125), milliseconds(8000));
    for (std::size_t Index = 0; Index < Count; ++Index)
      Fleet.Cut[Index] = Index % Zones < Border;
    cr_assert(keepsRate(Fleet, 200), "border %zu", Border);
  }
}

// Guards against an owner that goes on beside its successor.
Test(centralized_buckets,
     keep_a_flood_within_the_rate_when_the_owner_is_cut_off) {
  demand_fleet Fleet = centralizedFleet(200, 200);
  Fleet.StoreReached = true;
  Fleet.load(evenly(125), milliseconds(8000));
  const std::size_t Owner = ownersOf(Fleet).front();
  Fleet.Cut[Owner] = true;
  cr_assert(keepsRate(Fleet, 200));
  Fleet.Cut[Owner] = false;
  cr_assert(keepsRate(Fleet, 200));
  cr_assert(ownersOf(Fleet).size() == 1);
}

// Guards against two owners at the same time, however briefly.
Test(centralized_buckets, never_have_two_owners) {
  constexpr milliseconds Step{50};
  for (std::size_t Start = 0; Start < 20; ++Start) {
    demand_fleet Fleet = centralizedFleet(200, 200);
    Fleet.StoreReached = true;
    // The cut falls at a different time between heartbeats in each round.
    Fleet.load(evenly(125), milliseconds(3000) + Start * Step);
    const std::size_t Owner = ownersOf(Fleet).front();
    for (const bool Cut : {true, false}) {
      Fleet.Cut[Owner] = Cut;
      for (milliseconds Past{0}; Past < milliseconds(4000); Past += Step) {
        Fleet.load(evenly(125), Step);
        cr_assert(ownersOf(Fleet).size() <= 1, "start %zu, cut %d, %ld ms",
                  Start, Cut, static_cast<long>(Past.count()));
      }
    }
    cr_assert(ownersOf(Fleet) == std::vector<std::size_t>(1, Owner));
  }
}

// Guards against an owner on each side of a cut, where instances that reach
// both sides make either a majority.
Test(centralized_buckets,
     keep_a_flood_within_the_rate_in_a_cut_with_instances_that_reach_both) {
  for (const bool RelaysReachBoth : {true, false})
    for (const std::size_t Both : {4U, 8U, 12U, 20U}) {
      demand_fleet Fleet = centralizedFleet(200, 200);
      Fleet.StoreReached = true;
      Fleet.load(evenly(125), milliseconds(8000));
      // Relays are those whose names come first.
      const std::size_t First = RelaysReachBoth ? 0 : Count - Both;
      for (std::size_t Index = 0; Index < Count; ++Index) {
        Fleet.Cut[Index] = Index / Zones % 2 == 0;
        if (Index >= First && Index < First + Both)
          Fleet.ReachesBoth.insert(Index);
      }
      cr_assert(keepsRate(Fleet, 200), "%zu reach both, relays %d", Both,
                RelaysReachBoth);
    }
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
