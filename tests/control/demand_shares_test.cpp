#include "demand_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <deque>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

// A customer's callers are at two of six instances, in uneven numbers. They use
// less than the rate, so hardly anything may be refused.
Test(demand_shares, follow_uneven_demand) {
  demand_fleet Fleet(6);
  Fleet.load({0, 0, 0, 0, 0, 0}, milliseconds(3000));
  Fleet.load({50, 12, 0, 0, 0, 0}, milliseconds(2000));
  const std::size_t Before = Fleet.Spent;
  const std::size_t Refused =
      Fleet.load({50, 12, 0, 0, 0, 0}, milliseconds(20000));
  const std::size_t Asked = Fleet.Spent - Before + Refused;
  cr_assert(Refused * 200 < Asked);
}

// A customer sends eight times its rate everywhere: in no five seconds may it
// get more than its rate, its burst, and the tolerance.
Test(demand_shares, keep_a_flood_within_the_rate) {
  demand_fleet Fleet(6);
  Fleet.load({10, 10, 10, 10, 10, 10}, milliseconds(5000));
  for (int Window = 0; Window < 4; ++Window) {
    const std::size_t Before = Fleet.Spent;
    Fleet.load({300, 100, 100, 100, 100, 100}, milliseconds(5000));
    const auto Used = static_cast<double>(Fleet.Spent - Before);
    cr_assert(Used <= allowed(100, 100, 5));
    cr_assert(Used >= 100 * 5 * 0.9);
  }
}

// The customer floods while one instance is cut off from all others: both sides
// go on, and together they stay within the rate.
Test(demand_shares, keep_a_flood_within_the_rate_in_a_partition) {
  demand_fleet Fleet(6);
  const std::vector<double> Flood{300, 100, 100, 100, 100, 100};
  Fleet.load(Flood, milliseconds(8000));
  Fleet.Cut[0] = true;
  for (int Window = 0; Window < 3; ++Window) {
    const std::size_t Before = Fleet.Spent;
    Fleet.load(Flood, milliseconds(5000));
    cr_assert(static_cast<double>(Fleet.Spent - Before) <=
              allowed(100, 100, 5));
  }
}

// The same with the store reachable from both sides, which then both go on:
// parts of several sizes, and every window counts.
Test(demand_shares, keep_a_flood_within_the_rate_with_the_store_on_both_sides) {
  for (std::size_t Count = 1; Count <= 3; ++Count) {
    demand_fleet Fleet(6);
    Fleet.StoreReached = true;
    const std::vector<double> Flood{150, 150, 150, 150, 150, 150};
    Fleet.load(Flood, milliseconds(8000));
    std::fill_n(Fleet.Cut.begin(), Count, true);
    for (int Window = 0; Window < 3; ++Window) {
      const std::size_t Before = Fleet.Spent;
      Fleet.load(Flood, milliseconds(5000));
      cr_assert(static_cast<double>(Fleet.Spent - Before) <=
                allowed(100, 100, 5));
    }
  }
}

// The instances are in two parts, both of which reach the store, when a
// customer's flood begins on both sides. Neither sees the other's part of it:
// each took nearly the whole rate for itself, as its own demand was most of
// what it knew of.
Test(demand_shares, keep_a_flood_that_begins_in_a_partition_within_the_rate) {
  for (std::size_t Count = 1; Count <= 4; ++Count) {
    demand_fleet Fleet(9, 205, 205);
    Fleet.StoreReached = true;
    Fleet.load(std::vector<double>(9, 10), milliseconds(8000));
    std::fill_n(Fleet.Cut.begin(), Count, true);
    Fleet.load(std::vector<double>(9, 10), milliseconds(1500));
    for (int Window = 0; Window < 3; ++Window) {
      const std::size_t Before = Fleet.Spent;
      Fleet.load(std::vector<double>(9, 120), milliseconds(5000));
      cr_assert(static_cast<double>(Fleet.Spent - Before) <=
                    allowed(205, 205, 5),
                "%zu", Fleet.Spent - Before);
    }
  }
}

// Two halves, one without the store: the other must not be limited to half of
// its rate, or it refuses callers that are within theirs.
Test(demand_shares, leave_its_share_to_a_half_that_reaches_the_store) {
  demand_fleet Fleet(6);
  Fleet.StoreReached = true;
  Fleet.load({10, 10, 10, 10, 10, 10}, milliseconds(8000));
  std::fill_n(Fleet.Cut.begin(), 3, true);
  const std::size_t Before = Fleet.Spent;
  const std::size_t Refused =
      Fleet.load({0, 0, 0, 14, 14, 14}, milliseconds(6000));
  cr_assert(Refused * 20 < Fleet.Spent - Before + Refused);
}

// A customer floods the fleet while its instances leave two at a time, as in a
// rollout: they serve on until the balancer sends nobody any more. The others
// took over the shares of the two as soon as these announced that they leave,
// so both spent them.
Test(demand_shares, keep_a_flood_within_the_rate_while_instances_leave) {
  demand_fleet Fleet(9, 200, 200);
  std::vector<double> Flood(9, 300);
  Fleet.load(Flood, milliseconds(8000));
  const std::size_t Before = Fleet.Spent;
  for (std::size_t First = 0; First < 4; First += 2) {
    Fleet.leave(First);
    Fleet.leave(First + 1);
    Fleet.load(Flood, milliseconds(2500));
    Flood[First] = 0;
    Flood[First + 1] = 0;
  }
  const auto Used = static_cast<double>(Fleet.Spent - Before);
  cr_assert(Used <= allowed(200, 200, 5), "%g used", Used);
}

// A small customer's callers are at forty instances, with a few operations per
// second in all, less than its rate. Each instance's share of the burst was
// less than one operation, so every one was refused. A flood from all of them
// at once still stays within what operators tolerate.
Test(demand_shares, serve_a_small_customer_at_many_instances) {
  demand_fleet Fleet(40, 20, 20);
  const std::vector<double> LowDemand(40, 0.35);
  Fleet.load(LowDemand, milliseconds(8000));
  std::size_t Before = Fleet.Spent;
  const std::size_t Refused = Fleet.load(LowDemand, milliseconds(20000));
  cr_assert(Refused * 8 < Fleet.Spent - Before + Refused, "%zu of %zu refused",
            Refused, Fleet.Spent - Before + Refused);
  Before = Fleet.Spent;
  Fleet.load(std::vector<double>(40, 3), milliseconds(5000));
  cr_assert(static_cast<double>(Fleet.Spent - Before) <= allowed(20, 20, 5));
}

// Instances stop one after the other and send their callers to the others, with
// less demand than the rate in all: the shares follow the callers, so hardly
// anything is refused.
Test(demand_shares, go_with_the_callers_of_a_leaving_instance) {
  demand_fleet Fleet(6);
  Fleet.load({10, 10, 10, 10, 10, 10}, milliseconds(8000));
  Fleet.leave(5);
  Fleet.load({10, 10, 10, 10, 10, 10}, milliseconds(2100));
  yieldRates(Fleet.Shares[5]);
  const std::size_t Before = Fleet.Spent;
  const std::size_t Refused =
      Fleet.load({12, 12, 12, 12, 12, 0}, milliseconds(3000));
  cr_assert(Refused * 50 < Fleet.Spent - Before + Refused);
}

// A customer floods the fleet. One instance starts behind a partition: it
// reaches the store, whose list names the others, but receives no heartbeat
// from them. It took their silence for a lack of demand and served the whole
// rate, which the others serve too.
Test(demand_shares, leave_the_rate_to_others_without_a_heartbeat) {
  demand_fleet Fleet(6);
  Fleet.StoreReached = true;
  Fleet.Dead = 5;
  const std::vector<double> Flood{300, 300, 300, 300, 300, 300};
  Fleet.load(Flood, milliseconds(8000));
  Fleet.Dead = SIZE_MAX;
  Fleet.Cut[5] = true;
  const std::size_t Before = Fleet.Spent;
  Fleet.load(Flood, milliseconds(5000));
  const auto Used = static_cast<double>(Fleet.Spent - Before);
  cr_assert(Used <= allowed(100, 100, 5), "%g used", Used);
}

// An instance dies and its callers go to the others, which refuse little: the
// demand is well below the rate.
Test(demand_shares, tolerate_the_loss_of_an_instance) {
  demand_fleet Fleet(6);
  Fleet.load({10, 10, 10, 10, 10, 10}, milliseconds(8000));
  Fleet.Dead = 5;
  const std::size_t Before = Fleet.Spent;
  const std::size_t Refused =
      Fleet.load({12, 12, 12, 12, 12, 0}, milliseconds(5000));
  cr_assert(Refused * 20 < Fleet.Spent - Before + Refused);
}

// All instances are killed and restart during a flood: nobody knows what was
// spent, so nothing may be granted at once.
Test(demand_shares, start_from_empty_buckets) {
  demand_fleet Fleet(6);
  cr_assert(!Fleet.ask(0));
}

// A rate is lowered: the tokens saved under the old one are gone.
Test(demand_shares, lower_a_rate_at_once) {
  demand_fleet Fleet(1);
  Fleet.load({0}, milliseconds(5000));
  applyRates(Fleet.Shares[0], {{"acme", 2, 2}}, Fleet.Now);
  std::size_t Admitted = 0;
  for (int Try = 0; Try < 100; ++Try)
    Admitted += Fleet.ask(0) ? 1 : 0;
  cr_assert(Admitted <= 2 + 14 + 1);
}

// A customer sends twice its rate, half of it urgent: nearly all of that half
// is served, and the rest gets what is left.
Test(demand_shares, serve_urgent_operations_first) {
  demand_fleet Fleet(1, 50, 50);
  Fleet.load({50}, milliseconds(3000));
  std::size_t Urgent = 0;
  std::size_t Other = 0;
  for (int Step = 0; Step < 200; ++Step) {
    Fleet.tick();
    for (int Pair = 0; Pair < 2; ++Pair) {
      Other += Fleet.ask(0, 2) ? 1 : 0;
      Urgent += Fleet.ask(0, 1) ? 1 : 0;
    }
  }
  cr_assert(Urgent >= 380);
  cr_assert(Other >= 80);
}

// Endpoints reject a flood after some time each, and the tokens of rejected
// operations are returned. Meanwhile the rate accumulates; when the endpoints
// are free again, all of it would run at once. Of what does run, no five
// seconds may exceed what the rate allows, and callers get all of it.
Test(demand_shares, keep_the_rate_when_tokens_are_given_back) {
  demand_fleet Fleet(6);
  Fleet.load({10, 10, 10, 10, 10, 10}, milliseconds(5000));
  struct held {
    instant Until;
    std::size_t Index;
  };
  std::deque<held> Held;
  const auto Settle = [&](bool Runs) {
    std::size_t Ran = 0;
    for (; !Held.empty() && Held.front().Until <= Fleet.Now; Held.pop_front()) {
      settleDemandToken(Fleet.Shares[Held.front().Index], "acme", Runs,
                        Fleet.Now);
      Ran += Runs ? 1 : 0;
    }
    return Ran;
  };
  const auto Flood = [&](milliseconds Time, bool Runs) {
    std::size_t Ran = 0;
    for (const instant End = Fleet.Now + Time; Fleet.Now < End;) {
      Fleet.tick();
      Ran += Settle(Runs);
      for (std::size_t Index = 0; Index < Fleet.Members.size(); ++Index)
        for (std::size_t Try = 0; Try < 8; ++Try)
          if (Fleet.hold(Index))
            Held.push_back({Fleet.Now + milliseconds(250), Index});
    }
    return Ran;
  };
  for (int Round = 0; Round < 4; ++Round) {
    Flood(milliseconds(4000), false);
    const auto Ran = static_cast<double>(Flood(milliseconds(5000), true));
    cr_assert(Ran <= allowed(100, 100, 5), "%f", Ran);
    cr_assert(Ran >= 100 * 5 * 0.9, "%f", Ran);
  }
}

// Guards against refusing all callers where few instances are in direct
// contact.
Test(demand_shares, serve_a_fleet_with_relays) {
  constexpr std::size_t Count = 60;
  demand_fleet Fleet(Count, 2000, 2000, 16);
  Fleet.StoreReached = true;
  const std::vector<double> Rates(Count, 30);
  Fleet.load(Rates, milliseconds(40'000));
  const std::size_t Before = Fleet.Spent;
  const std::size_t Refused = Fleet.load(Rates, milliseconds(5000));
  cr_assert(Refused * 100 < Fleet.Spent - Before + Refused,
            "%zu refused of %zu", Refused, Fleet.Spent - Before + Refused);
}
