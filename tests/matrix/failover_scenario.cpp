#include "failover_scenario.hpp"

#include <algorithm>
#include <ranges>

namespace redwinggw::matrix {
namespace {

using base::milliseconds;

/// Number of ways in which the first primary fails.
constexpr std::uint64_t Triggers = 7;
constexpr milliseconds TriggerAt{1000};
constexpr milliseconds HealAfter{3000};
constexpr milliseconds LoadFor{7000};
constexpr milliseconds QuietFor{1500};
constexpr milliseconds LastPart{1000};

const std::vector<node> Endpoints{"a", "b", "c"};
const std::vector<node> Instances{"i", "j", "k"};

void cut(network &Net, const node &From, const std::vector<node> &To) {
  for (const node &Other : To)
    if (Other != From)
      Net.Cuts.emplace(From, Other);
}

void cutFrom(network &Net, const std::vector<node> &From, const node &To) {
  for (const node &Other : From)
    if (Other != To)
      Net.Cuts.emplace(Other, To);
}

std::vector<node> allNodes() {
  std::vector<node> All = Endpoints;
  std::ranges::copy(Instances, std::back_inserter(All));
  All.push_back(TableNode);
  return All;
}

void pause(network &Net, const node &Node) {
  Net.PausedUntil[Node] = Net.Now + milliseconds(500 + Net.pick(2500));
}

void heal(world &World) {
  World.Net.Cuts.clear();
  World.Net.Silent.clear();
  World.Net.Delay = base::microseconds(1500);
  World.Net.Duplicates = false;
  World.Table.Down = false;
  World.Table.Slow = milliseconds(0);
}

/// Isolates \p Endpoint and \p Instance together from all other nodes.
void isolatePair(network &Net, const node &Endpoint, const node &Instance) {
  for (const node &Member : allNodes()) {
    if (Member == Endpoint || Member == Instance)
      continue;
    for (const node &Alone : {Endpoint, Instance}) {
      Net.Cuts.emplace(Alone, Member);
      Net.Cuts.emplace(Member, Alone);
    }
  }
}

/// Makes the first primary fail.
void trigger(world &World, std::uint64_t Kind) {
  network &Net = World.Net;
  const node Primary = "a";
  switch (Kind) {
  case 0:
    Net.Killed.insert(Primary);
    break;
  case 1:
    pause(Net, Primary);
    break;
  case 2:
    cut(Net, Primary, allNodes());
    cutFrom(Net, allNodes(), Primary);
    break;
  case 3:
    cut(Net, Primary, Endpoints);
    cutFrom(Net, Endpoints, Primary);
    break;
  case 4:
    cut(Net, Primary, allNodes());
    break;
  case 5:
    cutFrom(Net, Instances, Primary);
    break;
  default:
    isolatePair(Net, Primary, Instances.front());
    break;
  }
}

void injectFault(world &World, fault Fault, const node &Instance) {
  network &Net = World.Net;
  const node &Endpoint = Endpoints[Net.pick(Endpoints.size())];
  switch (Fault) {
  case fault::KillInstance:
    Net.Killed.insert(Instance);
    break;
  case fault::PauseInstance:
    pause(Net, Instance);
    break;
  case fault::CutInstance:
    cut(Net, Instance, allNodes());
    cutFrom(Net, allNodes(), Instance);
    break;
  case fault::KillEndpoint:
    Net.Killed.insert(Endpoint);
    break;
  case fault::PauseEndpoint:
    pause(Net, Endpoint);
    break;
  case fault::CutOneWay:
    if (Net.pick(2) == 0)
      cut(Net, Endpoint, allNodes());
    else
      cutFrom(Net, allNodes(), Endpoint);
    break;
  case fault::CutBothWays:
    cut(Net, Endpoint, allNodes());
    cutFrom(Net, allNodes(), Endpoint);
    break;
  case fault::SilentConnections:
    for (const node &Member : Endpoints)
      Net.Silent.emplace(Instance, Member);
    break;
  case fault::Slow:
    Net.Delay = milliseconds(400);
    break;
  case fault::StoreOutage:
    World.Table.Down = true;
    break;
  case fault::StoreSlow:
    World.Table.Slow = milliseconds(700);
    break;
  case fault::AnswerLost:
    World.Table.LoseAnswers = 3;
    break;
  case fault::Duplicated:
    Net.Duplicates = true;
    break;
  case fault::Reordered:
    Net.Delay = milliseconds(40);
    break;
  case fault::TwoAtOnce: {
    const auto First = static_cast<fault>(Net.pick(FaultNames.size() - 2));
    const auto Second = static_cast<fault>(Net.pick(FaultNames.size() - 2));
    injectFault(World, First, Instance);
    injectFault(World, Second, Instances[Net.pick(Instances.size())]);
    break;
  }
  case fault::ClockStep:
    break;
  }
}

/// Whether the group is expected to accept writes at the end.
bool shouldServe(const world &World) {
  const auto IsKilled = [&](const node &Node) {
    return World.Net.Killed.contains(Node);
  };
  return std::ranges::count_if(Endpoints, IsKilled) <= 1 &&
         std::ranges::count_if(Instances, IsKilled) <= 1;
}

bool servesAtTheEnd(const world &World, base::instant End) {
  return std::ranges::any_of(World.History.Writes, [&](const auto &Write) {
    return Write.At >= End - LastPart;
  });
}

std::uint64_t digestOf(const history &History) {
  constexpr std::uint64_t Factor = 1099511628211U;
  std::uint64_t Digest = 0;
  for (const history::acknowledged &Write : History.Writes)
    for (const std::uint64_t Part :
         {Write.Position, Write.Write,
          static_cast<std::uint64_t>(Write.At.time_since_epoch().count())})
      Digest = (Digest ^ Part) * Factor;
  return Digest;
}

} // namespace

cell_run runFailover(const failover_run &Run) {
  // Each cell has its own random sequence, even before the fault is injected.
  const auto Cell = static_cast<std::uint64_t>(Run.Fault) * StepNames.size() +
                    static_cast<std::uint64_t>(Run.Step);
  world World(Run.Seed * FaultNames.size() * StepNames.size() + Cell);
  World.Failover = Run.Failover;
  World.Confirm = Run.Confirm;
  cell_run Result;
  const base::instant Begin = World.Net.Now;
  World.OnStep = [&](step Step, const node &Instance) {
    const bool Early = World.Net.Now < Begin + TriggerAt - milliseconds(5);
    if (Result.Injected || Step != Run.Step || Early)
      return;
    Result.Injected = true;
    injectFault(World, Run.Fault, Instance);
    World.Net.after(HealAfter, "healer", [&World] { heal(World); });
  };
  startWorld(World);
  // In some runs the answer to the first claim is lost as well.
  World.Net.after(TriggerAt, "healer", [&] {
    trigger(World, World.Net.pick(Triggers));
    const bool Loses =
        Run.Step == step::Resolving || World.Net.pick(Triggers) == 0;
    World.Table.LoseAnswers = Loses ? 1 : 0;
  });
  World.Net.after(TriggerAt + HealAfter, "healer", [&] { heal(World); });
  const base::instant End = Begin + LoadFor;
  World.Net.runUntil(End);
  World.LoadOn = false;
  World.Net.runUntil(End + QuietFor);
  checkHistory(World);
  if (shouldServe(World) && !servesAtTheEnd(World, End))
    World.History.Broken.insert("writes go on");
  Result.Broken = World.History.Broken;
  Result.Digest = digestOf(World.History);
  return Result;
}

namespace {

scenario scenarioWith(std::string Name, void (*Apply)(failover_run &)) {
  scenario Scenario;
  Scenario.Name = std::move(Name);
  std::ranges::transform(StepNames, std::back_inserter(Scenario.Steps),
                         [](const auto &Row) { return std::string(Row.Name); });
  Scenario.Promises = {"no write lost",    "one write a position",
                       "no write doubled", "one primary a term",
                       "one order a term", "no stale read",
                       "writes go on"};
  // The code under test reads only the monotonic clock, so a step of the wall
  // clock has no effect here.
  Scenario.NotCovered = {fault::ClockStep};
  Scenario.Run = [Apply](fault Fault, std::size_t Step, std::uint64_t Seed) {
    failover_run Run;
    Run.Fault = Fault;
    Run.Step = StepNames.at(Step).Value;
    Run.Seed = Seed;
    Apply(Run);
    return runFailover(Run);
  };
  return Scenario;
}

} // namespace

std::vector<mutation> failoverMutations() {
  return {
      {"confirm before acknowledge", "no write lost",
       [](failover_run &Run) { Run.Confirm.CheckMajority = false; }},
      {"term check in confirm", "no write lost",
       [](failover_run &Run) { Run.Confirm.CheckTerm = false; }},
      {"fresh confirmation for reads", "no stale read",
       [](failover_run &Run) { Run.Confirm.CheckCurrent = false; }},
      {"seal majority", "no write lost",
       [](failover_run &Run) { Run.Failover.SealMajority = false; }},
      {"choose most advanced", "no write lost",
       [](failover_run &Run) { Run.Failover.ChooseMostAdvanced = false; }},
      {"conditional claim", "one order a term",
       [](failover_run &Run) { Run.Failover.ConditionalClaim = false; }},
      {"read back own order", "one order a term",
       [](failover_run &Run) { Run.Failover.ReadBackOwnOrder = false; }},
  };
}

scenario failoverScenario() {
  return scenarioWith("failover", [](failover_run &) {});
}

std::vector<scenario> mutatedFailoverScenarios() {
  std::vector<scenario> Scenarios;
  for (const mutation &Mutation : failoverMutations())
    Scenarios.push_back(
        scenarioWith("without " + Mutation.Name, Mutation.Apply));
  return Scenarios;
}

std::vector<failover_run> allCells(std::uint64_t Seed) {
  std::vector<failover_run> Runs;
  for (const auto &Fault : FaultNames)
    for (const auto &Step : StepNames)
      Runs.push_back({Fault.Value, Step.Value, Seed, {}, {}});
  return Runs;
}

} // namespace redwinggw::matrix
