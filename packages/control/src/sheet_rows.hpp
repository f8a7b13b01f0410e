#pragma once

#include "sheet_cells.hpp"

/// What the rows of a sheet declare, before they are checked against each
/// other.
namespace redwinggw::control {

/// Something declared, with the row that declares it.
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

/// Reads the cells of \p Rows; \p Rows must outlive the content.
sheet_content contentOf(const std::vector<sheet_row> &Rows,
                        std::vector<sheet_fault> &Faults);

/// Reports what stands twice, what is referred to and not declared, and what
/// the sheet as a whole lacks.
void checkContent(const sheet_content &Content,
                  std::vector<sheet_fault> &Faults);

} // namespace redwinggw::control
