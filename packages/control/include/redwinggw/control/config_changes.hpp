#pragma once

#include "redwinggw/control/configuration.hpp"

#include <string>
#include <vector>

/// Differences between two configurations.
namespace redwinggw::control {

enum class config_row_kind { Customer, Key, Service, Read, Endpoint };
enum class change_kind { Added, Removed, Changed };

struct config_change {
  config_row_kind RowKind = config_row_kind::Customer;
  std::string Name;
  change_kind Kind = change_kind::Changed;

  friend bool operator==(const config_change &,
                         const config_change &) = default;
};

/// The changes from \p Old to \p New, by kind of row and name. The versions are
/// not compared. Thread safe.
std::vector<config_change> changesBetween(const configuration &Old,
                                          const configuration &New);

/// Names as in the sheet and in messages: "customer", "added". Thread safe.
std::string_view rowKindName(config_row_kind RowKind);
std::string_view changeName(change_kind Kind);

/// "customer a changed, key k1 removed"; after the first \p Limit changes only
/// the number of the others. Thread safe.
std::string describe(const std::vector<config_change> &Changes,
                     std::size_t Limit = 20);

} // namespace redwinggw::control
