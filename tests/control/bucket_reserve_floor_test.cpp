#include "reserve_fleet.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

// Guards against a reserve that is of no use to customers within their rates,
// where it holds what they need.
Test(bucket_reserve, serves_on_while_a_dead_owner_is_replaced) {
  constexpr double Fraction = 0.4;
  constexpr int Rounds = 20;
  for (const auto &[Rate, Burst] : std::vector<std::pair<double, double>>{
           {2, 2}, {4, 4}, {6, 6}, {10, 100}, {30, 600}}) {
    cr_assert(Fraction * toleratedExcess({}, Rate, Burst) >= 0.6 * Rate * 2);
    double Served = 0;
    for (int Round = 0; Round < Rounds; ++Round) {
      reserve_fleet Fleet(Rate, Burst, Fraction);
      Fleet.Random.seed(Round);
      Fleet.play(0.6 * Rate, ReservesReady);
      Fleet.Dead = Fleet.owner();
      Served += Fleet.play(0.6 * Rate, milliseconds(2000)) / Rounds;
    }
    cr_assert(Served >= 0.9, "rate %g: %g served", Rate, Served);
  }
}
