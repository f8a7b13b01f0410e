#include "fake_endpoint.hpp"

#include "redwinggw/session/check_out.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using namespace redwinggw::session::testing;
using base::milliseconds;

namespace {

struct pool_fixture {
  pool_fixture()
      : Watch(Context.get_executor()),
        Pool(std::make_shared<endpoint_pool>(
            Context.get_executor(), Watch,
            [this] { return std::make_unique<fake_link>(Group); }, Entry)) {}

  boost::asio::io_context Context;
  fake_group Group;
  endpoint_entry Entry;
  deadline_watch Watch;
  std::shared_ptr<endpoint_pool> Pool;
};

/// For customer acme, with \p Patience for all steps.
check_out_request requestWithin(milliseconds Patience) {
  check_out_request Request;
  Request.Customer = "acme";
  Request.Deadline = base::now() + Patience;
  Request.SlotUntil = Request.Deadline;
  Request.ConnectionUntil = Request.Deadline;
  Request.SetUpUntil = Request.Deadline;
  return Request;
}

/// Tries to acquire a connection repeatedly for \p Patience, as callers do.
base::task<void> acquireWithin(pool_fixture &Fixture, milliseconds Patience,
                               bool &Got, std::string Customer = "acme") {
  check_out_request Request = requestWithin(Patience);
  Request.Customer = std::move(Customer);
  for (int Try = 0; Try < 5 && !Got && base::now() < Request.Deadline; ++Try) {
    checked_out Out = co_await checkOut(Fixture.Pool, Request);
    Got = static_cast<bool>(Out.Link);
    if (Got)
      Out.Link.release();
  }
}

base::task<void> holdFor(pool_fixture &Fixture, milliseconds Time) {
  const check_out_request Request = requestWithin(milliseconds(5000));
  checked_out Out = co_await checkOut(Fixture.Pool, Request);
  boost::asio::steady_timer Timer(Fixture.Context, Time);
  co_await Timer.async_wait(boost::asio::use_awaitable);
  Out.Link.release();
}

/// Checks out and holds a connection until the end of the test.
base::task<void> holdOne(pool_fixture &Fixture, std::string Customer,
                         std::vector<checked_out> &Held,
                         milliseconds Patience) {
  check_out_request Request = requestWithin(Patience);
  Request.Customer = std::move(Customer);
  checked_out Out = co_await checkOut(Fixture.Pool, std::move(Request));
  Held.push_back(std::move(Out));
}

void hold(pool_fixture &Fixture, const std::string &Customer,
          std::vector<checked_out> &Held,
          milliseconds Patience = milliseconds(50)) {
  boost::asio::co_spawn(Fixture.Context,
                        holdOne(Fixture, Customer, Held, Patience),
                        boost::asio::detached);
}

std::ptrdiff_t countOf(const std::vector<checked_out> &Held,
                       acquire_failure Failure) {
  return std::ranges::count_if(Held, [&](const checked_out &Out) {
    return !Out.Link && Out.Failure == Failure;
  });
}

/// Releases a connection while both slots are taken, and the slots later.
base::task<void> releaseWithoutSlots(pool_fixture &Fixture,
                                     std::vector<checked_out> &Held) {
  const base::instant Until = base::now() + milliseconds(50);
  const std::string Other = "other";
  slot_grant First =
      co_await acquireSlot(Fixture.Pool, slot_level::Normal, Other, Until);
  slot_grant Second =
      co_await acquireSlot(Fixture.Pool, slot_level::Normal, Other, Until);
  Held.front().Link.release();
  boost::asio::steady_timer Timer(Fixture.Context, milliseconds(150));
  co_await Timer.async_wait(boost::asio::use_awaitable);
}

void limit(pool_fixture &Fixture, connection_policy Policy, unsigned Slots,
           std::size_t Connections) {
  Fixture.Entry.Slots = Slots;
  Fixture.Pool->setEntry(Fixture.Entry);
  pool_limits Limits;
  Limits.Policy = Policy;
  Limits.Connections = Connections;
  Limits.MaxConnections = Connections;
  Limits.SteadyConnections = Connections;
  Fixture.Pool->setLimits(Limits);
}

void runAll(pool_fixture &Fixture) {
  Fixture.Context.restart();
  Fixture.Context.run();
}

/// A pool with one idle connection of each of \p Customers customers.
void openFor(pool_fixture &Fixture, int Customers) {
  std::vector<checked_out> Held;
  for (int Number = 0; Number < Customers; ++Number) {
    hold(Fixture, "c" + std::to_string(Number), Held);
    runAll(Fixture);
    Held.back().Link.release();
    Held.clear();
  }
}

} // namespace

// A burst of one customer at an endpoint with 6 slots and many idle
// connections of others. Shows what its statements wait for: all that are not
// served wait for a slot, none for a connection.
Test(endpoint_pool, a_burst_waits_for_slots_while_connections_are_idle) {
  pool_fixture Fixture;
  limit(Fixture, connection_policy::Recent, 6, 99);
  openFor(Fixture, 58);
  std::vector<checked_out> Held;
  for (int Number = 0; Number < 36; ++Number)
    hold(Fixture, "burst", Held);
  runAll(Fixture);
  cr_assert(Fixture.Pool->idle() == 58 && Fixture.Pool->open() == 65);
  cr_assert(countOf(Held, acquire_failure::NoSlot) == 29);
  cr_assert(Fixture.Group.Refusals == 0);
}

// All instances were killed and restart; the endpoint still counts the dead
// ones' connections and accepts hardly any new one. Guards against a statement
// that arrives while the only connection is in use: five attempts to open
// another one were refused within two milliseconds, and so was the caller,
// though the connection was free a moment later.
Test(endpoint_pool, waits_for_its_own_connection_when_the_endpoint_is_full) {
  for (const auto Policy :
       {connection_policy::Recent, connection_policy::Demand}) {
    pool_fixture Fixture;
    pool_limits Limits;
    Limits.Policy = Policy;
    Fixture.Pool->setLimits(Limits);
    Fixture.Group.MaxConnections = 1;
    bool Got = false;
    boost::asio::co_spawn(Fixture.Context, holdFor(Fixture, milliseconds(30)),
                          boost::asio::detached);
    boost::asio::co_spawn(Fixture.Context,
                          acquireWithin(Fixture, milliseconds(2000), Got),
                          boost::asio::detached);
    Fixture.Context.run();
    cr_assert(Got);
    cr_assert(Fixture.Group.Refusals <= 1);
  }
}

// The same when the pool has no connection at all. Guards against a refusal of
// all statements, and against set-ups one after the other, until the endpoint
// has forgotten the dead instances.
Test(endpoint_pool, gets_a_connection_when_the_endpoint_accepts_one_again) {
  pool_fixture Fixture;
  limit(Fixture, connection_policy::Demand, 4, 4);
  Fixture.Group.MaxConnections = 0;
  std::vector<checked_out> Held;
  hold(Fixture, "early", Held);
  runAll(Fixture);
  cr_assert(countOf(Held, acquire_failure::EndpointRefused) == 1);
  cr_assert(Held.front().RetryAfter == Fixture.Pool->refusedPause());
  Fixture.Group.MaxConnections = 1;
  hold(Fixture, "late", Held, milliseconds(5000));
  runAll(Fixture);
  cr_assert(Held.back().Link);
  cr_assert(Fixture.Group.Refusals == 1);
}

// An endpoint that answers nothing. Guards against set-ups in all of its slots
// that each last for the time limit, and against a time at which it is expected
// to have a connection.
Test(endpoint_pool, a_silent_endpoint_gets_few_set_ups) {
  pool_fixture Fixture;
  limit(Fixture, connection_policy::Demand, 6, 99);
  Fixture.Group.SetUpTime = milliseconds(60'000);
  std::vector<checked_out> Held;
  for (int Number = 0; Number < 10; ++Number)
    hold(Fixture, "c" + std::to_string(Number), Held);
  runAll(Fixture);
  cr_assert(Fixture.Group.MostSetUps == 3);
  cr_assert(countOf(Held, acquire_failure::Unreachable) >= 3);
  cr_assert(std::ranges::none_of(
      Held, [](const checked_out &Out) { return bool(Out.Link); }));
  cr_assert(Fixture.Pool->open() == 0 && Fixture.Pool->plan().SetUps == 0);
}

// The endpoint has restarted and all customers come back at once. Guards
// against set-ups in all slots; each customer still gets its connection.
Test(endpoint_pool, set_ups_after_a_restart_leave_slots_free) {
  pool_fixture Fixture;
  limit(Fixture, connection_policy::Demand, 4, 40);
  openFor(Fixture, 20);
  Fixture.Pool->closeIdle();
  Fixture.Group.SetUpTime = milliseconds(1);
  Fixture.Group.MostSetUps = 0;
  std::array<bool, 20> Got{};
  for (std::size_t Number = 0; Number < Got.size(); ++Number)
    boost::asio::co_spawn(Fixture.Context,
                          acquireWithin(Fixture, milliseconds(10'000),
                                        Got.at(Number),
                                        "c" + std::to_string(Number)),
                          boost::asio::detached);
  runAll(Fixture);
  cr_assert(Fixture.Group.MostSetUps == 2);
  cr_assert(std::ranges::count(Got, true) == 20);
}

// A flood of one customer, whose open transactions hold connections. Guards
// against a statement that waits for a connection in a slot, and against
// closing the last connection of a customer with demand for it.
Test(endpoint_pool, a_flood_waits_without_slots_and_leaves_other_connections) {
  pool_fixture Fixture;
  limit(Fixture, connection_policy::Demand, 1, 3);
  openFor(Fixture, 1);
  openFor(Fixture, 1);
  std::vector<checked_out> Flood;
  for (int Number = 0; Number < 2; ++Number) {
    hold(Fixture, "flood", Flood);
    runAll(Fixture);
    Flood.back().Link.Grant = slot_grant();
  }
  const auto Connects = Fixture.Pool->connects();
  for (int Number = 0; Number < 5; ++Number)
    hold(Fixture, "flood", Flood);
  std::vector<checked_out> Steady;
  hold(Fixture, "c0", Steady);
  runAll(Fixture);
  cr_assert(Steady.front().Link);
  cr_assert(countOf(Flood, acquire_failure::Exhausted) == 5);
  cr_assert(Flood.back().RetryAfter > milliseconds(0));
  cr_assert(Fixture.Pool->connects() == Connects);
}

// A freed connection wakes a statement that then gets no slot. Guards against
// the customer's next statement, which sleeps on while the connection is idle.
Test(endpoint_pool, a_statement_without_a_slot_passes_its_connection_on) {
  pool_fixture Fixture;
  limit(Fixture, connection_policy::Demand, 1, 1);
  std::vector<checked_out> Held;
  hold(Fixture, "acme", Held);
  runAll(Fixture);
  Held.front().Link.Grant = slot_grant();
  std::vector<checked_out> Waiting;
  hold(Fixture, "acme", Waiting, milliseconds(50));
  hold(Fixture, "acme", Waiting, milliseconds(2000));
  boost::asio::co_spawn(Fixture.Context, releaseWithoutSlots(Fixture, Held),
                        boost::asio::detached);
  runAll(Fixture);
  cr_assert(Waiting.size() == 2);
  cr_assert(Waiting.front().Failure == acquire_failure::NoSlot);
  cr_assert(Waiting.back().Link);
}

// An instance that owned nearly all connections of an endpoint loses power. The
// endpoint counts them for three more seconds, and the next owner's callers get
// none. So connections opened for a peak are closed soon after it.
Test(endpoint_pool, keeps_few_connections_when_the_peak_is_over) {
  pool_fixture Fixture;
  pool_limits Limits;
  Limits.Connections = 8;
  Limits.MaxConnections = 8;
  Limits.KeptConnections = 3;
  Fixture.Pool->setLimits(Limits);
  for (int Count = 0; Count < 8; ++Count)
    boost::asio::co_spawn(Fixture.Context, holdFor(Fixture, milliseconds(5)),
                          boost::asio::detached);
  Fixture.Context.run();
  cr_assert(Fixture.Pool->open() == 8);
  const base::instant Now = base::now();
  Fixture.Pool->closeUnused(Now + Limits.UnneededIdleTime / 2);
  cr_assert(Fixture.Pool->open() == 8);
  Fixture.Pool->closeUnused(Now + 2 * Limits.UnneededIdleTime);
  cr_assert(Fixture.Pool->open() == 3);
  Fixture.Pool->closeUnused(Now + 2 * Limits.IdleTime);
  cr_assert(Fixture.Pool->open() == 0);
}
