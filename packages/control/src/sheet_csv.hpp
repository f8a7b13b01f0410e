#pragma once

#include "redwinggw/control/sheet.hpp"

/// Reader and writer for CSV as in RFC 4180. Implemented here because no CSV
/// library is available, and Boost.Tokenizer's escaped_list expects backslashes
/// instead of doubled quotes and supports no line breaks inside a field.
namespace redwinggw::control {

struct csv_row {
  std::size_t Number = 0;
  std::vector<std::string> Cells;
};

/// The rows of \p Text without blank ones. Accepts LF and CRLF, and skips a
/// byte order mark. Adds violations of RFC 4180 to \p Faults.
std::vector<csv_row> readCsv(std::string_view Text,
                             std::vector<sheet_fault> &Faults);

/// One line with CRLF; cells are quoted where necessary. Precondition: there is
/// at least one cell.
std::string csvLine(const std::vector<std::string> &Cells);

} // namespace redwinggw::control
