#include "reserve_windows.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

/// Restarts all instances: nobody remembers what was granted.
void restartAll(reserve_fleet &Fleet) {
  reserve_fleet Next(Fleet.Rate, Fleet.Burst,
                     Fleet.Reserves.front().Limits.Fraction);
  for (membership &Membership : Next.Members)
    for (member &Member : Membership.Members)
      Member.ListedSince = Fleet.Now;
  Next.Now = Fleet.Now + milliseconds(500);
  Next.Random = Fleet.Random;
  Next.Runs = Fleet.Runs;
  Next.FromReserve = Fleet.FromReserve;
  Fleet = std::move(Next);
}

} // namespace

// Guards against tokens of the reserve that the bound has no room for.
Test(bucket_reserve, keeps_every_window_when_the_owner_dies) {
  checkEveryWindow("death", [](reserve_fleet &Fleet) {
    Fleet.Dead = Fleet.owner();
    flood(Fleet, Long);
  });
}

Test(bucket_reserve, keeps_every_window_when_owner_and_successor_die) {
  checkEveryWindow(
      "both",
      [](reserve_fleet &Fleet) {
        Fleet.AlsoDead = {Fleet.owner(), Fleet.successor()};
        flood(Fleet, Long);
      },
      false);
}

// Guards against initial tokens beside what reserves granted before.
Test(bucket_reserve, keeps_every_window_when_all_are_lost_twice) {
  checkEveryWindow("loss of all", [](reserve_fleet &Fleet) {
    Fleet.Dead = Fleet.owner();
    flood(Fleet, milliseconds(1000));
    restartAll(Fleet);
    flood(Fleet, milliseconds(1000));
    restartAll(Fleet);
    flood(Fleet, Long);
  });
}

// Guards against a customer that lives on the reserve for good.
Test(bucket_reserve, ends_when_the_successor_owns_the_bucket) {
  reserve_fleet Fleet(30, 30, 0.4);
  Fleet.play(18, ReservesReady);
  const std::size_t Successor = Fleet.successor();
  Fleet.Dead = Fleet.owner();
  Fleet.play(18, milliseconds(2500));
  cr_assert(Fleet.owner() == Successor && Fleet.FromReserve > 0);
  const std::size_t Before = Fleet.FromReserve;
  cr_assert(Fleet.play(18, milliseconds(2000)) > 0.99);
  cr_assert(Fleet.FromReserve == Before);
  cr_assert(!grantFromReserve(Fleet.Reserves[Successor],
                              Fleet.Shares[Successor], "acme", Fleet.Now));
}

// Guards against grants of an instance that has just become the successor, or
// does not know whether it is.
Test(bucket_reserve, is_granted_by_an_instance_that_was_successor_for_long) {
  reserve_fleet Fleet(30, 30, 0.4);
  const auto Grants = [&](std::size_t Index) {
    return grantFromReserve(Fleet.Reserves[Index], Fleet.Shares[Index], "acme",
                            Fleet.Now)
        .has_value();
  };
  Fleet.play(18, milliseconds(5000));
  const std::size_t Successor = Fleet.successor();
  cr_assert(!Grants(Successor));
  Fleet.play(18, ReservesReady - milliseconds(5000));
  cr_assert(Grants(Successor));
  cr_assert(!Grants(Fleet.owner()));
  Fleet.Dead = Successor;
  Fleet.play(18, milliseconds(1500));
  cr_assert(!Grants(Successor));
  Fleet.Dead = SIZE_MAX;
  Fleet.play(18, ReservesReady);
  cr_assert(Grants(Successor));
  Fleet.Cut[Successor] = true;
  Fleet.play(18, milliseconds(1500));
  cr_assert(!Grants(Successor));
  Fleet.Cut[Successor] = false;
  Fleet.play(18, milliseconds(3000));
  cr_assert(Fleet.successor() == Successor && !Grants(Successor));
}

// Guards against callers who are told to come back long before there is a
// token, or long after that.
Test(bucket_reserve, tells_when_the_next_owner_has_a_token) {
  constexpr std::size_t Asker = 7;
  constexpr bucket_owner_answer None;
  for (const int Phase : {0, 50, 100, 150}) {
    reserve_fleet Fleet(30, 30, 0.4);
    Fleet.play(18, ReservesReady + milliseconds(Phase));
    Fleet.AlsoDead = {Fleet.owner(), Fleet.successor()};
    std::vector<instant> Told;
    while (!Fleet.requestPlanned(Asker).value_or(None).Granted) {
      Told.push_back(Fleet.Now +
                     tokenExpected(Fleet.Requests[Asker], Fleet.Shares[Asker],
                                   Fleet.Members[Asker], "acme", Fleet.Now));
      Fleet.step();
    }
    const auto [First, Last] = std::ranges::minmax(Told);
    cr_assert(First >= Fleet.Now - milliseconds(200));
    cr_assert(Last <= Fleet.Now + milliseconds(400));
  }
}

// Guards against a small fleet, whose buckets are not centralized, that loses
// the slack of its shares to reserves which it does not have.
Test(bucket_reserve, leaves_the_limits_of_rates_alone_in_a_small_fleet) {
  reserve_limits Limits;
  Limits.Fraction = 0.4;
  const demand_limits Shared;
  const demand_fleet Small(9);
  const demand_fleet Large = relayedFleet(30, 30);
  demand_shares Shares;
  applyReserveLimits(Shares, Limits, Small.Members[0], Small.Now);
  cr_assert(Shares.Limits.RateSlack == Shared.RateSlack);
  applyReserveLimits(Shares, Limits, Large.Members[0], Large.Now);
  cr_assert(Shares.Limits.RateSlack < Shared.RateSlack);
  Shares.LastCentralizedAt = Small.Now;
  applyReserveLimits(Shares, Limits, Small.Members[0],
                     Small.Now + milliseconds(6900));
  cr_assert(Shares.Limits.RateSlack < Shared.RateSlack);
  applyReserveLimits(Shares, Limits, Small.Members[0],
                     Small.Now + milliseconds(7000));
  cr_assert(Shares.Limits.RateSlack == Shared.RateSlack);
}

Test(bucket_reserve, leaves_the_limits_of_rates_alone_when_it_is_off) {
  const demand_limits Before;
  const demand_limits After = limitsBesideReserve({}, Before);
  cr_assert(After.RateSlack == Before.RateSlack &&
            After.ExtraTokens == Before.ExtraTokens && !After.MaxUpdateAge);
  reserve_fleet Fleet(30, 30, 0);
  Fleet.play(18, ReservesReady);
  Fleet.Dead = Fleet.owner();
  Fleet.play(18, milliseconds(1000));
  cr_assert(Fleet.FromReserve == 0);
}
