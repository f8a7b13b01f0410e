#include "redwinggw/control/sheet.hpp"

#include "sheet_rows.hpp"

#include <algorithm>
#include <iterator>

namespace redwinggw::control {
namespace {

using faults = std::vector<sheet_fault>;

std::string columnList() {
  std::string List;
  for (const auto &[Column, Name] : ColumnNames) {
    List += Name;
    List += ' ';
  }
  List.pop_back();
  return List;
}

void addHeaderFault(faults &Faults, std::string_view Column,
                    std::string Problem, std::string Remedy) {
  Faults.push_back({1, std::string(Column), std::move(Problem), columnList(),
                    std::move(Remedy)});
}

/// The columns in the order in which the header lists them.
struct column_order {
  std::vector<sheet_column> Columns;
};

/// Empty when the header has faults.
std::optional<column_order> columnOrderOf(const csv_row &Header,
                                          faults &Faults) {
  const std::size_t Before = Faults.size();
  column_order Order;
  for (const std::string &Cell : Header.Cells) {
    const auto Column = base::valueOf(ColumnNames, Cell);
    if (!Column)
      addHeaderFault(Faults, Cell, "is not a column of the sheet",
                     Cell.find(';') == std::string::npos
                         ? "delete or rename the column"
                         : "export with commas between the cells");
    else if (std::ranges::find(Order.Columns, *Column) != Order.Columns.end())
      addHeaderFault(Faults, Cell, "stands twice", "delete one of the two");
    if (Column)
      Order.Columns.push_back(*Column);
  }
  for (const auto &[Column, Name] : ColumnNames)
    if (std::ranges::find(Order.Columns, Column) == Order.Columns.end())
      addHeaderFault(Faults, Name, "is missing", "add the column");
  if (!Order.Columns.empty() && Order.Columns.front() != sheet_column::Kind)
    addHeaderFault(Faults, "kind", "is not the first column",
                   "move it to the front");
  if (Faults.size() != Before)
    return std::nullopt;
  return Order;
}

sheet_row rowOf(const csv_row &Csv, const column_order &Order, faults &Faults) {
  sheet_row Row;
  Row.Number = Csv.Number;
  const std::size_t Known = std::min(Csv.Cells.size(), Order.Columns.size());
  for (std::size_t Index = 0; Index < Known; ++Index)
    Row.Cells[static_cast<std::size_t>(Order.Columns[Index])] =
        Csv.Cells[Index];
  const bool More = std::ranges::any_of(
      Csv.Cells.begin() + static_cast<std::ptrdiff_t>(Known), Csv.Cells.end(),
      [](const std::string &Cell) { return !Cell.empty(); });
  if (More)
    Faults.push_back({Csv.Number, "", "has more cells than the header",
                      std::to_string(Order.Columns.size()) + " cells",
                      "quote cells that hold a comma"});
  return Row;
}

template <typename Declared>
std::vector<Declared> valuesOf(const std::vector<parsed_row<Declared>> &Rows) {
  std::vector<Declared> Values;
  std::ranges::transform(Rows, std::back_inserter(Values),
                         &parsed_row<Declared>::Value);
  return Values;
}

configuration configurationOf(const sheet_content &Content) {
  configuration Configuration;
  Configuration.Version = Content.MadeFrom.front().Value;
  Configuration.Customers = valuesOf(Content.Customers);
  Configuration.Keys = valuesOf(Content.Keys);
  Configuration.Services = valuesOf(Content.Services);
  Configuration.Reads = valuesOf(Content.Reads);
  Configuration.Endpoints = valuesOf(Content.Endpoints);
  std::ranges::sort(Configuration.Customers, {}, &customer::Name);
  std::ranges::sort(Configuration.Keys, {}, &customer_key::Id);
  std::ranges::sort(Configuration.Services, {}, &service::Name);
  std::ranges::sort(Configuration.Reads, {}, [](const declared_read &Read) {
    return std::pair(Read.Name, Read.Service);
  });
  std::ranges::sort(Configuration.Endpoints, {}, &endpoint::Name);
  indexKeys(Configuration);
  return Configuration;
}

sheet_parse_result rejected(faults Faults) {
  std::ranges::stable_sort(Faults, {}, &sheet_fault::Row);
  return {std::nullopt, std::move(Faults)};
}

} // namespace

sheet_parse_result parseSheet(std::string_view Text) {
  faults Faults;
  const std::vector<csv_row> Csv = readCsv(Text, Faults);
  if (Csv.empty()) {
    addHeaderFault(Faults, "", "the sheet is empty", "start with the header");
    return rejected(std::move(Faults));
  }
  const auto Order = columnOrderOf(Csv.front(), Faults);
  if (!Order)
    return rejected(std::move(Faults));
  std::vector<sheet_row> Rows;
  std::transform(
      std::next(Csv.begin()), Csv.end(), std::back_inserter(Rows),
      [&](const csv_row &Row) { return rowOf(Row, *Order, Faults); });
  const sheet_content Content = contentOf(Rows, Faults);
  checkContent(Content, Faults);
  if (!Faults.empty())
    return rejected(std::move(Faults));
  return {configurationOf(Content), {}};
}

std::string describe(const sheet_fault &Fault) {
  std::string Text =
      Fault.Row == 0 ? "sheet" : "row " + std::to_string(Fault.Row);
  if (!Fault.Column.empty())
    Text += ", column " + Fault.Column;
  return Text + ": " + Fault.Problem + "; allowed: " + Fault.Allowed + "; " +
         Fault.Remedy;
}

} // namespace redwinggw::control
