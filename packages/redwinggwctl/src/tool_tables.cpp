#include "tool_tables.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <sstream>

namespace redwinggw::ctl {
namespace {

namespace json = boost::json;

/// Significant digits, enough for rates up to 10,000,000 with three decimals.
constexpr int NumberDigits = 10;

std::string textOf(const json::value &Value) {
  if (Value.is_string())
    return std::string(Value.get_string());
  if (Value.is_double()) {
    // Boost.JSON writes 400.0 as 4E2.
    std::ostringstream Number;
    Number << std::setprecision(NumberDigits) << Value.get_double();
    return Number.str();
  }
  if (!Value.is_array())
    return json::serialize(Value);
  std::string Text;
  for (const json::value &Item : Value.get_array())
    Text.append(Text.empty() ? "" : " ").append(textOf(Item));
  return Text;
}

bool isTable(const json::value &Value) {
  return Value.is_array() && !Value.get_array().empty() &&
         std::ranges::all_of(Value.get_array(),
                             [](const auto &Row) { return Row.is_object(); });
}

/// Replaces each row that holds a nested table by one row for each nested one.
std::vector<json::object> flattened(const json::array &Rows) {
  std::vector<json::object> Flat;
  for (const json::value &Row : Rows) {
    json::object Plain;
    const json::key_value_pair *Nested = nullptr;
    for (const auto &Member : Row.as_object())
      if (isTable(Member.value()))
        Nested = &Member;
      else
        Plain.insert_or_assign(Member.key(), Member.value());
    if (Nested == nullptr) {
      Flat.push_back(std::move(Plain));
      continue;
    }
    for (const json::value &Inner : Nested->value().get_array()) {
      json::object Joined = Plain;
      for (const auto &[Name, Value] : Inner.as_object())
        Joined.insert_or_assign(
            std::string(Nested->key()).append(".").append(Name), Value);
      Flat.push_back(std::move(Joined));
    }
  }
  return Flat;
}

std::vector<std::string> columnsOf(const std::vector<json::object> &Rows) {
  std::vector<std::string> Columns;
  for (const json::object &Row : Rows)
    for (const auto &Member : Row)
      if (std::ranges::find(Columns, std::string_view(Member.key())) ==
          Columns.end())
        Columns.emplace_back(Member.key());
  return Columns;
}

std::vector<std::string> cellsOf(const json::object &Row,
                                 const std::vector<std::string> &Columns) {
  std::vector<std::string> Cells;
  std::ranges::transform(Columns, std::back_inserter(Cells),
                         [&](const std::string &Column) {
                           const json::value *Value = Row.if_contains(Column);
                           return Value == nullptr ? "" : textOf(*Value);
                         });
  return Cells;
}

} // namespace

void printTable(std::ostream &Out, const std::vector<std::string> &Columns,
                const std::vector<std::vector<std::string>> &Rows) {
  std::vector<std::size_t> Widths;
  for (std::size_t Index = 0; Index < Columns.size(); ++Index) {
    std::size_t Width = Columns[Index].size();
    for (const auto &Row : Rows)
      Width = std::max(Width, Row[Index].size());
    Widths.push_back(Width);
  }
  const auto Print = [&](const std::vector<std::string> &Cells) {
    std::string Line;
    for (std::size_t Index = 0; Index < Cells.size(); ++Index) {
      Line += Cells[Index];
      Line.append(Widths[Index] - Cells[Index].size() + 2, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Out << Line << "\n";
  };
  Print(Columns);
  std::ranges::for_each(Rows, Print);
}

void printRows(std::ostream &Out, const json::array &Rows) {
  const std::vector<json::object> Flat = flattened(Rows);
  const std::vector<std::string> Columns = columnsOf(Flat);
  std::vector<std::vector<std::string>> Cells;
  std::ranges::transform(
      Flat, std::back_inserter(Cells),
      [&](const json::object &Row) { return cellsOf(Row, Columns); });
  printTable(Out, Columns, Cells);
}

void printObject(std::ostream &Out, const json::object &Object) {
  for (const auto &[Name, Value] : Object) {
    if (isTable(Value)) {
      Out << "\n" << Name << "\n";
      printRows(Out, Value.get_array());
    } else if (Value.is_object()) {
      Out << "\n" << Name << "\n";
      printObject(Out, Value.get_object());
    } else {
      Out << std::string_view(Name) << ": " << textOf(Value) << "\n";
    }
  }
}

} // namespace redwinggw::ctl
