#include "redwinggw/control/gathered_rates.hpp"

#include "relayed_demand_fleet.hpp"

#include <algorithm>
#include <cmath>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

demand_fleet gatheringFleet(double Rate, double Burst) {
  demand_fleet Fleet = relayedFleet(Rate, Burst);
  Fleet.Gathers = true;
  return Fleet;
}

std::vector<std::size_t> keepersOf(const demand_fleet &Fleet) {
  std::vector<std::size_t> Keepers;
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (!Fleet.isDead(Index) && Fleet.Shares[Index].Accounts.at("acme").Kept)
      Keepers.push_back(Index);
  return Keepers;
}

/// What the one keeper of the customer's bucket has.
demand_shares &keeperShares(demand_fleet &Fleet) {
  const auto Keepers = keepersOf(Fleet);
  cr_assert(Keepers.size() == 1);
  return Fleet.Shares[Keepers.front()];
}

/// Runs a flood and answers whether each five seconds of it kept the rate.
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

/// The share that is refused of what is asked at \p Rate for ten seconds.
double refusedPart(demand_fleet &Fleet, double Rate) {
  const std::size_t Before = Fleet.Spent;
  const auto Refused =
      static_cast<double>(Fleet.load(evenly(Rate), milliseconds(10'000)));
  return Refused / (static_cast<double>(Fleet.Spent - Before) + Refused);
}

} // namespace

// Guards against parts of a rate that hold less than one operation.
Test(gathered_rates, serve_small_customers_within_their_rates) {
  for (const double Rate : {4.0, 8.0, 20.0, 100.0}) {
    demand_fleet Divided = relayedFleet(Rate, Rate);
    demand_fleet Gathered = gatheringFleet(Rate, Rate);
    Divided.load(evenly(Rate / 1.6), milliseconds(8000));
    Gathered.load(evenly(Rate / 1.6), milliseconds(8000));
    const double Before = refusedPart(Divided, Rate / 1.6);
    const double After = refusedPart(Gathered, Rate / 1.6);
    cr_assert(After < 0.01 && After <= Before,
              "rate %g: %g refused, %g where divided", Rate, After, Before);
  }
}

Test(gathered_rates, have_one_keeper_for_each_customer) {
  demand_fleet Fleet = gatheringFleet(100, 100);
  Fleet.load(evenly(50), milliseconds(3000));
  cr_assert(keepersOf(Fleet).size() == 1);
}

/// Starts all instances again: nobody remembers what was spent.
void restartAll(demand_fleet &Fleet, double Rate) {
  const instant Now = Fleet.Now;
  const auto Random = Fleet.Random;
  const std::size_t Spent = Fleet.Spent;
  Fleet = gatheringFleet(Rate, Rate);
  Fleet.Random = Random;
  Fleet.Spent = Spent;
  for (std::size_t Index = 0; Index < Count; ++Index)
    for (member &Member : Fleet.Members[Index].Members)
      Member.ListedSince = Now;
  Fleet.Now = Now;
}

// Guards against seconds without service after the loss of all.
Test(gathered_rates, serve_soon_after_all_have_started) {
  demand_fleet Fleet = gatheringFleet(100, 100);
  Fleet.load(evenly(60), milliseconds(500));
  cr_assert(keepersOf(Fleet).size() == 1);
  const std::size_t Before = Fleet.Spent;
  const std::size_t Refused = Fleet.load(evenly(60), milliseconds(500));
  cr_assert(Refused * 10 < Refused + Fleet.Spent - Before, "%zu of %zu",
            Refused, Refused + Fleet.Spent - Before);
}

// Guards against processes that start together and spend a rate again.
Test(gathered_rates, keep_a_flood_within_the_rate_when_all_start_again) {
  for (const double Rate : {8.0, 100.0, 1000.0}) {
    demand_fleet Fleet = gatheringFleet(Rate, Rate);
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

Test(gathered_rates, are_not_gathered_in_a_small_fleet) {
  demand_fleet Fleet(9);
  Fleet.Gathers = true;
  Fleet.load(std::vector<double>(9, 5), milliseconds(3000));
  cr_assert(!isGathered(Fleet.Shares[0], "acme"));
}

Test(gathered_rates, keep_a_flood_within_the_rate) {
  for (const double Rate : {8.0, 100.0, 1000.0}) {
    demand_fleet Fleet = gatheringFleet(Rate, Rate);
    Fleet.load(evenly(Rate / 1.6), milliseconds(8000));
    cr_assert(keepsRate(Fleet, Rate), "rate %g", Rate);
  }
}

Test(gathered_rates, serve_a_flood_the_whole_rate) {
  demand_fleet Fleet = gatheringFleet(100, 100);
  Fleet.load(evenly(300), milliseconds(8000));
  const std::size_t Before = Fleet.Spent;
  Fleet.load(evenly(300), milliseconds(5000));
  cr_assert(Fleet.Spent - Before >= 500, "%zu", Fleet.Spent - Before);
}

// Guards against a second bucket while another instance takes over as keeper.
Test(gathered_rates, keep_a_flood_within_the_rate_when_the_keeper_dies) {
  for (const double Rate : {8.0, 100.0, 1000.0}) {
    demand_fleet Fleet = gatheringFleet(Rate, Rate);
    Fleet.load(evenly(Rate / 1.6), milliseconds(8000));
    Fleet.Dead = keepersOf(Fleet).front();
    cr_assert(keepsRate(Fleet, Rate), "rate %g", Rate);
    cr_assert(keepersOf(Fleet).size() == 1);
  }
}

// Guards against a customer that stays refused when its keeper is gone.
Test(gathered_rates, serve_on_two_seconds_after_the_keeper_died) {
  demand_fleet Fleet = gatheringFleet(40, 40);
  Fleet.load(evenly(20), milliseconds(8000));
  Fleet.Dead = keepersOf(Fleet).front();
  Fleet.load(evenly(20), milliseconds(2000));
  cr_assert(refusedPart(Fleet, 20) < 0.01);
}

// Guards against a keeper, or most of a rate, on each side of a partition.
Test(gathered_rates, keep_a_flood_within_the_rate_in_a_partition) {
  for (std::size_t Border = 1; Border < Zones; ++Border) {
    demand_fleet Fleet = gatheringFleet(200, 200);
    Fleet.StoreReached = true;
    Fleet.load(evenly(125), milliseconds(8000));
    for (std::size_t Index = 0; Index < Count; ++Index)
      Fleet.Cut[Index] = Index % Zones < Border;
    cr_assert(keepsRate(Fleet, 200), "border %zu", Border);
  }
}

// Guards against a keeper that goes on beside the next one.
Test(gathered_rates, keep_a_flood_within_the_rate_when_the_keeper_is_cut_off) {
  demand_fleet Fleet = gatheringFleet(200, 200);
  Fleet.StoreReached = true;
  Fleet.load(evenly(125), milliseconds(8000));
  const std::size_t Keeper = keepersOf(Fleet).front();
  Fleet.Cut[Keeper] = true;
  cr_assert(keepsRate(Fleet, 200));
  Fleet.Cut[Keeper] = false;
  cr_assert(keepsRate(Fleet, 200));
  cr_assert(keepersOf(Fleet).size() == 1);
}

// Guards against two keepers at the same time, however short.
Test(gathered_rates, never_have_two_keepers) {
  constexpr milliseconds Step{50};
  for (std::size_t Start = 0; Start < 20; ++Start) {
    demand_fleet Fleet = gatheringFleet(200, 200);
    Fleet.StoreReached = true;
    // The cut falls between heartbeats in another way each time.
    Fleet.load(evenly(125), milliseconds(3000) + Start * Step);
    const std::size_t Keeper = keepersOf(Fleet).front();
    for (const bool Cut : {true, false}) {
      Fleet.Cut[Keeper] = Cut;
      for (milliseconds Past{0}; Past < milliseconds(4000); Past += Step) {
        Fleet.load(evenly(125), Step);
        cr_assert(keepersOf(Fleet).size() <= 1, "start %zu, cut %d, %ld ms",
                  Start, Cut, static_cast<long>(Past.count()));
      }
    }
    cr_assert(keepersOf(Fleet) == std::vector<std::size_t>(1, Keeper));
  }
}

Test(gathered_rates, go_to_another_keeper_when_one_leaves) {
  demand_fleet Fleet = gatheringFleet(100, 100);
  Fleet.load(evenly(60), milliseconds(8000));
  const std::size_t Keeper = keepersOf(Fleet).front();
  Fleet.leave(Keeper);
  cr_assert(keepsRate(Fleet, 100, 1));
  const auto Keepers = keepersOf(Fleet);
  cr_assert(Keepers.size() == 1 && Keepers.front() != Keeper);
}

Test(gathered_rates, give_urgent_operations_the_last_tokens) {
  demand_fleet Fleet = gatheringFleet(100, 100);
  Fleet.load(evenly(400), milliseconds(8000));
  demand_shares &Shares = keeperShares(Fleet);
  Shares.Accounts.at("acme").Tokens = 5;
  cr_assert(Shares.Accounts.at("acme").Pressed);
  const keeper_answer Nothing;
  cr_assert(
      !giveToken(Shares, "acme", 2, {}, Fleet.Now).value_or(Nothing).Given);
  cr_assert(
      giveToken(Shares, "acme", 0, {}, Fleet.Now).value_or(Nothing).Given);
}

Test(gathered_rates, tell_when_there_is_a_token) {
  demand_fleet Fleet = gatheringFleet(10, 10);
  Fleet.load(evenly(40), milliseconds(8000));
  demand_shares &Shares = keeperShares(Fleet);
  Shares.Accounts.at("acme").Tokens = 0;
  const auto Answer =
      giveToken(Shares, "acme", 0, {}, Fleet.Now).value_or(keeper_answer{true});
  cr_assert(!Answer.Given);
  // One token at ten a second, and the slack above the rate.
  cr_assert(Answer.Wait > milliseconds(90) && Answer.Wait < milliseconds(101));
}

Test(gathered_rates, are_given_by_the_keeper_only) {
  demand_fleet Fleet = gatheringFleet(10, 10);
  Fleet.load(evenly(5), milliseconds(8000));
  const std::size_t Keeper = keepersOf(Fleet).front();
  const std::size_t Other = Keeper == 0 ? 1 : 0;
  cr_assert(!giveToken(Fleet.Shares[Other], "acme", 0, {}, Fleet.Now));
  cr_assert(!giveToken(Fleet.Shares[Keeper], "unknown", 0, {}, Fleet.Now));
}
