#include "failover_load.hpp"
#include "fleet.hpp"

#include "redwinggw/base/enum_table.hpp"
#include "redwinggw/base/log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <ranges>
#include <set>

/// Measures the gap in acknowledged writes over many failovers of a replica
/// group of real processes: `failover_bench [ROUNDS] [INSTANCES]`. Fails when a
/// round does not end, or when an acknowledged write is missing or doubled at
/// the end.
namespace {

using namespace redwinggw;
using namespace redwinggw::bench;
using base::milliseconds;

constexpr std::size_t DefaultRounds = 12;
constexpr std::size_t DefaultInstances = 6;
constexpr milliseconds Steady{400};
constexpr milliseconds Ending{1500};
constexpr milliseconds Slice{20};
constexpr milliseconds WaitLimit{15'000};
constexpr double MillisecondsPerMicrosecond = 0.001;

enum class fault { Kill, Pause, CutFromAll, CutFromReplicas };

constexpr std::array FaultNames = std::to_array<base::enum_name<fault>>({
    {fault::Kill, "kill"},
    {fault::Pause, "pause"},
    {fault::CutFromAll, "cut from all"},
    {fault::CutFromReplicas, "cut from replicas"},
});

control::configuration configurationOf(const fleet::running_fleet &Fleet) {
  control::configuration Configuration;
  Configuration.Version = 1;
  for (const auto &Endpoint : Fleet.endpoints()) {
    control::endpoint Entry;
    Entry.Name = Endpoint->Name;
    Entry.Group = Endpoint->Group;
    Entry.Address = Endpoint->Address;
    Entry.Zone = Endpoint->Zone;
    Configuration.Endpoints.push_back(std::move(Entry));
  }
  return Configuration;
}

struct bench_run {
  boost::asio::io_context Context;
  fleet::running_fleet Fleet;
  load Load;
  std::map<std::string_view, std::vector<double>> Gaps;

  explicit bench_run(fleet::fleet_plan Plan) : Fleet(std::move(Plan)) {
    Load.Executor = Context.get_executor();
    Load.Group = Fleet.plan().Groups.front().Name;
  }

  const data::group_view &view() const {
    return Load.Instances.front()->Groups->view(Load.Group);
  }
};

/// Runs the instances until \p Holds returns true; false on timeout.
template <typename Condition> bool runUntil(bench_run &Run, Condition Holds) {
  const base::instant End = base::now() + WaitLimit;
  while (!Holds()) {
    if (base::now() > End)
      return false;
    Run.Context.run_for(Slice);
  }
  return true;
}

void injectFault(bench_run &Run, const std::string &Primary, fault Fault) {
  switch (Fault) {
  case fault::Kill:
    Run.Fleet.endpoint(Primary).Process->signal(SIGKILL);
    break;
  case fault::Pause:
    Run.Fleet.endpoint(Primary).Process->signal(SIGSTOP);
    break;
  case fault::CutFromAll:
    Run.Fleet.setFault(Primary, {{"kind", "cut"}, {"peer", "all"}});
    break;
  case fault::CutFromReplicas:
    Run.Fleet.setFault(Primary, {{"kind", "cut"}, {"peer", "endpoints"}});
    break;
  }
}

void healFault(bench_run &Run, const std::string &Primary, fault Fault) {
  switch (Fault) {
  case fault::Kill:
    Run.Fleet.restartEndpoint(Primary);
    break;
  case fault::Pause:
    Run.Fleet.endpoint(Primary).Process->signal(SIGCONT);
    break;
  default:
    Run.Fleet.setFault(Primary, {{"kind", "none"}});
    break;
  }
}

base::log_position receivedBy(const data::member_view &Member) {
  return Member.State ? Member.State->Received : 0;
}

/// Whether each member answers, follows the primary in its term and has
/// received almost the whole log.
bool isGroupHealthy(const bench_run &Run) {
  constexpr base::log_position Near = 50;
  const data::group_view &View = Run.view();
  const base::log_position Longest =
      std::ranges::max(View.Members | std::views::transform(receivedBy));
  return View.Primary &&
         std::ranges::all_of(View.Members, [&](const auto &Member) {
           return Member.State && Member.Failures == 0 &&
                  Member.State->Term == View.Term &&
                  Member.State->Role != data::endpoint_role::Sealed &&
                  receivedBy(Member) + Near >= Longest;
         });
}

/// Prints the state of the group after a round that did not end.
void printMembers(bench_run &Run) {
  for (const auto &Instance : Run.Load.Instances)
    std::cout << Instance->Name << ": "
              << Instance->Groups->view(Run.Load.Group).Primary.value_or("-")
              << ", suspicions " << Instance->Groups->suspicions().size()
              << ", open " << Instance->Open[Run.view().Primary.value_or("")]
              << ", last failure " << Instance->LastFailure << "\n";
  for (const data::member_view &Member : Run.view().Members)
    std::cout
        << Member.Endpoint.Name << " "
        << boost::json::serialize(Run.Fleet.stateOf(Member.Endpoint.Name))
        << ", failures " << Member.Failures << ", counters "
        << boost::json::serialize(
               fleet::ask(Member.Endpoint.Address, "/admin/counters", {}).Body)
        << "\n";
}

bool runRound(bench_run &Run, fault Fault) {
  if (!runUntil(Run, [&] { return isGroupHealthy(Run); }))
    return false;
  Run.Context.run_for(Steady);
  const base::term_number Term = Run.view().Term;
  const std::string Primary = Run.view().Primary.value_or("");
  injectFault(Run, Primary, Fault);
  std::optional<base::microseconds> Length;
  runUntil(Run, [&] {
    Length = gapAfter(Run.Load, Term);
    return Length.has_value();
  });
  if (!Length)
    return false;
  const double Gap =
      static_cast<double>(Length->count()) * MillisecondsPerMicrosecond;
  Run.Gaps[base::nameOf(FaultNames, Fault)].push_back(Gap);
  Run.Gaps["all"].push_back(Gap);
  Run.Context.run_for(Steady);
  healFault(Run, Primary, Fault);
  return true;
}

void printGaps(bench_run &Run) {
  std::cout << "write gap in ms (fault: failovers, median, worst)\n";
  for (auto &[Name, Gaps] : Run.Gaps) {
    std::ranges::sort(Gaps);
    std::cout << Name << ": " << Gaps.size() << ", "
              << static_cast<int>(Gaps[Gaps.size() / 2]) << ", "
              << static_cast<int>(Gaps.back()) << "\n";
  }
}

/// Prints how many acknowledged writes are lost or doubled; false when any is.
bool judge(bench_run &Run) {
  std::multiset<std::int64_t> Kept;
  const auto Rows =
      Run.Fleet.dump(Run.view().Primary.value_or(""), "select id from bag");
  for (const auto &Row : Rows)
    Kept.insert(Row.as_array().at(0).to_number<std::int64_t>());
  const auto Lost =
      std::ranges::count_if(Run.Load.Writes, [&](const acknowledged &Write) {
        return !Kept.contains(Write.Id);
      });
  const auto Doubled =
      std::ranges::count_if(Run.Load.Writes, [&](const acknowledged &Write) {
        return Kept.count(Write.Id) > 1;
      });
  std::cout << "acknowledged " << Run.Load.Writes.size() << ", lost " << Lost
            << ", doubled " << Doubled << "\n";
  return Lost == 0 && Doubled == 0;
}

std::size_t argument(int Count, char **Values, int Index, std::size_t Default) {
  return Count > Index ? std::strtoul(Values[Index], nullptr, 10) : Default;
}

} // namespace

int main(int Count, char **Values) {
  const std::size_t Rounds = argument(Count, Values, 1, DefaultRounds);
  const std::size_t Instances = argument(Count, Values, 2, DefaultInstances);
  base::startLog(base::log_level::Error, base::log_format::Text, "bench");
  bench_run Run(fleet::smallPlan());
  Run.Fleet.startPlatform();
  Run.Fleet.startEndpoints();
  startLoad(Run.Load, Instances, Run.Fleet.platformAddress(),
            configurationOf(Run.Fleet));
  bool Good = true;
  for (std::size_t Round = 0; Round < Rounds && Good; ++Round) {
    const fault Fault = FaultNames.at(Round % FaultNames.size()).Value;
    Good = runRound(Run, Fault);
    if (!Good) {
      std::cout << "round " << Round << " (" << base::nameOf(FaultNames, Fault)
                << ") did not end\n";
      printMembers(Run);
    }
  }
  Good = runUntil(Run, [&] { return isGroupHealthy(Run); }) && Good;
  Run.Load.Stopping = true;
  Run.Context.run_for(Ending);
  printGaps(Run);
  Good = judge(Run) && Good;
  return Good ? EXIT_SUCCESS : EXIT_FAILURE;
}
