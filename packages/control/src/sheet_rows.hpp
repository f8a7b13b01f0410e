#pragma once

#include "sheet_cells.hpp"

/// What the rows of a sheet declare, before cross-row validation.
namespace redwinggw::control {

/// A parsed value with the row that declares it.
template <typename Declared> struct parsed_row {
  Declared Value;
  const sheet_row *Row = nullptr;
};

struct sheet_content {
  std::vector<parsed_row<base::config_version>> MadeFrom;
  std::vector<parsed_row<customer>> Customers;
  std::vector<parsed_row<customer_key>> Keys;
  std::vector<parsed_row<service>> Services;
  std::vector<parsed_row<declared_read>> Reads;
  std::vector<parsed_row<endpoint>> Endpoints;
};

/// Parses the cells of \p Rows; \p Rows must outlive the content.
sheet_content contentOf(const std::vector<sheet_row> &Rows,
                        std::vector<sheet_fault> &Faults);

/// Reports duplicates, references to undeclared names, and rows that the sheet
/// must have but lacks or has several times.
void checkContent(const sheet_content &Content,
                  std::vector<sheet_fault> &Faults);

} // namespace redwinggw::control
