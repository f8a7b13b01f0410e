#include "background_writer.hpp"
#include "fleet.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <string_view>

/// The program behind tools/demo: runs a small fleet of real processes through
/// ordinary traffic, a failover and a graceful stop. Exits 0 only if all checks
/// pass.
namespace {

using namespace redwinggw;
using namespace redwinggw::fleet;
namespace json = boost::json;

constexpr const char *Group = "orders-db";
constexpr const char *Service = "orders";
constexpr const char *InsertBag = "insert into bag(grams) values(?)";
constexpr std::size_t WritesShown = 100;
constexpr std::chrono::seconds StopPatience{30};

/// Prints the result of each check and counts the failed ones.
struct verdict {
  unsigned Wrong = 0;

  void expect(bool Right, std::string_view Sentence) {
    std::cout << (Right ? "  right: " : "  WRONG: ") << Sentence << std::endl;
    Wrong += Right ? 0 : 1;
  }
};

void heading(std::string_view Text) {
  std::cout << "\n== " << Text << std::endl;
}

fleet_plan demoPlan() {
  fleet_plan Plan = smallPlan();
  Plan.Instances.push_back({"i3", "z2"});
  return Plan;
}

std::vector<http::address> callersOf(const running_fleet &Fleet) {
  std::vector<http::address> Addresses;
  std::ranges::transform(
      Fleet.instances(), std::back_inserter(Addresses),
      [](const auto &Instance) { return Instance->Callers; });
  return Addresses;
}

std::int64_t firstCell(const reply &Reply) {
  const json::value *Rows = Reply.Body.if_contains("rows");
  if (Rows == nullptr || Rows->as_array().empty())
    return -1;
  return Rows->at(0).at(0).as_int64();
}

void showOrdinaryTraffic(running_fleet &Fleet, verdict &Verdict) {
  heading("both customers write and read through every instance");
  std::int64_t Grams = 0;
  for (const customer_plan &Customer : Fleet.plan().Customers)
    for (const auto &Instance : Fleet.instances()) {
      caller Caller(Customer.Key, Service);
      Grams += 50;
      const reply Written = Caller.write(Instance->Callers, InsertBag, {Grams});
      const reply Read =
          Caller.read(Instance->Callers,
                      "select count(*) from bag where grams = ?", {Grams});
      Verdict.expect(outcomeOf(Written) == "done" && firstCell(Read) == 1,
                     Customer.Name + " through " + Instance->Plan.Name +
                         ", read from the " + textIn(Read.Body, "served_by"));
    }
  caller UnknownCaller("a key that nobody gave", Service);
  const reply Refused = UnknownCaller.read(Fleet.instances().front()->Callers,
                                           "select count(*) from bag");
  Verdict.expect(outcomeOf(Refused) == "not_run",
                 "a key that nobody gave is refused");
}

void showRoaming(running_fleet &Fleet, verdict &Verdict) {
  heading("a session roams right after each write");
  constexpr std::int64_t FirstGrams = 100'000;
  constexpr std::int64_t Rounds = 30;
  const auto Addresses = callersOf(Fleet);
  caller Caller(Fleet.plan().Customers.front().Key, Service);
  std::int64_t Seen = 0;
  std::int64_t FromReplicas = 0;
  for (std::int64_t Round = 0; Round < Rounds; ++Round) {
    const auto Index = static_cast<std::size_t>(Round);
    const std::int64_t Grams = FirstGrams + Round;
    Caller.write(Addresses[Index % Addresses.size()], InsertBag, {Grams});
    const reply Read = Caller.read(Addresses[(Index + 1) % Addresses.size()],
                                   "select max(grams) from bag");
    Seen += firstCell(Read) == Grams ? 1 : 0;
    FromReplicas += textIn(Read.Body, "served_by") == "replica" ? 1 : 0;
  }
  Verdict.expect(Seen == Rounds,
                 std::to_string(Seen) + " of " + std::to_string(Rounds) +
                     " reads saw the write before, " +
                     std::to_string(FromReplicas) + " of them from replicas");
}

void showFailover(running_fleet &Fleet, verdict &Verdict) {
  heading("the primary is killed while callers write");
  constexpr std::int64_t FirstMark = 1'000'000;
  background_writer Writer(caller(Fleet.plan().Customers.back().Key, Service),
                           callersOf(Fleet), FirstMark);
  const auto WaitForMore = [&] {
    const std::size_t Wanted = Writer.done() + WritesShown;
    return eventually([&] { return Writer.done() >= Wanted; });
  };
  Verdict.expect(WaitForMore(), "writes before the kill");
  running_endpoint *Killed = Fleet.primaryOf(Group);
  if (Killed == nullptr) {
    Verdict.expect(false, "there is a primary");
    return;
  }
  std::cout << "  killing " << Killed->Name << std::endl;
  const auto KilledAt = std::chrono::steady_clock::now();
  Killed->Process->signal(SIGKILL);
  Killed->Process->wait(StopPatience);
  const std::size_t Before = Writer.done();
  Verdict.expect(eventually([&] { return Writer.done() > Before; }),
                 "writes go on");
  const auto Gap = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - KilledAt);
  Verdict.expect(WaitForMore(), "and on");
  const auto Records = Writer.stop();
  const running_endpoint *Primary = Fleet.primaryOf(Group);
  Verdict.expect(Primary != nullptr && Primary != Killed,
                 "another endpoint is the primary");
  if (Primary == nullptr)
    return;
  const auto Lies = consistencyViolations(Fleet, Primary->Name, Records);
  for (const std::string &Lie : Lies)
    std::cout << "  " << Lie << "\n";
  Verdict.expect(Lies.empty(), std::to_string(Records.size()) +
                                   " writes: none lost, none doubled; first "
                                   "one " +
                                   std::to_string(Gap.count()) +
                                   " ms after the kill, now at " +
                                   Primary->Name);
}

void showTimeline(running_fleet &Fleet, verdict &Verdict) {
  heading("time line of all processes, last lines");
  constexpr std::size_t Shown = 4000;
  const auto Result =
      Fleet.runTool(Fleet.instances().front()->Plan.Name, {"timeline"});
  const std::string &Text = Result.Output;
  std::cout << Text.substr(Text.size() - std::min(Text.size(), Shown)) << "\n";
  Verdict.expect(Result.ExitCode == 0, "redwinggwctl timeline");
}

void showStop(running_fleet &Fleet, verdict &Verdict) {
  heading("graceful stop");
  for (const auto &Instance : Fleet.instances())
    Instance->Process->signal(SIGTERM);
  for (const auto &Instance : Fleet.instances()) {
    const auto Code = Instance->Process->wait(StopPatience);
    Verdict.expect(Code == 0, Instance->Plan.Name + " exits with " +
                                  std::to_string(Code.value_or(-1)));
  }
}

void printAddresses(const running_fleet &Fleet) {
  for (const auto &Instance : Fleet.instances())
    std::cout << "  instance " << Instance->Plan.Name << " in zone "
              << Instance->Plan.Zone << ": callers "
              << toText(Instance->Callers) << ", operators "
              << toText(Instance->Operators) << "\n";
  for (const auto &Endpoint : Fleet.endpoints())
    std::cout << "  endpoint " << Endpoint->Name << " in zone "
              << Endpoint->Zone << ": " << toText(Endpoint->Address) << "\n";
  std::cout << "  platform: " << toText(Fleet.platformAddress()) << "\n";
}

void stay(running_fleet &Fleet) {
  heading("the fleet stays up until Ctrl-C; three commands to try");
  const running_instance &Instance = *Fleet.instances().front();
  const std::string Tool = "build/release/packages/redwinggwctl/redwinggwctl "
                           "--operators " +
                           toText(Instance.Operators) +
                           " --operator-key-file " + Fleet.directory() +
                           "/operator.key";
  std::cout << "  curl -s -H 'Authorization: Bearer "
            << Fleet.plan().Customers.front().Key << "' -d '{\"service\":\""
            << Service
            << R"(","access":"read","sql":"select count(*) from bag"})"
            << "' http://" << toText(Instance.Callers) << "/v1/statement\n  "
            << Tool << " status\n  " << Tool << " timeline" << std::endl;
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGTERM);
  sigprocmask(SIG_BLOCK, &Signals, nullptr);
  int Received = 0;
  sigwait(&Signals, &Received);
}

int runDemo(bool Stay) {
  verdict Verdict;
  running_fleet Fleet(demoPlan());
  heading("starting the platform, three endpoints and three instances in two "
          "zones; submitting the sheet");
  Fleet.start();
  printAddresses(Fleet);
  showOrdinaryTraffic(Fleet, Verdict);
  showRoaming(Fleet, Verdict);
  showFailover(Fleet, Verdict);
  showTimeline(Fleet, Verdict);
  if (Stay)
    stay(Fleet);
  showStop(Fleet, Verdict);
  if (Verdict.Wrong > 0)
    std::cout << Fleet.logs();
  heading(Verdict.Wrong == 0 ? "every answer was right"
                             : "some answers were wrong");
  return Verdict.Wrong == 0 ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  const bool Stay = Count > 1 && std::string_view(Arguments[1]) == "--stay";
  try {
    return runDemo(Stay);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return 1;
  }
}
