#include "redwinggw/session/connection_plan.hpp"

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using base::instant;
using base::microseconds;
using base::milliseconds;

namespace {

constexpr instant Start{milliseconds(1'000'000)};

instant at(std::int64_t Milliseconds) {
  return Start + milliseconds(Milliseconds);
}

/// A plan in which \p Customer sent \p PerSecond statements in each of the last
/// 20 s, up to Start.
void addCustomer(connection_plan &Plan, const std::string &Customer,
                 int PerSecond, std::size_t Idle, std::size_t InUse = 0) {
  for (int Number = 0; Number < 20 * PerSecond; ++Number)
    noteDemand(Plan, Customer, at(-20'000 + (Number * 1000) / PerSecond));
  customer_use &Use = Plan.Customers[Customer];
  Use.Idle = Idle;
  Use.InUse = InUse;
}

connection_room fullRoom() {
  connection_room Room;
  Room.Open = 47;
  Room.Limit = 47;
  Room.Slots = 4;
  return Room;
}

constexpr slot_level Normal = slot_level::Normal;

/// An endpoint with 4 slots and 47 connections, in steps of a millisecond. 71
/// customers send statements evenly; the first one sends a burst in addition.
struct load {
  struct connection {
    std::string Customer;
    std::int64_t SetUpUntil = 0;
    std::int64_t BusyUntil = 0;
  };
  struct result {
    std::size_t Served = 0;
    std::size_t SetUps = 0;
    std::size_t Refused = 0;
  };
  struct arrival {
    std::string Customer;
    std::int64_t At = 0;
  };

  explicit load(connection_policy Policy) : Policy(Policy) {}

  static std::string name(int Number) { return "c" + std::to_string(Number); }

  void arrive(std::int64_t Now) {
    constexpr double PerStep = 0.14;
    std::bernoulli_distribution Arrives(PerStep);
    // A few customers send most of the statements.
    std::geometric_distribution<int> Customer(0.04);
    const bool Burst = Now % 10'000 > 5'000 && Now % 10'000 < 6'000;
    if (Burst && Now % 4 == 0)
      Waiting.push_back({"burst", Now});
    if (Arrives(Random))
      Waiting.push_back({name(Customer(Random) % 70), Now});
  }

  void finish(std::int64_t Now) {
    for (connection &Connection : Connections) {
      customer_use &Use = Plan.Customers[Connection.Customer];
      if (Connection.SetUpUntil == Now)
        noteSetUp(Plan, SetUpTime, true);
      if (Connection.BusyUntil != Now)
        continue;
      --Use.InUse;
      ++Use.Idle;
    }
  }

  bool isIdle(const connection &Connection, std::int64_t Now) const {
    return Connection.BusyUntil <= Now;
  }

  /// The connection to close, the least recently used one of the victim.
  void close(std::int64_t Now, const std::optional<std::string> &Victim) {
    auto Oldest = Connections.end();
    for (auto Each = Connections.begin(); Each != Connections.end(); ++Each)
      if (isIdle(*Each, Now) && (!Victim || Each->Customer == *Victim) &&
          (Oldest == Connections.end() || Each->BusyUntil < Oldest->BusyUntil))
        Oldest = Each;
    --Plan.Customers[Oldest->Customer].Idle;
    Connections.erase(Oldest);
  }

  /// Whether a connection could be set up for \p Customer.
  bool makeRoom(const std::string &Customer, std::int64_t Now) {
    connection_room Room = fullRoom();
    Room.Open = Connections.size();
    Room.MayOpen = Room.Open < Room.Limit;
    if (Policy == connection_policy::Recent) {
      if (!Room.MayOpen)
        close(Now, std::nullopt);
      return true;
    }
    const auto Decision =
        decideConnection(Plan, Room, Customer, Normal, at(Now));
    if (Decision.Step == connection_step::Replace)
      close(Now, Decision.Victim);
    return Decision.Step != connection_step::Wait;
  }

  bool start(const std::string &Customer, std::int64_t Now) {
    const auto Running =
        std::ranges::count_if(Connections, [&](const connection &Each) {
          return !isIdle(Each, Now);
        });
    if (Running >= 4)
      return false;
    customer_use &Use = Plan.Customers[Customer];
    auto Found = std::ranges::find_if(Connections, [&](const connection &Each) {
      return Each.Customer == Customer && isIdle(Each, Now);
    });
    constexpr std::int64_t Work = 14;
    if (Found == Connections.end()) {
      if (!makeRoom(Customer, Now))
        return false;
      const std::int64_t Ready = Now + SetUpTime.count();
      Connections.push_back({Customer, Ready, Ready + Work});
      ++Plan.SetUps;
      ++of(Customer).SetUps;
    } else {
      Found->BusyUntil = Now + Work;
      --Use.Idle;
    }
    ++Use.InUse;
    ++of(Customer).Served;
    return true;
  }

  result &of(const std::string &Customer) {
    return Customer == "burst" ? Burst : Others;
  }

  void play() {
    constexpr std::int64_t Length = 60'000;
    constexpr std::int64_t Patience = 100;
    for (std::int64_t Now = 1; Now < Length; ++Now) {
      finish(Now);
      const std::size_t Before = Waiting.size();
      arrive(Now);
      for (std::size_t Index = Before; Index < Waiting.size(); ++Index)
        noteDemand(Plan, Waiting[Index].Customer, at(Now));
      for (auto &[Customer, Use] : Plan.Customers)
        Use.Waiting = 0;
      for (const arrival &Arrival : Waiting)
        ++Plan.Customers[Arrival.Customer].Waiting;
      std::erase_if(Waiting, [&](const arrival &Arrival) {
        if (start(Arrival.Customer, Now))
          return true;
        const bool Late = Now - Arrival.At > Patience;
        of(Arrival.Customer).Refused += Late ? 1 : 0;
        return Late;
      });
    }
  }

  static constexpr milliseconds SetUpTime{12};
  connection_policy Policy;
  std::mt19937 Random{7};
  connection_plan Plan;
  std::vector<connection> Connections;
  std::vector<arrival> Waiting;
  result Burst;
  result Others;
};

double setUpsPerStatement(const load::result &Result) {
  return static_cast<double>(Result.SetUps) /
         static_cast<double>(Result.Served);
}

} // namespace

// Guards against set-ups that take the slots while one customer's burst runs:
// by last use, it closes the connections of the others, who set them up again.
Test(connection_plan, a_burst_costs_the_others_less_than_by_last_use) {
  load Recent(connection_policy::Recent);
  load Demand(connection_policy::Demand);
  Recent.play();
  Demand.play();
  for (const load *Load : {&Recent, &Demand})
    cr_log_info("burst: served %zu set-ups %zu refused %zu; others: served "
                "%zu set-ups %zu refused %zu",
                Load->Burst.Served, Load->Burst.SetUps, Load->Burst.Refused,
                Load->Others.Served, Load->Others.SetUps, Load->Others.Refused);
  cr_assert(setUpsPerStatement(Demand.Others) <
            setUpsPerStatement(Recent.Others));
  cr_assert(Demand.Burst.SetUps < Recent.Burst.SetUps);
  cr_assert(Demand.Others.Refused <= Recent.Others.Refused);
  cr_assert(Demand.Burst.Served >= Recent.Burst.Served);
}

// Guards against closing the only connection of a customer that sends steadily
// while another one has connections that it hardly uses.
Test(connection_plan, the_connection_with_the_least_expected_reuse_is_closed) {
  connection_plan Plan;
  addCustomer(Plan, "peak", 5, 6);
  addCustomer(Plan, "rare", 1, 1);
  addCustomer(Plan, "steady", 8, 1);
  const auto First = decideConnection(Plan, fullRoom(), "new", Normal, Start);
  cr_assert(First.Step == connection_step::Replace && First.Victim == "peak");
  Plan.Customers["peak"].Idle = 1;
  const auto Next = decideConnection(Plan, fullRoom(), "new", Normal, Start);
  cr_assert(Next.Step == connection_step::Replace && Next.Victim == "rare");
}

// A flood of one customer. Guards against closing the last idle connection of
// a customer with demand for one that has more than its fair share; one without
// demand loses it.
Test(connection_plan, a_flood_leaves_each_customer_its_last_connection) {
  connection_plan Plan;
  addCustomer(Plan, "steady", 1, 1);
  addCustomer(Plan, "flood", 90, 0, 40);
  Plan.Customers["flood"].Hold = milliseconds(2000);
  cr_assert(decideConnection(Plan, fullRoom(), "flood", Normal, Start).Step ==
            connection_step::Wait);
  const instant Later = at(60'000);
  const auto Decision =
      decideConnection(Plan, fullRoom(), "flood", Normal, Later);
  cr_assert(Decision.Step == connection_step::Replace);
  cr_assert(Decision.Victim == "steady");
}

// Guards against set-ups in all slots of an endpoint, behind which statements
// that have a connection wait.
Test(connection_plan, set_ups_take_half_of_the_slots) {
  connection_plan Plan;
  connection_room Room = fullRoom();
  Room.Open = 1;
  Room.MayOpen = true;
  const auto StepAt = [&](slot_level Level) {
    return decideConnection(Plan, Room, "new", Level, Start).Step;
  };
  Plan.SetUps = 1;
  cr_assert(StepAt(Normal) == connection_step::Open);
  Plan.SetUps = 2;
  cr_assert(StepAt(Normal) == connection_step::Wait);
  cr_assert(StepAt(slot_level::Urgent) == connection_step::Open);
  Room.Slots = 1;
  Plan.SetUps = 0;
  cr_assert(StepAt(Normal) == connection_step::Open);
  Plan.SetUps = 1;
  cr_assert(StepAt(Normal) == connection_step::Wait);
}

// An endpoint that still counts the connections of dead instances. Guards
// against closing the idle connections one after the other for set-ups that it
// refuses; a customer that has none must still get one.
Test(connection_plan, waits_for_its_own_connection_while_the_endpoint_refuses) {
  connection_plan Plan;
  addCustomer(Plan, "steady", 8, 3);
  addCustomer(Plan, "own", 8, 0, 1);
  Plan.Customers["own"].Hold = milliseconds(400);
  connection_room Room = fullRoom();
  Room.Refused = true;
  cr_assert(decideConnection(Plan, Room, "own", Normal, Start).Step ==
            connection_step::Wait);
  cr_assert(decideConnection(Plan, Room, "new", Normal, Start).Step ==
            connection_step::Replace);
}

// Guards against a set-up for a statement that gets a connection of its own
// customer sooner.
Test(connection_plan, a_connection_that_gets_free_soon_is_waited_for) {
  connection_plan Plan;
  addCustomer(Plan, "own", 8, 0, 5);
  Plan.Customers["own"].Hold = milliseconds(30);
  connection_room Room = fullRoom();
  Room.Open = 5;
  Room.MayOpen = true;
  cr_assert(decideConnection(Plan, Room, "own", Normal, Start).Step ==
            connection_step::Wait);
  Plan.Customers["own"].Waiting = 5;
  cr_assert(decideConnection(Plan, Room, "own", Normal, Start).Step ==
            connection_step::Open);
}

// Guards against keeping connections of customers that stopped, and against
// closing those that save set-ups.
Test(connection_plan, connections_are_kept_by_steady_demand_only) {
  connection_plan Plan;
  addCustomer(Plan, "steady", 1, 1);
  noteDemand(Plan, "once", at(-1000));
  cr_assert(keptFor(Plan.Customers["steady"], Start) > milliseconds(2000));
  cr_assert(keptFor(Plan.Customers["once"], Start) == microseconds(0));
  Plan.Customers["steady"].Idle = 0;
  forgetUnused(Plan, Start);
  cr_assert(Plan.Customers.size() == 1);
  forgetUnused(Plan, at(60'000));
  cr_assert(Plan.Customers.empty());
}
