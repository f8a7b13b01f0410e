#include "redwinggw/session/connection_plan.hpp"

#include <algorithm>
#include <functional>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using base::instant;
using base::milliseconds;

namespace {

constexpr slot_level Normal = slot_level::Normal;

instant at(std::int64_t Milliseconds) {
  return instant(milliseconds(1'000'000 + Milliseconds));
}

/// A plan in which each customer sent a number of statements per second in the
/// last 20 s, and the endpoint's connections, all of them open.
struct plan_fixture {
  plan_fixture() {
    Room.Open = 47;
    Room.Limit = 47;
    Room.Slots = 4;
  }
  customer_use &add(const std::string &Customer, int PerSecond,
                    std::size_t Idle, std::size_t InUse = 0) {
    for (int Number = 0; Number < 20 * PerSecond; ++Number)
      noteDemand(Plan, Customer, at(-20'000 + (Number * 1000) / PerSecond));
    Plan.Customers[Customer].Idle = Idle;
    Plan.Customers[Customer].InUse = InUse;
    return Plan.Customers[Customer];
  }
  connection_decision decide(const std::string &Customer,
                             slot_level Level = Normal, instant Now = at(0)) {
    return decideConnection(Plan, Room, Customer, Level, Now);
  }
  bool replaces(const std::string &Victim, const std::string &Customer,
                instant Now = at(0)) {
    const connection_decision Decision = decide(Customer, Normal, Now);
    return Decision.Step == connection_step::Replace &&
           Decision.Victim == Victim;
  }
  bool waits(const std::string &Customer, slot_level Level = Normal) {
    return decide(Customer, Level).Step == connection_step::Wait;
  }

  connection_plan Plan;
  connection_room Room;
};

/// An endpoint with 4 slots and 47 connections, in steps of a millisecond. 70
/// customers send statements evenly, one more sends bursts.
struct load : plan_fixture {
  struct connection {
    std::string Customer;
    std::int64_t Ready = 0;
    std::int64_t BusyUntil = 0;
  };
  struct arrival {
    std::string Customer;
    std::int64_t At = 0;
  };
  struct result {
    int Served = 0;
    int SetUps = 0;
    int Refused = 0;
  };

  explicit load(connection_policy Policy) : Policy(Policy) {}

  result &of(const std::string &Customer) {
    return Customer == "burst" ? Burst : Others;
  }

  void arrive(std::int64_t Now) {
    std::bernoulli_distribution Arrives(0.14);
    std::geometric_distribution<int> Customer(0.04);
    if (Now % 10'000 > 5'000 && Now % 10'000 < 6'000 && Now % 4 == 0)
      Waiting.push_back({"burst", Now});
    if (Arrives(Random))
      Waiting.push_back({std::to_string(Customer(Random) % 70), Now});
    for (const arrival &Arrival : Waiting)
      if (Arrival.At == Now) {
        noteDemand(Plan, Arrival.Customer, at(Now));
        ++Plan.Customers[Arrival.Customer].Waiting;
      }
  }

  void finish(std::int64_t Now) {
    for (const connection &Each : Connections) {
      if (Each.Ready == Now)
        noteSetUp(Plan, SetUpTime, true);
      if (Each.BusyUntil != Now)
        continue;
      --Plan.Customers[Each.Customer].InUse;
      ++Plan.Customers[Each.Customer].Idle;
    }
  }

  /// Closes the least recently used idle connection, of \p Victim if not empty.
  void close(std::int64_t Now, const std::string &Victim) {
    const auto Rank = [&](const connection &Each) {
      const bool Idle = Each.BusyUntil <= Now;
      return Idle && (Victim.empty() || Each.Customer == Victim)
                 ? Each.BusyUntil
                 : INT64_MAX;
    };
    const auto Oldest = std::ranges::min_element(Connections, {}, Rank);
    --Plan.Customers[Oldest->Customer].Idle;
    Connections.erase(Oldest);
  }

  bool makeRoom(const std::string &Customer, std::int64_t Now) {
    Room.Open = Connections.size();
    Room.MayOpen = Room.Open < Room.Limit;
    const bool Recent = Policy == connection_policy::Recent;
    const auto Decision =
        Recent ? connection_decision{Room.MayOpen ? connection_step::Open
                                                  : connection_step::Replace,
                                     ""}
               : decide(Customer, Normal, at(Now));
    if (Decision.Step == connection_step::Replace)
      close(Now, Decision.Victim);
    return Decision.Step != connection_step::Wait;
  }

  bool start(const std::string &Customer, std::int64_t Now) {
    const auto IsIdle = [&](const connection &Each) {
      return Each.BusyUntil <= Now;
    };
    if (std::ranges::count_if(Connections, std::not_fn(IsIdle)) >= 4)
      return false;
    auto Found = std::ranges::find_if(Connections, [&](const connection &Each) {
      return Each.Customer == Customer && IsIdle(Each);
    });
    if (Found != Connections.end()) {
      --Plan.Customers[Customer].Idle;
    } else {
      if (!makeRoom(Customer, Now))
        return false;
      ++Plan.SetUps;
      ++of(Customer).SetUps;
      const std::int64_t Ready = Now + SetUpTime.count();
      Found = Connections.insert(Connections.end(), {Customer, Ready, 0});
    }
    constexpr std::int64_t Work = 14;
    Found->BusyUntil = std::max(Now, Found->Ready) + Work;
    ++Plan.Customers[Customer].InUse;
    ++of(Customer).Served;
    return true;
  }

  void play() {
    for (std::int64_t Now = 1; Now < 60'000; ++Now) {
      finish(Now);
      arrive(Now);
      std::erase_if(Waiting, [&](const arrival &Arrival) {
        const bool Started = start(Arrival.Customer, Now);
        const bool Late = !Started && Now - Arrival.At > 100;
        of(Arrival.Customer).Refused += Late ? 1 : 0;
        Plan.Customers[Arrival.Customer].Waiting -= Started || Late ? 1 : 0;
        return Started || Late;
      });
    }
    std::clog << "burst: " << Burst.Served << " served, " << Burst.SetUps
              << " set-ups, " << Burst.Refused
              << " refused; others: " << Others.Served << ", " << Others.SetUps
              << ", " << Others.Refused << "\n";
  }

  static constexpr milliseconds SetUpTime{12};
  connection_policy Policy;
  std::mt19937 Random{7};
  std::vector<connection> Connections;
  std::vector<arrival> Waiting;
  result Burst;
  result Others;
};

} // namespace

// Guards against set-ups that take the slots during one customer's burst: by
// last use, it closes the connections of the others, who set them up again.
Test(connection_plan, a_burst_costs_the_others_less_than_by_last_use) {
  load Recent(connection_policy::Recent);
  load Demand(connection_policy::Demand);
  Recent.play();
  Demand.play();
  cr_assert(Demand.Others.SetUps * Recent.Others.Served <
            Recent.Others.SetUps * Demand.Others.Served);
  cr_assert(Demand.Burst.SetUps <= Recent.Burst.SetUps);
  cr_assert(Demand.Others.Refused <= Recent.Others.Refused);
  cr_assert(Demand.Burst.Served >= Recent.Burst.Served);
}

// Guards against closing the only connection of a customer that sends steadily
// while another one has connections that it hardly uses, also for a customer
// without one while the endpoint refuses more.
Test(connection_plan, the_connection_with_the_least_expected_reuse_is_closed) {
  plan_fixture Fixture;
  customer_use &Peak = Fixture.add("peak", 5, 6);
  Fixture.add("rare", 1, 1);
  Fixture.add("steady", 8, 1);
  cr_assert(Fixture.replaces("peak", "new"));
  Peak.Idle = 1;
  Fixture.Room.Refused = true;
  cr_assert(Fixture.replaces("rare", "new"));
  Fixture.add("own", 8, 0, 1).Hold = milliseconds(400);
  cr_assert(Fixture.waits("own"));
}

// A flood of one customer. Guards against closing the last idle connection of
// a customer with demand for one that has more than its fair share; one without
// demand loses it.
Test(connection_plan, a_flood_leaves_each_customer_its_last_connection) {
  plan_fixture Fixture;
  Fixture.add("steady", 1, 1);
  Fixture.add("flood", 90, 0, 40).Hold = milliseconds(2000);
  cr_assert(Fixture.waits("flood"));
  cr_assert(Fixture.replaces("steady", "flood", at(60'000)));
}

// Guards against set-ups in all slots of an endpoint, behind which statements
// that have a connection wait, and against a limit for the most urgent ones.
Test(connection_plan, set_ups_take_half_of_the_slots) {
  plan_fixture Fixture;
  Fixture.Room.Open = 1;
  Fixture.Room.MayOpen = true;
  for (const unsigned Slots : {1U, 4U}) {
    Fixture.Room.Slots = Slots;
    Fixture.Plan.SetUps = Slots / 4;
    cr_assert(!Fixture.waits("new"));
    ++Fixture.Plan.SetUps;
    cr_assert(Fixture.waits("new"));
    cr_assert(!Fixture.waits("new", slot_level::Urgent));
  }
}

// Guards against a set-up for a statement that gets a connection of its own
// customer sooner.
Test(connection_plan, a_connection_that_gets_free_soon_is_waited_for) {
  plan_fixture Fixture;
  Fixture.Room.MayOpen = true;
  Fixture.Room.Open = 5;
  customer_use &Own = Fixture.add("own", 8, 0, 5);
  Own.Hold = milliseconds(30);
  cr_assert(Fixture.waits("own"));
  Own.Waiting = 5;
  cr_assert(!Fixture.waits("own"));
}

// Guards against keeping connections of customers that stopped, and against
// closing those that save set-ups.
Test(connection_plan, connections_are_kept_by_steady_demand_only) {
  plan_fixture Fixture;
  customer_use &Steady = Fixture.add("steady", 1, 1);
  noteDemand(Fixture.Plan, "once", at(-1000));
  cr_assert(keptFor(Steady, at(0)) > milliseconds(2000));
  cr_assert(keptFor(Fixture.Plan.Customers["once"], at(0)).count() == 0);
  Steady.Idle = 0;
  forgetUnused(Fixture.Plan, at(0));
  cr_assert(Fixture.Plan.Customers.size() == 1);
  forgetUnused(Fixture.Plan, at(60'000));
  cr_assert(Fixture.Plan.Customers.empty());
}
