#pragma once

#include "redwinggw/control/configuration.hpp"

#include <string>
#include <vector>

/// What differs between two configurations, by name.
namespace redwinggw::control {

enum class config_part { Customer, Key, Service, Read, Endpoint };
enum class change_kind { Added, Removed, Changed };

struct config_change {
  config_part Part = config_part::Customer;
  std::string Name;
  change_kind Kind = change_kind::Changed;

  friend bool operator==(const config_change &,
                         const config_change &) = default;
};

/// The changes that lead from \p Old to \p New, by part and name. The versions
/// are not compared. Thread safe.
std::vector<config_change> changesBetween(const configuration &Old,
                                          const configuration &New);

/// Names as in the sheet and for people: "customer", "added". Thread safe.
std::string_view partName(config_part Part);
std::string_view changeName(change_kind Kind);

/// "customer a changed, key k1 removed"; cut with a count after the first
/// \p Most. Thread safe.
std::string describe(const std::vector<config_change> &Changes,
                     std::size_t Most = 20);

} // namespace redwinggw::control
