#pragma once

#include <boost/json/value.hpp>

#include <map>
#include <string>
#include <tuple>
#include <vector>

/// The results of a measurement: the values of all repetitions for each
/// deployment, scenario, measure and policy, and their output formats.
namespace redwinggw::load {

/// Identifies a series of values.
struct figure_key {
  std::string Deployment;
  std::string Scenario;
  std::string Measure;
  std::string Policy;

  friend auto operator<=>(const figure_key &, const figure_key &) = default;
};

struct figure {
  std::string Unit;
  /// One value for each repetition, or several where a scenario notes more.
  std::vector<double> Values;
};

using figures = std::map<figure_key, figure>;

void add(figures &Figures, figure_key Key, std::string Unit, double Value);

/// Median, least and greatest value; zeros without values.
struct spread {
  double Median = 0;
  double Least = 0;
  double Greatest = 0;
};
spread spreadOf(const figure &Figure);

/// A Markdown table with one row for each figure: median, least, greatest, unit
/// and number of values.
std::string toTable(const figures &Figures);

boost::json::value toJson(const figures &Figures);

/// An HTML page with an SVG bar chart for each measure.
std::string toHtml(const figures &Figures);

} // namespace redwinggw::load
