#pragma once

#include "native_fleet.hpp"
#include "statement_records.hpp"

#include <algorithm>
#include <iterator>
#include <mutex>
#include <ranges>
#include <string>
#include <thread>
#include <vector>

/// Callers against databases that misbehave when they answer.
namespace redwinggw::fleet {

struct statement_load {
  std::size_t Callers = 12;
  std::size_t Operations = 100;
  double AnyBytes = 0;
  std::uint64_t Seed = 1;
};

/// Runs callers at all instances at the same time, and judges what they saw.
inline std::vector<std::string>
violationsUnder(native_fleet &Fleet, const standin::answer_faults &Faults,
                const statement_load &Load) {
  Fleet.World.runOnThread([&](standin::simulated_platform &World) {
    World.Group.Faults = Faults;
    World.Group.Random.seed(Load.Seed);
  });
  std::mutex Mutex;
  std::vector<statement_record> Records;
  std::vector<std::thread> Threads;
  Threads.reserve(Load.Callers);
  for (std::size_t Index = 0; Index < Load.Callers; ++Index)
    Threads.emplace_back([&, Index] {
      caller_plan Plan;
      Plan.Address = Fleet.Instances[Index % Fleet.Instances.size()].Callers;
      Plan.Seed = Load.Seed * Load.Callers + Index;
      Plan.Operations = Load.Operations;
      Plan.AnyBytes = Load.AnyBytes;
      std::vector<statement_record> Own = runCaller(Plan);
      const std::lock_guard Guard(Mutex);
      std::ranges::move(Own, std::back_inserter(Records));
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  std::vector<std::string> Lines;
  Fleet.World.runOnThread([&](standin::simulated_platform &World) {
    Lines = judgeStatements(World.Group, Records);
    if (Faults.Repeated > 0 && World.Group.Repeats == 0)
      Lines.emplace_back("nothing was repeated");
  });
  // A run that serves hardly anything shows nothing.
  const auto Served =
      std::ranges::count_if(Records, [](const statement_record &Record) {
        return Record.Answer.Error.empty();
      });
  if (static_cast<std::size_t>(Served) * 4 < Records.size())
    Lines.push_back("only " + std::to_string(Served) + " of " +
                    std::to_string(Records.size()) + " served");
  return Lines;
}

/// The first lines, as the message of a failed assertion.
inline std::string summaryOf(const std::vector<std::string> &Lines) {
  constexpr std::size_t Most = 5;
  std::string Text = std::to_string(Lines.size()) + " violations";
  for (const std::string &Line : Lines | std::views::take(Most))
    Text += "\n" + Line;
  return Text;
}

} // namespace redwinggw::fleet
