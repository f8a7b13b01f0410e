#pragma once

#include "redwinggw/base/ids.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Home regions: where statements may run, and to which instances their text
/// may be forwarded. Decisions without I/O.
namespace redwinggw::session {

/// The region of each availability zone, from the settings. A zone that is
/// missing is in no region.
struct zone_regions {
  std::map<base::zone_name, std::string, std::less<>> ByZone;
};

/// Names of regions; empty: no restriction.
using home_regions = std::vector<std::string>;

/// The restrictions on a statement: both apply. Null: no restriction.
struct home_rule {
  const home_regions *Route = nullptr;
  const home_regions *Customer = nullptr;
};

/// Whether \p Zone is in a home region by all restrictions of \p Rule. Without
/// any restriction every zone is, also an unknown one. Thread safe.
bool isHome(const zone_regions &Regions, const home_rule &Rule,
            std::string_view Zone);

/// Whether \p Rule restricts anything. Thread safe.
bool isRestricted(const home_rule &Rule);

/// The restrictions for refusals, such as "eu, us and eu". Thread safe.
std::string textOf(const home_rule &Rule);

} // namespace redwinggw::session
