#include "sheet_cells.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace redwinggw::control {
namespace {

using enum sheet_column;

/// The shortest text that parses to the same number.
std::string textOf(double Number) {
  constexpr std::size_t Longest = 32;
  std::array<char, Longest> Buffer{};
  const auto [End, Error] =
      std::to_chars(Buffer.data(), Buffer.data() + Buffer.size(), Number);
  return {Buffer.data(), End};
}

/// A cell to fill in.
struct filled_cell {
  sheet_column Column;
  std::string Text;
};

std::string line(std::string Kind, std::vector<filled_cell> Cells) {
  std::vector<std::string> Row(ColumnNames.size());
  Row.front() = std::move(Kind);
  for (filled_cell &Cell : Cells)
    Row[static_cast<std::size_t>(Cell.Column)] = std::move(Cell.Text);
  return csvLine(Row);
}

std::string header() {
  std::vector<std::string> Cells;
  std::ranges::transform(ColumnNames, std::back_inserter(Cells),
                         [](const auto &Row) { return std::string(Row.Name); });
  return csvLine(Cells);
}

std::string textOf(base::milliseconds Age) {
  return std::to_string(Age.count());
}

} // namespace

std::string renderSheet(const configuration &Configuration) {
  std::string Sheet = header();
  Sheet += line("sheet", {{Name, std::to_string(Configuration.Version)}});
  for (const customer &Customer : Configuration.Customers)
    Sheet += line("customer", {{Name, Customer.Name},
                               {Rate, textOf(Customer.Rate)},
                               {Burst, textOf(Customer.Burst)}});
  for (const customer_key &Key : Configuration.Keys)
    Sheet +=
        line("key", {{Name, Key.Id}, {Of, Key.Customer}, {Digest, Key.Digest}});
  for (const endpoint &Endpoint : Configuration.Endpoints)
    Sheet +=
        line("endpoint", {{Name, Endpoint.Name},
                          {Of, Endpoint.Group},
                          {Zone, Endpoint.Zone},
                          {Address, http::toText(Endpoint.Address)},
                          {Slots, std::to_string(Endpoint.Slots)},
                          {Connections, std::to_string(Endpoint.Connections)}});
  for (const service &Service : Configuration.Services)
    Sheet += line("service", {{Name, Service.Name},
                              {Of, Service.Group},
                              {MaxAge, textOf(Service.SessionMaxAge)}});
  for (const declared_read &Read : Configuration.Reads)
    Sheet += line(
        "read",
        {{Name, Read.Name}, {Of, Read.Service}, {MaxAge, textOf(Read.MaxAge)}});
  return Sheet;
}

} // namespace redwinggw::control
