#include "redwinggw/data/dispatcher.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::data;
namespace asio = boost::asio;

namespace {

const control::endpoint Endpoint{"e1", "g", {"127.0.0.1", 1}, "a", 5, 4};
constexpr std::chrono::minutes Timeout{1};

base::task<void> acquireSlot(dispatcher &Dispatcher, int &SlotsAcquired) {
  const auto Acquired =
      co_await Dispatcher.acquire("dulce", base::now() + Timeout);
  SlotsAcquired += Acquired.has_value() ? 1 : 0;
}

/// Runs everything that is ready, without waiting for timers.
void runReady(asio::io_context &Context) {
  Context.restart();
  Context.poll();
}

} // namespace

// Guards against a deadlock that lasts until the tries time out, a second at a
// time: a transaction holds a lock in the database, writes waiting for that
// lock fill the window, and the transaction's next statement is queued behind
// them.
Test(dispatcher, a_statement_of_an_open_transaction_does_not_queue) {
  asio::io_context Context;
  dispatcher Dispatcher(Context.get_executor(), "i1", Endpoint, 4, {});
  int SlotsAcquired = 0;
  for (int Write = 0; Write < 3; ++Write)
    asio::co_spawn(Context, acquireSlot(Dispatcher, SlotsAcquired),
                   asio::detached);
  runReady(Context);
  cr_assert(SlotsAcquired == 1);
  cr_assert(Dispatcher.waiting() == 2);
  Dispatcher.acquireImmediately("dulce");
  cr_assert(Dispatcher.running() == 2);
  Dispatcher.release("dulce", {}, std::nullopt);
  runReady(Context);
  cr_assert(SlotsAcquired == 1);
  Dispatcher.release("dulce", {}, std::nullopt);
  runReady(Context);
  cr_assert(SlotsAcquired == 2);
  Dispatcher.release("dulce", {}, std::nullopt);
  runReady(Context);
}

// Guards against requests that are allowed to run by the window and then fail
// for lack of a connection: open transactions hold connections that the window
// still includes.
Test(dispatcher, pinned_connections_reduce_the_window) {
  asio::io_context Context;
  dispatcher Dispatcher(Context.get_executor(), "i1", Endpoint, 4, {});
  const double Free = Dispatcher.windowLimit();
  Dispatcher.adjustPinned(1);
  cr_assert(Dispatcher.windowLimit() == Free - 1);
  Dispatcher.adjustPinned(-1);
  cr_assert(Dispatcher.windowLimit() == Free);
}
