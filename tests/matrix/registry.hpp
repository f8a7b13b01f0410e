#pragma once

#include "redwinggw/base/enum_table.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

/// The fault matrix: faults by steps, checked against promises. A scenario
/// registers a function that injects one fault at one step and returns the
/// promises that broke.
namespace redwinggw::matrix {

enum class fault {
  KillInstance,
  PauseInstance,
  CutInstance,
  KillEndpoint,
  PauseEndpoint,
  CutOneWay,
  CutBothWays,
  SilentConnections,
  Slow,
  StoreOutage,
  StoreSlow,
  AnswerLost,
  Duplicated,
  Reordered,
  ClockStep,
  TwoAtOnce,
};

constexpr std::array FaultNames = std::to_array<base::enum_name<fault>>({
    {fault::KillInstance, "kill instance"},
    {fault::PauseInstance, "pause and wake instance"},
    {fault::CutInstance, "cut off instance"},
    {fault::KillEndpoint, "kill endpoint"},
    {fault::PauseEndpoint, "pause and wake endpoint"},
    {fault::CutOneWay, "cut endpoint one way"},
    {fault::CutBothWays, "cut endpoint both ways"},
    {fault::SilentConnections, "silent connections"},
    {fault::Slow, "late messages"},
    {fault::StoreOutage, "store outage"},
    {fault::StoreSlow, "store slow"},
    {fault::AnswerLost, "answer lost after effect"},
    {fault::Duplicated, "doubled messages"},
    {fault::Reordered, "crossed messages"},
    {fault::ClockStep, "clock step"},
    {fault::TwoAtOnce, "two at once"},
});

/// Result of one run of one cell.
struct cell_run {
  /// The step was reached, so the fault was injected.
  bool Injected = false;
  /// Names of the promises that broke.
  std::set<std::string> Broken;
  /// Digest of what callers observed; equal for equal runs.
  std::uint64_t Digest = 0;
};

/// A part of the system under faults. Add one to scenarios() to extend the
/// matrix, for example with sessions, at-most-once execution, rates or keys.
struct scenario {
  std::string Name;
  std::vector<std::string> Steps;
  std::vector<std::string> Promises;
  /// Faults that the scenario cannot inject; their cells are not covered.
  std::set<fault> NotCovered;
  std::function<cell_run(fault, std::size_t Step, std::uint64_t Seed)> Run;
};

/// The scenarios in the order of the table.
std::vector<scenario> scenarios();

/// Failover with all safety checks, and with one of them switched off, by its
/// name.
scenario failoverScenario();
std::vector<scenario> mutatedFailoverScenarios();

} // namespace redwinggw::matrix
