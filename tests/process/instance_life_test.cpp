#include "background_writer.hpp"
#include "fleet.hpp"

#include <boost/json.hpp>

#include <csignal>
#include <iostream>
#include <thread>

#include "criterion_test.hpp"

using namespace redwinggw::fleet;

namespace {

constexpr const char *Primary = "orders-db-1";

} // namespace

// An instance is drained while a caller's statement runs. The caller gets the
// answer, and the process exits with 0.
Test(instance_life, a_drain_answers_what_runs_and_exits_with_success) {
  running_fleet Fleet(smallPlan());
  Fleet.start();
  Fleet.setFault(Primary, {{"kind", "work"}, {"ms", 300}});
  running_instance &Instance = Fleet.instance("i1");
  caller Caller(customerKey("aterro"), "orders");
  reply Reply;
  std::thread CallerThread([&] {
    Reply = Caller.write(Instance.Callers, "insert into bag(grams) values(3)");
  });
  const bool Running = eventually([&] {
    const reply Counters =
        ask(Fleet.endpoint(Primary).Address, "/admin/counters", {});
    return Counters.Body.at("running").as_int64() > 0;
  });
  Instance.Process->signal(SIGTERM);
  CallerThread.join();
  const auto ExitCode = Instance.Process->wait(std::chrono::seconds(30));
  if (outcomeOf(Reply) != "done" || ExitCode != 0)
    std::cerr << Fleet.logs();
  cr_assert(Running);
  cr_assert(outcomeOf(Reply) == "done");
  cr_assert(ExitCode == 0);
}

// A middlebox between instances and primary loses its connection state: open
// connections stay open but never deliver an answer. New ones work.
Test(instance_life, silent_connections_are_found_and_replaced) {
  running_fleet Fleet(smallPlan());
  Fleet.start();
  background_writer Writer(caller(customerKey("dulciuri"), "orders"),
                           callerAddresses(Fleet), 1);
  cr_assert(writesContinue(Fleet, Writer));
  Fleet.setFault(Primary, {{"kind", "silent"}});
  cr_assert(writesContinue(Fleet, Writer));
  const auto Records = Writer.stop();
  const auto *Now = Fleet.primaryOf("orders-db");
  cr_assert(Now != nullptr);
  cr_assert(consistencyViolations(Fleet, Now->Name, Records).empty());
}
