#include "fleet_callers.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <string_view>
#include <thread>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::fleet;
using standin::simulated_platform;

// Each kind of statement through a real instance.
Test(native_path, serves_statements_of_every_kind) {
  native_fleet Fleet(1);
  line_client Caller(Fleet.Instances[0].Callers, "own", "key");
  cr_assert(Caller.failed().empty());
  cr_assert(Caller.run("SET zone east").Signature == "-");
  cr_assert(Caller.run("WRITE bag 400g").Signature.starts_with("sig."));
  line_answer Answer = Caller.run("READ bag");
  cr_assert(Answer.Rows == std::vector<std::string>{"400g"});
  cr_assert(Caller.run("PREPARE s READ shape").Signature == "-");
  cr_assert(Caller.run("EXECUTE s bag").Rows ==
            std::vector<std::string>{"400g"});
  cr_assert(Caller.run("BEGIN").State == "T");
  cr_assert(Caller.run("WRITE bag 500g").State == "T");
  Answer = Caller.run("COMMIT");
  cr_assert(Answer.Signature.starts_with("sig.") && Answer.State == "I");
  cr_assert(Caller.run("READ bag").Rows == std::vector<std::string>{"500g"});
  cr_assert(Caller.run("BEGIN").State == "T");
  cr_assert(Caller.run("WRITE bag 9kg").Error.empty());
  cr_assert(Caller.run("ROLLBACK").Error.empty());
  cr_assert(Caller.run("READ bag").Rows == std::vector<std::string>{"500g"});
  cr_assert(Caller.run("NONSENSE").Error == "MALFORMED");
}

Test(native_path, refuses_unknown_databases_keys_and_orders) {
  native_fleet Fleet(1);
  const http::address &Callers = Fleet.Instances[0].Callers;
  cr_assert(line_client(Callers, "nowhere", "key").failed() == "NODATABASE");
  cr_assert(line_client(Callers, "strict", "stolen").failed() == "DENIED");
  line_client Caller(Callers, "strict", "key");
  cr_assert(Caller.run("COMMIT").Error == "MALFORMED");
  cr_assert(Caller.send("HELLO\r\n").Error == "MALFORMED");
}

// A message of over 1 MiB must not fill the instance's memory.
Test(native_path, ends_a_session_with_an_endless_line) {
  native_fleet Fleet(1);
  line_client Caller(Fleet.Instances[0].Callers, "strict", "key");
  const std::string Long(std::size_t{3} << 20U, 'x');
  const line_answer Answer = Caller.send("QUERY 1 WRITE a " + Long);
  cr_assert(Answer.Error == "TOOLARGE" || Answer.Error == "closed");
}

// A key is withdrawn while its callers stay connected: their next statements
// must be denied, at every instance.
Test(native_path, stops_a_withdrawn_key_on_open_sessions) {
  native_fleet Fleet(2);
  line_client First(Fleet.Instances[0].Callers, "strict", "key");
  line_client Second(Fleet.Instances[1].Callers, "strict", "key");
  cr_assert(First.run("READ a").Error.empty());
  cr_assert(Second.run("READ a").Error.empty());
  Fleet.World.runOnThread(
      [](simulated_platform &World) { World.configure({"other"}); });
  cr_assert(eventually([&] { return First.run("READ a").Error == "DENIED"; }));
  cr_assert(eventually([&] { return Second.run("READ a").Error == "DENIED"; }));
}

// The store rejects one instance and serves the others: a key that is withdrawn
// meanwhile must be denied there too, by the configuration of the others.
Test(native_path, tells_an_instance_that_the_store_turns_away) {
  native_fleet Fleet(3);
  line_client Caller(Fleet.Instances[2].Callers, "strict", "key");
  cr_assert(Caller.run("READ a").Error.empty());
  Fleet.World.runOnThread([](simulated_platform &World) {
    World.SecondStoreDown = true;
    World.configure({"other"});
  });
  cr_assert(eventually([&] { return Caller.run("READ a").Error == "DENIED"; }));
}

// A database runs a write and its answer is lost: the outcome must be reported
// as unknown, and the write must not be retried.
Test(native_path, leaves_an_unanswered_write_in_doubt) {
  native_fleet Fleet(1);
  line_client Caller(Fleet.Instances[0].Callers, "strict", "key");
  Fleet.World.runOnThread([](simulated_platform &World) {
    World.Group.Databases[0].LoseAnswers = 1;
  });
  cr_assert(Caller.run("WRITE pay 5").Error == "INDOUBT");
  Fleet.World.runOnThread([](simulated_platform &World) {
    unsigned Runs = 0;
    for (const auto &[Id, Count] : World.Group.Runs)
      Runs += Count;
    cr_assert(Runs == 1);
  });
}

// The store is down: instances keep serving by the configuration in force.
Test(native_path, goes_on_while_the_store_is_down) {
  native_fleet Fleet(2);
  cr_assert(writeEventually(Fleet.Instances[0], "a", "1"));
  Fleet.World.runOnThread(
      [](simulated_platform &World) { World.Store.Down = true; });
  std::this_thread::sleep_for(std::chrono::milliseconds(3000));
  line_client Caller(Fleet.Instances[1].Callers, "own", "key");
  const line_answer Written = Caller.run("WRITE a 2");
  cr_assert(Written.Error.empty(), "%s\n%s", Written.Error.c_str(),
            Fleet.Instances[1].Process->output().c_str());
  cr_assert(Caller.run("READ a").Rows == std::vector<std::string>{"2"});
}

// A planned stop: the instance stops being ready, answers running work, removes
// its row and exits with 0.
Test(native_path, stops_gracefully) {
  native_fleet Fleet(2);
  native_process &Leaving = Fleet.Instances[0];
  line_client Caller(Leaving.Callers, "strict", "key");
  cr_assert(Caller.run("BEGIN").Error.empty());
  cr_assert(Caller.run("WRITE a 1").Error.empty());
  Leaving.Process->signal(SIGTERM);
  cr_assert(eventually([&] { return !isReady(Leaving); }));
  cr_assert(Caller.run("COMMIT").Error.empty());
  cr_assert(Leaving.Process->wait(std::chrono::seconds(30)) == 0);
  Fleet.World.runOnThread([](simulated_platform &World) {
    cr_assert(World.Store.value("redwinggw", "instance/i1").empty());
    cr_assert(!World.Store.value("redwinggw", "instance/i2").empty());
  });
}

// An instance stops while a caller sends statements back to back. The statement
// that was in flight when the session closed was lost: its caller saw the
// connection end and could not know whether it had run.
Test(native_path, answers_the_statement_that_crosses_a_stop) {
  native_fleet Fleet(2);
  native_process &Leaving = Fleet.Instances[0];
  line_client Caller(Leaving.Callers, "strict", "key");
  cr_assert(Caller.run("WRITE a 1").Error.empty());
  Leaving.Process->signal(SIGTERM);
  line_answer Answer;
  while (Answer.Error.empty())
    Answer = Caller.run("READ a");
  cr_assert(Answer.Error == "BUSY", "%s", Answer.Error.c_str());
  cr_assert(Answer.State == "I");
  cr_assert(Leaving.Process->wait(std::chrono::seconds(30)) == 0);
}

// SIGHUP reloads the settings; without a handler it would end the process.
Test(native_path, survives_a_reload) {
  native_fleet Fleet(1);
  Fleet.Instances[0].Process->signal(SIGHUP);
  cr_assert(eventually([&] {
    return Fleet.Instances[0].Process->output().find("read again") !=
           std::string::npos;
  }));
  cr_assert(writeEventually(Fleet.Instances[0], "a", "1"));
}

// The platform changes the settings file and sends no signal.
Test(native_path, notices_settings_that_changed_without_a_signal) {
  native_fleet Fleet(1);
  std::ofstream(Fleet.Instances[0].SettingsFile, std::ios::app)
      << "level = debug\n";
  cr_assert(eventually([&] {
    return Fleet.Instances[0].Process->output().find("read again") !=
           std::string::npos;
  }));
}

// Endpoints receive the customer of a statement, and never its key.
Test(native_path, shows_endpoints_customers_and_no_keys) {
  native_fleet Fleet(1);
  cr_assert(writeEventually(Fleet.Instances[0], "a", "1"));
  Fleet.World.runOnThread([](simulated_platform &World) {
    cr_assert(World.Group.Customers.contains("acme"));
    cr_assert(!World.Group.Customers.contains("key"));
  });
}
