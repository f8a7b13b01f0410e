#pragma once

#include "sheet_cells.hpp"

/// What the rows of a sheet declare, before they are checked against each
/// other.
namespace redwinggw::control {

/// Something declared, with the row that declares it.
template <typename Declared> struct placed {
  Declared Value;
  const sheet_row *Row = nullptr;
};

struct sheet_content {
  std::vector<placed<base::config_version>> MadeFrom;
  std::vector<placed<customer>> Customers;
  std::vector<placed<customer_key>> Keys;
  std::vector<placed<service>> Services;
  std::vector<placed<declared_read>> Reads;
  std::vector<placed<endpoint>> Endpoints;
};

/// Reads the cells of \p Rows; \p Rows must outlive the content.
sheet_content contentOf(const std::vector<sheet_row> &Rows,
                        std::vector<sheet_fault> &Faults);

/// Reports what stands twice, what is referred to and not declared, and what
/// the sheet as a whole lacks.
void checkContent(const sheet_content &Content,
                  std::vector<sheet_fault> &Faults);

} // namespace redwinggw::control
