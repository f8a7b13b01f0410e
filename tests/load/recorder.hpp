#pragma once

#include "report.hpp"
#include "scenarios.hpp"

#include <optional>
#include <string>

/// Adds the results of load runs to the figures.
namespace redwinggw::load {

/// \p Part divided by \p Whole; zero when \p Whole is not positive.
double shareOf(double Part, double Whole);

struct recorder {
  scenario_environment &Environment;
  std::string Scenario;
  /// The customer that floods, if any; left out of the worst-served customer.
  std::optional<std::size_t> Flooding;
  /// p99 of the worst-served customer; set by noteWorst.
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
