#include "fleet.hpp"

#include "redwinggw/base/time.hpp"
#include "redwinggw/http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <future>
#include <thread>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::fleet;

namespace {

constexpr std::chrono::seconds Patience{30};

http::request writeOf(const char *RequestId) {
  const boost::json::object Body{{"service", "orders"},
                                 {"access", "write"},
                                 {"sql", "insert into bag(grams) values(1)"},
                                 {"request_id", RequestId},
                                 {"issued_at", base::wallMilliseconds()},
                                 {"deadline_ms", 20000}};
  http::request Request;
  Request.Target = "/v1/statement";
  Request.Authorization = "Bearer " + customerKey("dulciuri");
  Request.Body = boost::json::serialize(Body);
  return Request;
}

/// A caller that sends two writes over one connection, the second one on
/// demand.
struct kept_connection {
  http::address Address;
  std::promise<void> FirstDone;
  std::promise<void> Go;
  std::string Second;
};

base::task<void> writeTwice(kept_connection &Kept, http::client &Client) {
  co_await Client.connect(Kept.Address, base::now() + Patience);
  const http::request First = writeOf("first");
  co_await Client.exchange(First, base::now() + Patience);
  Kept.FirstDone.set_value();
  Kept.Go.get_future().wait();
  const http::request Second = writeOf("second");
  const auto Answer = co_await Client.exchange(Second, base::now() + Patience);
  Kept.Second = Answer ? Answer->Body : Answer.error().Detail;
}

void runCaller(kept_connection &Kept) {
  boost::asio::io_context Context;
  http::client Client(Context.get_executor());
  boost::asio::co_spawn(Context, writeTwice(Kept, Client),
                        boost::asio::detached);
  Context.run();
}

} // namespace

// An instance is frozen by its host while a key is withdrawn at another one,
// and a request under that key arrives on an open connection meanwhile. On
// resuming, the process reads its sockets before its timers run, and so would
// serve the request by the configuration from before the pause. It must not run
// the request.
Test(paused_instance, a_key_withdrawn_during_a_pause_runs_nothing_at_the_wake) {
  fleet_plan Plan = smallPlan();
  Plan.Instances.push_back({"i3", Plan.Instances.front().Zone});
  running_fleet Fleet(Plan);
  Fleet.start();
  running_instance &Paused = Fleet.instance("i2");
  kept_connection Kept;
  Kept.Address = Paused.Callers;
  std::thread CallerThread([&] { runCaller(Kept); });
  Kept.FirstDone.get_future().wait();
  Paused.Process->signal(SIGSTOP);
  cr_assert(eventually([&] {
    return Fleet.runTool("i1", {"key", "withdraw", "dulciuri-1"}).ExitCode == 0;
  }));
  Kept.Go.set_value();
  // Longer than a read of the store is valid for.
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  Paused.Process->signal(SIGCONT);
  CallerThread.join();
  cr_assert(Kept.Second.find("not_run") != std::string::npos, "%s",
            Kept.Second.c_str());
  cr_assert(Fleet.dump("orders-db-1", "select * from bag").size() == 1);
}
