#pragma once

#include "redwinggw/control/configuration.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The sheet that operators submit: CSV as in RFC 4180. docs/SHEET.md specifies
/// its columns and kinds of rows.
namespace redwinggw::control {

/// One validation error in a sheet.
struct sheet_fault {
  /// Row number as in a spreadsheet: the header is row 1. 0 for the whole
  /// sheet.
  std::size_t Row = 0;
  /// Name of the column; empty for the whole row.
  std::string Column;
  std::string Problem;
  /// What is allowed there.
  std::string Allowed;
  /// How to correct it.
  std::string Remedy;

  friend bool operator==(const sheet_fault &, const sheet_fault &) = default;
};

/// The configuration that a sheet declares, or all of its faults. Exactly one
/// member is set.
struct sheet_parse_result {
  /// Its Version is the one that the sheet was made from.
  std::optional<configuration> Configuration;
  std::vector<sheet_fault> Faults;
};

/// Parses and validates \p Text; all faults are reported together, in the order
/// of the rows. Thread safe.
sheet_parse_result parseSheet(std::string_view Text);

/// The sheet that declares \p Configuration, made from its version.
/// parseSheet(renderSheet(C)) returns C for each C that parseSheet can return.
/// Thread safe.
std::string renderSheet(const configuration &Configuration);

/// "row 3, column rate: problem; allowed: ...; remedy". Thread safe.
std::string describe(const sheet_fault &Fault);

} // namespace redwinggw::control
