#include "relayed_demand_fleet.hpp"

#include <algorithm>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

std::vector<std::size_t> relaysOf(const demand_fleet &Fleet) {
  std::vector<std::size_t> Relays;
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (!Fleet.isDead(Index) && Fleet.Members[Index].Relay)
      Relays.push_back(Index);
  return Relays;
}

double sumOfShares(const demand_fleet &Fleet) {
  double Sum = 0;
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (!Fleet.isDead(Index))
      Sum += Fleet.Shares[Index].Accounts.at("acme").Share;
  return Sum;
}

/// A demand of 880 per second, most of it at two instances.
std::vector<double> unevenly() {
  std::vector<double> Rates(Count, 10);
  Rates[7] = 400;
  Rates[12] = 100;
  return Rates;
}

/// Floods all instances for five seconds; returns whether that stayed within
/// the rate.
bool keepsRate(demand_fleet &Fleet, double Rate, double Burst) {
  const std::size_t Before = Fleet.Spent;
  Fleet.load(evenly(4 * Rate), milliseconds(5000));
  return static_cast<double>(Fleet.Spent - Before) <= allowed(Rate, Burst, 5);
}

} // namespace

Test(demand_relays, divide_the_whole_rate_once) {
  demand_fleet Fleet = relayedFleet(2000, 2000);
  Fleet.load(unevenly(), milliseconds(8000));
  cr_assert(sumOfShares(Fleet) > 0.9 && sumOfShares(Fleet) < 1.04, "%f",
            sumOfShares(Fleet));
}

Test(demand_relays, serve_a_customer_within_its_rate) {
  demand_fleet Fleet = relayedFleet(2000, 2000);
  Fleet.load(unevenly(), milliseconds(8000));
  const std::size_t Before = Fleet.Spent;
  const std::size_t Refused = Fleet.load(unevenly(), milliseconds(10'000));
  cr_assert(Refused * 200 < Fleet.Spent - Before + Refused, "%zu refused",
            Refused);
}

Test(demand_relays, keep_a_flood_within_the_rate) {
  for (const double Rate : {20.0, 100.0, 1000.0}) {
    demand_fleet Fleet = relayedFleet(Rate, Rate);
    Fleet.load(evenly(0.5 * Rate), milliseconds(8000));
    for (int Window = 0; Window < 4; ++Window)
      cr_assert(keepsRate(Fleet, Rate, Rate), "rate %g window %d", Rate,
                Window);
  }
}

// Guards against a flood that is served until all relays report it.
Test(demand_relays, keep_a_sudden_flood_of_eight_times_within_the_rate) {
  for (const double Rate : {20.0, 100.0}) {
    demand_fleet Fleet = relayedFleet(Rate, Rate);
    Fleet.load(evenly(0.75 * Rate), milliseconds(8000));
    const std::size_t Before = Fleet.Spent;
    Fleet.load(evenly(6 * Rate), milliseconds(5000));
    const auto Used = static_cast<double>(Fleet.Spent - Before);
    cr_assert(Used <= allowed(Rate, Rate, 5), "%g of %g", Used, Rate);
  }
}

// Guards against a rate spent twice while other instances take over as relays.
Test(demand_relays, keep_a_flood_within_the_rate_when_relays_die) {
  for (const std::size_t Dying : {1U, 2U, 8U}) {
    demand_fleet Fleet = relayedFleet(100, 100);
    Fleet.load(std::vector<double>(Count, 10), milliseconds(8000));
    const auto Relays = relaysOf(Fleet);
    cr_assert(Relays.size() == 2 * Zones, "%zu", Relays.size());
    Fleet.AlsoDead.assign(Relays.begin(),
                          Relays.begin() + static_cast<std::ptrdiff_t>(Dying));
    for (int Window = 0; Window < 3; ++Window)
      cr_assert(keepsRate(Fleet, 100, 100), "%zu dying, window %d", Dying,
                Window);
    cr_assert(relaysOf(Fleet).size() == 2 * Zones);
  }
}

// Guards against refusing a whole zone for long after its relays died.
Test(demand_relays, serve_on_when_the_relays_of_a_zone_die) {
  demand_fleet Fleet = relayedFleet(2000, 2000);
  const std::vector<double> Rates(Count, 25);
  Fleet.load(Rates, milliseconds(8000));
  for (const std::size_t Relay : relaysOf(Fleet))
    if (Relay % Zones == 1)
      Fleet.AlsoDead.push_back(Relay);
  const std::size_t Before = Fleet.Spent;
  const std::size_t Refused = Fleet.load(Rates, milliseconds(5000));
  cr_assert(Refused * 20 < Fleet.Spent - Before + Refused, "%zu refused",
            Refused);
}

// Guards against two sides of a partition that both take most of a rate.
Test(demand_relays, keep_a_flood_within_the_rate_in_a_partition) {
  for (const std::size_t Border : {1U, 2U, 3U}) {
    demand_fleet Fleet = relayedFleet(200, 200);
    Fleet.StoreReached = true;
    Fleet.load(std::vector<double>(Count, 2), milliseconds(8000));
    for (std::size_t Index = 0; Index < Count; ++Index)
      Fleet.Cut[Index] = Index % Zones < Border;
    Fleet.load(std::vector<double>(Count, 2), milliseconds(1500));
    for (int Window = 0; Window < 3; ++Window)
      cr_assert(keepsRate(Fleet, 200, 200), "border %zu window %d", Border,
                Window);
  }
}

// Guards against a zone that is split from its own relays and serves the rate
// again.
Test(demand_relays, keep_a_flood_within_the_rate_in_a_split_zone) {
  demand_fleet Fleet = relayedFleet(200, 200);
  Fleet.StoreReached = true;
  Fleet.load(std::vector<double>(Count, 10), milliseconds(8000));
  for (std::size_t Index = 20; Index < Count; ++Index)
    Fleet.Cut[Index] = Index % Zones == 2;
  for (int Window = 0; Window < 3; ++Window)
    cr_assert(keepsRate(Fleet, 200, 200), "window %d", Window);
}
