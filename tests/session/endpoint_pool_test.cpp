#include "fake_endpoint.hpp"

#include "redwinggw/session/check_out.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
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

/// Tries to acquire a connection repeatedly for \p Patience, as callers do.
base::task<void> acquireWithin(pool_fixture &Fixture, milliseconds Patience,
                               bool &Got) {
  const base::instant End = base::now() + Patience;
  const session_values Values;
  for (int Try = 0; Try < 5 && !Got && base::now() < End; ++Try) {
    acquired Acquired =
        co_await Fixture.Pool->acquire("acme", Values, End, End);
    Got = Acquired.Link != nullptr;
    if (Got)
      Fixture.Pool->release(std::move(Acquired.Link));
  }
}

base::task<void> holdFor(pool_fixture &Fixture, milliseconds Time) {
  const base::instant End = base::now() + milliseconds(5000);
  const session_values Values;
  acquired Acquired = co_await Fixture.Pool->acquire("acme", Values, End, End);
  boost::asio::steady_timer Timer(Fixture.Context, Time);
  co_await Timer.async_wait(boost::asio::use_awaitable);
  Fixture.Pool->release(std::move(Acquired.Link));
}

/// Checks out and holds a connection until the end of the test.
base::task<void> holdOne(pool_fixture &Fixture, std::string Customer,
                         std::vector<checked_out> &Held) {
  check_out_request Request;
  Request.Customer = std::move(Customer);
  Request.SlotUntil = base::now() + milliseconds(50);
  Request.ConnectionUntil = Request.SlotUntil;
  Request.SetUpUntil = Request.SlotUntil;
  Request.Deadline = Request.SlotUntil;
  checked_out Out = co_await checkOut(Fixture.Pool, std::move(Request));
  Held.push_back(std::move(Out));
}

void hold(pool_fixture &Fixture, const std::string &Customer,
          std::vector<checked_out> &Held) {
  boost::asio::co_spawn(Fixture.Context, holdOne(Fixture, Customer, Held),
                        boost::asio::detached);
}

std::ptrdiff_t countOf(const std::vector<checked_out> &Held,
                       acquire_failure Failure) {
  return std::ranges::count_if(Held, [&](const checked_out &Out) {
    return !Out.Link && Out.Failure == Failure;
  });
}

/// A pool with one idle connection of each of \p Customers customers.
void openFor(pool_fixture &Fixture, int Customers) {
  std::vector<checked_out> Held;
  for (int Number = 0; Number < Customers; ++Number) {
    hold(Fixture, "c" + std::to_string(Number), Held);
    Fixture.Context.restart();
    Fixture.Context.run();
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
  Fixture.Entry.Slots = 6;
  Fixture.Pool->setEntry(Fixture.Entry);
  pool_limits Limits;
  Limits.Connections = 99;
  Limits.MaxConnections = 117;
  Fixture.Pool->setLimits(Limits);
  openFor(Fixture, 58);
  std::vector<checked_out> Held;
  for (int Number = 0; Number < 36; ++Number)
    hold(Fixture, "burst", Held);
  Fixture.Context.restart();
  Fixture.Context.run();
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
  pool_fixture Fixture;
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
