#include "fake_endpoint.hpp"

#include "redwinggw/session/endpoint_pool.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

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

} // namespace

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
