#include "registry.hpp"

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <map>

/// Prints the fault matrix: `matrix [--seeds N] [--scenario NAME]`.
namespace {

using namespace redwinggw;
using namespace redwinggw::matrix;

constexpr std::uint64_t DefaultSeeds = 6;
constexpr int NameWidth = 26;
constexpr int CellWidth = 15;

struct options {
  std::uint64_t Seeds = DefaultSeeds;
  std::string Scenario;
};

struct tally {
  std::uint64_t Passed = 0;
  std::uint64_t Failed = 0;
  std::uint64_t NotCovered = 0;
  std::map<std::string, std::uint64_t> Broken;
};

options parseOptions(int Count, char **Values) {
  options Options;
  for (int I = 1; I + 1 < Count; I += 2) {
    const std::string Name = Values[I];
    if (Name == "--seeds")
      Options.Seeds = std::strtoull(Values[I + 1], nullptr, 10);
    if (Name == "--scenario")
      Options.Scenario = Values[I + 1];
  }
  return Options;
}

/// Runs one cell with all seeds and returns "passed/failed" or "not covered".
std::string runCell(const scenario &Scenario, fault Fault, std::size_t Step,
                    std::uint64_t Seeds, tally &Tally) {
  std::uint64_t Passed = 0;
  std::uint64_t Failed = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const cell_run Run = Scenario.Run(Fault, Step, Seed);
    if (!Run.Injected)
      continue;
    ++(Run.Broken.empty() ? Passed : Failed);
    for (const std::string &Promise : Run.Broken) {
      ++Tally.Broken[Promise];
      std::cerr << "broken: " << Promise << ", fault "
                << base::nameOf(FaultNames, Fault) << ", step "
                << Scenario.Steps[Step] << ", seed " << Seed << "\n";
    }
  }
  Tally.Passed += Passed;
  Tally.Failed += Failed;
  if (Passed + Failed == 0) {
    ++Tally.NotCovered;
    return "not covered";
  }
  return std::to_string(Passed) + "/" + std::to_string(Failed);
}

void printHead(const scenario &Scenario, std::uint64_t Seeds) {
  std::cout << "\n"
            << Scenario.Name << ": runs passed/failed, " << Seeds
            << " seeds a cell\n"
            << std::left << std::setw(NameWidth) << "fault \\ step";
  for (const std::string &Step : Scenario.Steps)
    std::cout << std::setw(CellWidth) << Step;
  std::cout << "\n";
}

void printPromises(const scenario &Scenario, const tally &Tally) {
  const std::uint64_t Runs = Tally.Passed + Tally.Failed;
  for (const std::string &Promise : Scenario.Promises) {
    const auto Found = Tally.Broken.find(Promise);
    const std::uint64_t Broken =
        Found == Tally.Broken.end() ? 0 : Found->second;
    std::cout << std::setw(NameWidth) << Promise << "held in " << Runs - Broken
              << ", broken in " << Broken << "\n";
  }
  std::cout << "runs passed " << Tally.Passed << ", failed " << Tally.Failed
            << "; cells not covered " << Tally.NotCovered << "\n";
}

/// Returns whether every run passed.
bool printScenario(const scenario &Scenario, std::uint64_t Seeds) {
  tally Tally;
  printHead(Scenario, Seeds);
  for (const auto &Fault : FaultNames) {
    std::cout << std::setw(NameWidth) << Fault.Name;
    for (std::size_t Step = 0; Step < Scenario.Steps.size(); ++Step) {
      const bool Covered = !Scenario.NotCovered.contains(Fault.Value);
      const std::uint64_t Count = Covered ? Seeds : 0;
      std::cout << std::setw(CellWidth)
                << runCell(Scenario, Fault.Value, Step, Count, Tally)
                << std::flush;
    }
    std::cout << "\n";
  }
  printPromises(Scenario, Tally);
  return Tally.Failed == 0;
}

} // namespace

int main(int Count, char **Values) {
  const options Options = parseOptions(Count, Values);
  std::vector<scenario> Scenarios = scenarios();
  // Scenarios without a safety check fail by design, so they run only by name.
  if (!Options.Scenario.empty())
    std::ranges::move(mutatedFailoverScenarios(),
                      std::back_inserter(Scenarios));
  bool AllPassed = true;
  for (const scenario &Scenario : Scenarios)
    if (Options.Scenario.empty() || Options.Scenario == Scenario.Name)
      AllPassed &= printScenario(Scenario, Options.Seeds);
  return AllPassed ? EXIT_SUCCESS : EXIT_FAILURE;
}
