#include "figures.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace redwinggw::load {
namespace {

namespace json = boost::json;

constexpr int Precision = 4;

std::string numberText(double Value) {
  std::ostringstream Out;
  Out << std::setprecision(Precision) << Value;
  return Out.str();
}

/// Bar chart of one measure: one bar for each policy, with whiskers from the
/// least to the greatest value.
class bar_chart {
public:
  explicit bar_chart(const std::vector<std::pair<std::string, figure>> &Bars)
      : Bars(Bars) {
    for (const auto &[Name, Figure] : Bars)
      Highest = std::max(Highest, spreadOf(Figure).Greatest);
  }

  std::string draw() const {
    std::ostringstream Out;
    Out << "<svg width=\"640\" height=\"" << RowHeight * Bars.size() + Margin
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n";
    for (std::size_t Row = 0; Row < Bars.size(); ++Row)
      drawBar(Out, Row);
    Out << "</svg>\n";
    return Out.str();
  }

private:
  static constexpr std::size_t RowHeight = 24;
  static constexpr std::size_t Margin = 8;
  static constexpr double Left = 130;
  static constexpr double Width = 320;

  double widthOf(double Value) const {
    return Highest > 0 ? Value / Highest * Width : 0;
  }

  void drawBar(std::ostringstream &Out, std::size_t Row) const {
    const auto &[Name, Figure] = Bars[Row];
    const spread Spread = spreadOf(Figure);
    const std::size_t Top = Margin + Row * RowHeight;
    const std::size_t Middle = Top + RowHeight / 2 - 3;
    Out << "<text x=\"0\" y=\"" << Middle + 4 << "\">" << Name << "</text>"
        << "<rect x=\"" << Left << "\" y=\"" << Top << "\" width=\""
        << widthOf(Spread.Median) << "\" height=\"16\" fill=\"#4a78a8\"/>"
        << "<line x1=\"" << Left + widthOf(Spread.Least) << "\" x2=\""
        << Left + widthOf(Spread.Greatest) << "\" y1=\"" << Middle << "\" y2=\""
        << Middle << "\" stroke=\"black\"/>"
        << "<text x=\"" << Left + Width + Margin << "\" y=\"" << Middle + 4
        << "\">" << numberText(Spread.Median) << " " << Figure.Unit << " ["
        << numberText(Spread.Least) << " to " << numberText(Spread.Greatest)
        << "], n=" << Figure.Values.size() << "</text>\n";
  }

  const std::vector<std::pair<std::string, figure>> &Bars;
  double Highest = 0;
};

} // namespace

void add(figures &Figures, figure_key Key, std::string Unit, double Value) {
  figure &Figure = Figures[std::move(Key)];
  Figure.Unit = std::move(Unit);
  Figure.Values.push_back(Value);
}

spread spreadOf(const figure &Figure) {
  if (Figure.Values.empty())
    return {};
  std::vector<double> Sorted = Figure.Values;
  std::ranges::sort(Sorted);
  const std::size_t Half = Sorted.size() / 2;
  const bool Odd = Sorted.size() % 2 == 1;
  const double Median =
      Odd ? Sorted[Half] : (Sorted[Half - 1] + Sorted[Half]) / 2;
  return {Median, Sorted.front(), Sorted.back()};
}

std::string toTable(const figures &Figures) {
  std::ostringstream Out;
  Out << "| deployment | scenario | measure | policy | median | least | "
         "greatest | unit | n |\n|---|---|---|---|---|---|---|---|---|\n";
  for (const auto &[Key, Figure] : Figures) {
    const spread Spread = spreadOf(Figure);
    Out << "| " << Key.Deployment << " | " << Key.Scenario << " | "
        << Key.Measure << " | " << Key.Policy << " | "
        << numberText(Spread.Median) << " | " << numberText(Spread.Least)
        << " | " << numberText(Spread.Greatest) << " | " << Figure.Unit << " | "
        << Figure.Values.size() << " |\n";
  }
  return Out.str();
}

json::value toJson(const figures &Figures) {
  json::array Rows;
  for (const auto &[Key, Figure] : Figures) {
    const spread Spread = spreadOf(Figure);
    json::object Row;
    Row["deployment"] = Key.Deployment;
    Row["scenario"] = Key.Scenario;
    Row["measure"] = Key.Measure;
    Row["policy"] = Key.Policy;
    Row["unit"] = Figure.Unit;
    Row["median"] = Spread.Median;
    Row["least"] = Spread.Least;
    Row["greatest"] = Spread.Greatest;
    Row["values"] = json::value_from(Figure.Values);
    Rows.push_back(std::move(Row));
  }
  return json::object{{"figures", std::move(Rows)}};
}

std::string toHtml(const figures &Figures) {
  using chart_key = std::tuple<std::string, std::string, std::string>;
  std::map<chart_key, std::vector<std::pair<std::string, figure>>> Charts;
  for (const auto &[Key, Figure] : Figures)
    Charts[{Key.Deployment, Key.Scenario, Key.Measure}].emplace_back(Key.Policy,
                                                                     Figure);
  std::ostringstream Out;
  Out << "<!doctype html>\n<html><head><meta charset=\"utf-8\">"
         "<title>redwinggw measurements</title></head><body>\n"
         "<h1>redwinggw measurements</h1>\n"
         "<p>Bars: median over repetitions; lines: least to greatest.</p>\n";
  for (const auto &[Key, Bars] : Charts)
    Out << "<h3>" << std::get<0>(Key) << ", " << std::get<1>(Key) << ": "
        << std::get<2>(Key) << "</h3>\n"
        << bar_chart(Bars).draw();
  Out << "</body></html>\n";
  return Out.str();
}

} // namespace redwinggw::load
