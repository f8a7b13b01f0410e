#include "line_client.hpp"
#include "native_fleet.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <string_view>
#include <thread>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::fleet;
using standin::simulated_platform;

namespace {

/// Retries a write until it succeeds, over a new session each time.
bool writeEventually(const native_process &Instance, const std::string &Item,
                     const std::string &Data) {
  return eventually([&] {
    line_client Caller(Instance.Callers, "strict", "key");
    return Caller.run("WRITE " + Item + " " + Data).Error.empty();
  });
}

} // namespace

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

// The primary crashes: one promotion is ordered, and an acknowledged write that
// the replica had received is kept.
Test(native_path, moves_the_primary_after_a_crash) {
  native_fleet Fleet(3);
  cr_assert(writeEventually(Fleet.Instances[0], "a", "before"));
  // Longer than the replication lag.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  Fleet.World.crash("d1");
  // Two instances have to notice the crash.
  line_client Other(Fleet.Instances[1].Callers, "strict", "key");
  Other.run("READ a");
  cr_assert(writeEventually(Fleet.Instances[0], "b", "after"));
  cr_assert(writeEventually(Fleet.Instances[1], "c", "after"));
  line_client Caller(Fleet.Instances[2].Callers, "strict", "key");
  cr_assert(Caller.run("READ a").Rows == std::vector<std::string>{"before"});
  Fleet.World.runOnThread([](simulated_platform &World) {
    cr_assert(World.Promotions.size() == 1);
  });
}

// The primary announces that it leaves: it is replaced before it stops, and no
// acknowledged write is lost.
Test(native_path, replaces_a_leaving_primary_without_loss) {
  native_fleet Fleet(2);
  cr_assert(writeEventually(Fleet.Instances[0], "a", "1"));
  Fleet.World.drain("d1");
  cr_assert(eventually([&] {
    bool Moved = false;
    Fleet.World.runOnThread([&](simulated_platform &World) {
      Moved = !World.Group.Databases[0].Primary;
    });
    return Moved;
  }));
  cr_assert(writeEventually(Fleet.Instances[1], "b", "2"));
  line_client Caller(Fleet.Instances[0].Callers, "strict", "key");
  cr_assert(Caller.run("READ a").Rows == std::vector<std::string>{"1"});
}

namespace {

/// The names in the promotions that were ordered.
std::vector<std::string> promoted(native_fleet &Fleet) {
  std::vector<std::string> Names;
  Fleet.World.runOnThread([&](simulated_platform &World) {
    for (const standin::promotion &Promotion : World.Promotions)
      Names.push_back(Promotion.Database);
  });
  return Names;
}

bool isRecorded(native_fleet &Fleet, const std::string &Name) {
  bool Recorded = false;
  Fleet.World.runOnThread([&](simulated_platform &World) {
    const std::string Row = World.Store.value("redwinggw", "holders/s");
    Recorded = Row.find('"' + Name + '"') != std::string::npos;
  });
  return Recorded;
}

/// Writes "a 1" in a group in which d3 alone receives what the primary commits.
void writeWhereOnlyOneReplicaReceives(native_fleet &Fleet) {
  Fleet.World.replicateSynchronously();
  // The orderer, which keeps the record, has the configuration then.
  cr_assert(eventually([&] { return isRecorded(Fleet, "d3"); }));
  cr_assert(writeEventually(Fleet.Instances[0], "a", "0"));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  Fleet.World.runOnThread(
      [](simulated_platform &World) { World.Group.Databases[1].Deaf = true; });
  cr_assert(writeEventually(Fleet.Instances[0], "a", "1"));
}

bool readsEventually(const native_process &Instance, const std::string &Item,
                     const std::string &Data) {
  return eventually([&] {
    line_client Caller(Instance.Callers, "strict", "key");
    return Caller.run("READ " + Item).Rows == std::vector<std::string>{Data};
  });
}

} // namespace

// Guards against the promotion of a replica that lags behind a draining one.
Test(native_path, promotes_a_draining_replica_that_has_all_commits) {
  native_fleet Fleet(3);
  writeWhereOnlyOneReplicaReceives(Fleet);
  Fleet.World.drain("d3");
  // Until the instances know of it.
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  Fleet.World.crash("d1");
  line_client(Fleet.Instances[1].Callers, "strict", "key").run("READ a");
  cr_assert(eventually([&] { return !promoted(Fleet).empty(); }));
  cr_assert(promoted(Fleet).front() == "d3");
  Fleet.World.runOnThread(
      [](simulated_platform &World) { World.Group.Databases[1].Deaf = false; });
  cr_assert(readsEventually(Fleet.Instances[0], "a", "1"));
}

// Guards against the promotion of a replica while a silent one may have
// acknowledged commits that it lacks.
Test(native_path, waits_for_a_silent_replica_that_may_have_more) {
  native_fleet Fleet(3);
  writeWhereOnlyOneReplicaReceives(Fleet);
  Fleet.World.crash("d3");
  Fleet.World.crash("d1");
  line_client(Fleet.Instances[1].Callers, "strict", "key").run("READ a");
  std::this_thread::sleep_for(std::chrono::milliseconds(4000));
  cr_assert(promoted(Fleet).empty());
  Fleet.World.restart("d3");
  cr_assert(readsEventually(Fleet.Instances[0], "a", "1"));
  cr_assert(promoted(Fleet).front() == "d3");
}

// Guards against a replica that has left the endpoint list and is forgotten
// together with acknowledged commits, also by instances that start afterwards.
Test(native_path, waits_for_a_replica_that_is_not_listed_any_more) {
  native_fleet Fleet(3);
  writeWhereOnlyOneReplicaReceives(Fleet);
  Fleet.World.leave("d3");
  std::this_thread::sleep_for(std::chrono::milliseconds(2000));
  for (native_process &Instance : Fleet.Instances) {
    Instance.Process->signal(SIGKILL);
    Instance.Process->wait(std::chrono::seconds(10));
  }
  for (native_process &Instance : Fleet.Instances)
    Fleet.start(Instance);
  for (const native_process &Instance : Fleet.Instances)
    cr_assert(eventually([&] { return isReady(Instance); }));
  Fleet.World.crash("d1");
  line_client(Fleet.Instances[0].Callers, "strict", "key").run("READ a");
  line_client(Fleet.Instances[1].Callers, "strict", "key").run("READ a");
  std::this_thread::sleep_for(std::chrono::milliseconds(4000));
  cr_assert(promoted(Fleet).empty());
  Fleet.World.restart("d3");
  cr_assert(readsEventually(Fleet.Instances[0], "a", "1"));
  cr_assert(promoted(Fleet).front() == "d3");
}

// Guards against a service without a primary after a replica was lost for good.
Test(native_path, forgets_a_lost_replica_whose_commits_others_have) {
  native_fleet Fleet(3);
  Fleet.World.replicateSynchronously();
  cr_assert(writeEventually(Fleet.Instances[0], "a", "1"));
  cr_assert(eventually([&] { return isRecorded(Fleet, "d3"); }));
  Fleet.World.leave("d3");
  cr_assert(eventually([&] { return !isRecorded(Fleet, "d3"); }));
  Fleet.World.crash("d1");
  line_client(Fleet.Instances[1].Callers, "strict", "key").run("READ a");
  cr_assert(readsEventually(Fleet.Instances[0], "a", "1"));
  cr_assert(promoted(Fleet).front() == "d2");
}

// Guards against a draining primary that is given up while no replica can take
// over: the service would be without a primary for as long as they lag.
Test(native_path, keeps_a_draining_primary_while_replicas_lag) {
  native_fleet Fleet(3);
  writeWhereOnlyOneReplicaReceives(Fleet);
  Fleet.World.crash("d3");
  Fleet.World.drain("d1");
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  for (const native_process &Instance : Fleet.Instances)
    cr_assert(Instance.Process->output().find("primary_given_up") ==
                  std::string::npos,
              "%s", Instance.Process->output().c_str());
  Fleet.World.runOnThread(
      [](simulated_platform &World) { World.Group.Databases[1].Deaf = false; });
  cr_assert(readsEventually(Fleet.Instances[0], "a", "1"));
  cr_assert(eventually([&] { return !promoted(Fleet).empty(); }));
  cr_assert(promoted(Fleet).front() == "d2");
}

namespace {

/// Makes instances notice that the primary does not answer.
void useThePrimary(native_fleet &Fleet) {
  for (const native_process &Instance : Fleet.Instances)
    line_client(Instance.Callers, "strict", "key").run("READ a");
}

/// Replaces the primary d1 by another endpoint, with which it loses the
/// connection, so that it goes on in its former role. \p Change runs before the
/// instances notice it. Returns the name of the new primary.
std::string replacePartitionedPrimary(
    native_fleet &Fleet,
    const std::function<void(simulated_platform &)> &Change) {
  Fleet.World.crash("d1");
  Fleet.World.runOnThread([&](simulated_platform &World) {
    World.Group.Databases[0].Partitioned = true;
    Change(World);
  });
  useThePrimary(Fleet);
  cr_assert(writeEventually(Fleet.Instances[0], "b", "1"));
  // Longer than the replication lag.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  std::string Leader;
  Fleet.World.runOnThread([&](simulated_platform &World) {
    World.Group.Databases[0].Down = false;
    Leader = World.Group.Leader;
  });
  cr_assert(Leader != "d1");
  return Leader;
}

} // namespace

// Guards against writes at a former primary that is promoted again, before the
// promotion has taken effect: another endpoint leads until then.
Test(native_path, does_not_write_at_a_former_primary_before_it_leads_again) {
  native_fleet Fleet(3);
  cr_assert(writeEventually(Fleet.Instances[0], "a", "1"));
  const std::string Leader =
      replacePartitionedPrimary(Fleet, [](simulated_platform &) {});
  Fleet.World.runOnThread([](simulated_platform &World) {
    World.PromotionTime = std::chrono::milliseconds(1000);
  });
  Fleet.World.crash("d2");
  Fleet.World.crash("d3");
  useThePrimary(Fleet);
  const auto Until = base::now() + std::chrono::milliseconds(4000);
  while (base::now() < Until)
    line_client(Fleet.Instances[0].Callers, "strict", "key").run("WRITE c 1");
  Fleet.World.runOnThread([](simulated_platform &World) {
    cr_assert(World.Group.WritesAtFormerPrimaries == 0);
  });
  Fleet.World.restart(Leader);
  cr_assert(writeEventually(Fleet.Instances[0], "c", "2"));
}

// Guards against the commits of a former primary, which were given up when it
// was replaced, being back after reads that did not see them: while its
// successors are silent it is not promoted again.
Test(native_path, waits_for_the_log_of_the_agreed_primary) {
  native_fleet Fleet(3);
  cr_assert(writeEventually(Fleet.Instances[0], "a", "1"));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  Fleet.World.runOnThread([](simulated_platform &World) {
    replicate(World.Group, base::now());
    World.Group.Databases[1].Deaf = World.Group.Databases[2].Deaf = true;
  });
  cr_assert(writeEventually(Fleet.Instances[0], "a", "2"));
  const std::string Leader =
      replacePartitionedPrimary(Fleet, [](simulated_platform &World) {
        World.Group.Databases[1].Deaf = World.Group.Databases[2].Deaf = false;
      });
  cr_assert(readsEventually(Fleet.Instances[1], "a", "1"));
  const std::string Other = Leader == "d2" ? "d3" : "d2";
  Fleet.World.crash("d2");
  Fleet.World.crash("d3");
  useThePrimary(Fleet);
  std::this_thread::sleep_for(std::chrono::milliseconds(4000));
  // It has followed the new primary before.
  Fleet.World.restart(Other);
  cr_assert(readsEventually(Fleet.Instances[0], "b", "1"));
  cr_assert(readsEventually(Fleet.Instances[1], "a", "1"));
}

// Guards against a former primary that goes on in its role for as long as it
// does not reach its successor: it runs writes, and cannot replace a lost one.
Test(native_path, demotes_a_former_primary) {
  native_fleet Fleet(3);
  cr_assert(writeEventually(Fleet.Instances[0], "a", "1"));
  replacePartitionedPrimary(Fleet, [](simulated_platform &) {});
  cr_assert(eventually([&] {
    bool Demoted = false;
    Fleet.World.runOnThread([&](simulated_platform &World) {
      Demoted = !World.Group.Databases[0].Primary;
    });
    return Demoted;
  }));
}

namespace {

std::size_t statementsAt(native_fleet &Fleet, std::size_t Database) {
  std::size_t Statements = 0;
  Fleet.World.runOnThread([&](simulated_platform &World) {
    Statements = World.Group.Databases[Database].Statements;
  });
  return Statements;
}

} // namespace

// Guards against statements at endpoints of an evacuated zone, a primary among
// them, and against a zone that stays unused after its evacuation has ended.
Test(native_path, leaves_an_evacuated_zone_and_returns) {
  native_fleet Fleet(2);
  Fleet.World.placeIn("d1", "z2");
  Fleet.World.placeIn("d2", "z2");
  cr_assert(writeEventually(Fleet.Instances[0], "a", "1"));
  Fleet.World.evacuate("z2");
  cr_assert(eventually([&] {
    bool Moved = false;
    Fleet.World.runOnThread([&](simulated_platform &World) {
      Moved = World.Group.Databases[2].Primary;
    });
    return Moved;
  }));
  cr_assert(writeEventually(Fleet.Instances[1], "b", "2"));
  const std::size_t Before = statementsAt(Fleet, 0) + statementsAt(Fleet, 1);
  line_client Caller(Fleet.Instances[0].Callers, "own", "key");
  for (int Round = 0; Round < 20; ++Round) {
    cr_assert(Caller.run("WRITE c 3").Error.empty());
    cr_assert(Caller.run("READ a").Rows == std::vector<std::string>{"1"});
  }
  cr_assert(statementsAt(Fleet, 0) + statementsAt(Fleet, 1) == Before);
  Fleet.World.endEvacuation("z2");
  cr_assert(eventually([&] {
    Caller.run("READ a");
    return statementsAt(Fleet, 1) + statementsAt(Fleet, 0) > Before;
  }));
}

namespace {

/// Sends writes until \p Wanted were served; the number of those that were.
unsigned writeRepeatedly(const native_process &Instance, unsigned Wanted) {
  constexpr unsigned MostTries = 3000;
  line_client Caller(Instance.Callers, "strict", "key");
  unsigned Served = 0;
  for (unsigned Tries = 0; Tries < MostTries && Served < Wanted; ++Tries) {
    Served += Caller.run("WRITE b 2").Error.empty() ? 1 : 0;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return Served;
}

} // namespace

// Guards against a zone that gets all its load back when its evacuation ends,
// before the list says that its endpoints are cold, and against endpoints that
// nobody may send to.
Test(native_path, limits_requests_to_cold_endpoints_after_an_evacuation) {
  native_fleet Fleet(2, "[endpoints]\ncold_overshoot = 1.5\ncold_slack = 5\n");
  cr_assert(writeEventually(Fleet.Instances[0], "a", "1"));
  Fleet.World.evacuate("z1");
  for (const native_process &Instance : Fleet.Instances)
    cr_assert(eventually([&] {
      line_client Caller(Instance.Callers, "strict", "key");
      return Caller.run("READ a").Error == "BUSY";
    }));
  const auto Requests = [&] {
    std::size_t Count = 0;
    Fleet.World.runOnThread([&](simulated_platform &World) {
      Count = World.Group.Databases[0].Requests;
    });
    return Count;
  };
  const std::size_t Before = Requests();
  const base::instant Begun = base::now();
  Fleet.World.endEvacuation("z1");
  Fleet.World.makeCold("d1", base::milliseconds(60000));
  constexpr unsigned Each = 30;
  std::thread Other(
      [&] { cr_assert(writeRepeatedly(Fleet.Instances[1], Each) == Each); });
  const unsigned Served = writeRepeatedly(Fleet.Instances[0], Each);
  Other.join();
  cr_assert(Served == Each, "%s", Fleet.Instances[0].Process->output().c_str());
  // 20 requests per second, and the depth of the bucket.
  const double Seconds =
      std::chrono::duration<double>(base::now() - Begun).count();
  cr_assert(static_cast<double>(Requests() - Before) <= 10 + 20 * Seconds);
  const auto Logged = [&](std::string_view Text) {
    return std::ranges::any_of(
        Fleet.Instances, [&](const native_process &Instance) {
          return Instance.Process->output().find(Text) != std::string::npos;
        });
  };
  cr_assert(Logged("endpoint_cold"));
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
