#pragma once

#include "sheet_csv.hpp"

#include "redwinggw/base/enum_table.hpp"

#include <array>

/// Columns of the sheet and typed access to the cells of one row.
namespace redwinggw::control {

enum class sheet_column {
  Kind,
  Name,
  Of, ///< a key's customer, an endpoint's or service's group, a read's service
  Zone,
  Address,
  Rate,
  Burst,
  Slots,
  Connections,
  MaxAge,
  Digest,
};

inline constexpr std::array ColumnNames =
    std::to_array<base::enum_name<sheet_column>>({
        {sheet_column::Kind, "kind"},
        {sheet_column::Name, "name"},
        {sheet_column::Of, "of"},
        {sheet_column::Zone, "zone"},
        {sheet_column::Address, "address"},
        {sheet_column::Rate, "rate"},
        {sheet_column::Burst, "burst"},
        {sheet_column::Slots, "slots"},
        {sheet_column::Connections, "connections"},
        {sheet_column::MaxAge, "max_age_ms"},
        {sheet_column::Digest, "digest"},
    });

/// A row with its cells in the order of sheet_column.
struct sheet_row {
  std::size_t Number = 0;
  std::array<std::string, ColumnNames.size()> Cells;
};

/// Inclusive limits of a number in a cell.
template <typename Number> struct cell_range {
  Number Min;
  Number Max;
};

const std::string &cellOf(const sheet_row &Row, sheet_column Column);

void addFault(std::vector<sheet_fault> &Faults, const sheet_row &Row,
              sheet_column Column, std::string Problem, std::string Allowed,
              std::string Remedy);

// Each of these returns the value of a cell. When the cell is not valid, it
// adds a fault and returns a value that must not be used.
std::string nameIn(const sheet_row &Row, sheet_column Column,
                   std::vector<sheet_fault> &Faults);
double decimalIn(const sheet_row &Row, sheet_column Column,
                 cell_range<double> Range, std::vector<sheet_fault> &Faults);
std::uint64_t wholeIn(const sheet_row &Row, sheet_column Column,
                      cell_range<std::uint64_t> Range,
                      std::vector<sheet_fault> &Faults);
http::address addressIn(const sheet_row &Row, std::vector<sheet_fault> &Faults);
std::string digestIn(const sheet_row &Row, std::vector<sheet_fault> &Faults);

} // namespace redwinggw::control
