#pragma once

#include "report.hpp"
#include "scenarios.hpp"

#include <optional>
#include <string>

/// Writes the measures of load runs into the figures.
namespace redwinggw::load {

/// \p Part over \p Whole; zero when there is no whole.
double shareOf(double Part, double Whole);

struct recorder {
  scenario_environment &Environment;
  std::string Scenario;
  /// A customer that floods is not among the worst-served.
  std::optional<std::size_t> Flooding;
  /// p99 of the worst-served customer, after noteWorst.
  double WorstP99 = 0;

  void note(std::string Measure, std::string Unit, double Value);
  void noteReads(const load_report &Report);
  void noteLatencies(const load_report &Report);
  void noteOutcomes(const load_report &Report);
  void noteViolations(const load_report &Report);
  void noteWorst(const load_report &Report);
  void noteAll(const load_report &Report);
};

} // namespace redwinggw::load
