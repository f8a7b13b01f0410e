#pragma once

#include <boost/json/value.hpp>

#include <map>
#include <string>
#include <tuple>
#include <vector>

/// The figures of a measurement: values of several repetitions, side by side
/// for the policies compared.
namespace redwinggw::load {

/// What a value belongs to.
struct figure_key {
  std::string Deployment;
  std::string Scenario;
  std::string Measure;
  std::string Policy;

  friend auto operator<=>(const figure_key &, const figure_key &) = default;
};

struct figure {
  std::string Unit;
  /// One a repetition.
  std::vector<double> Values;
};

using figures = std::map<figure_key, figure>;

void add(figures &Figures, figure_key Key, std::string Unit, double Value);

/// Middle value, and the least and the greatest; zeros without values.
struct spread {
  double Median = 0;
  double Least = 0;
  double Greatest = 0;
};
spread spreadOf(const figure &Figure);

/// One line a figure: median [least..greatest] and the repetitions.
std::string toTable(const figures &Figures);

boost::json::value toJson(const figures &Figures);

/// A page with a bar chart for each measure, drawn in SVG.
std::string toHtml(const figures &Figures);

} // namespace redwinggw::load
