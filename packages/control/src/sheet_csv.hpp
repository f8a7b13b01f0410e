#pragma once

#include "redwinggw/control/sheet.hpp"

/// Reader and writer of CSV as in RFC 4180. Our own because no CSV library is
/// served, and Boost.Tokenizer's escaped_list knows backslashes instead of
/// doubled quotes and no line breaks inside a field.
namespace redwinggw::control {

struct csv_row {
  std::size_t Number = 0;
  std::vector<std::string> Cells;
};

/// The rows of \p Text without blank ones. Takes LF and CRLF, and skips a byte
/// order mark. Adds what breaks RFC 4180 to \p Faults.
std::vector<csv_row> readCsv(std::string_view Text,
                             std::vector<sheet_fault> &Faults);

/// One line with CRLF; cells are quoted where they need it. Precondition:
/// there is a cell.
std::string csvLine(const std::vector<std::string> &Cells);

} // namespace redwinggw::control
