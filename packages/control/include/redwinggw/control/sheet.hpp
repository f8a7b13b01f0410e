#pragma once

#include "redwinggw/control/configuration.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The sheet that operators submit: CSV as in RFC 4180. docs/SHEET.md states
/// its columns and kinds of rows.
namespace redwinggw::control {

/// One fault of a sheet.
struct sheet_fault {
  /// Row as a spreadsheet numbers it: the header is row 1. 0 for the whole
  /// sheet.
  std::size_t Row = 0;
  /// Name of the column; empty for the whole row.
  std::string Column;
  std::string Problem;
  /// What may stand there.
  std::string Allowed;
  /// What to do about it.
  std::string Remedy;

  friend bool operator==(const sheet_fault &, const sheet_fault &) = default;
};

/// What a sheet says, or each of its faults. Exactly one member is set.
struct sheet_parse_result {
  /// Its Version is the one that the sheet was made from.
  std::optional<configuration> Configuration;
  std::vector<sheet_fault> Faults;
};

/// Reads \p Text and checks all of it; every fault is reported at once, in the
/// order of the rows. Thread safe.
sheet_parse_result parseSheet(std::string_view Text);

/// The sheet that declares \p Configuration, made from its version.
/// parseSheet(renderSheet(C)) gives C back for each C that parseSheet can give.
/// Thread safe.
std::string renderSheet(const configuration &Configuration);

/// "row 3, column rate: problem; allowed; remedy" for people. Thread safe.
std::string describe(const sheet_fault &Fault);

} // namespace redwinggw::control
