#pragma once

#include "redwinggw/base/ids.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

/// The availability zones whose endpoints operators have taken out of use.
/// Decisions without I/O.
///
/// Operators add and remove one row for each zone. A removed row leaves no
/// trace, so the rows of one read are known as a whole, by the store's version
/// at that read: of two reads the one with the higher version is newer.
namespace redwinggw::session {

/// Not thread safe.
struct evacuations {
  /// The store's version at the read; 0: none was read yet.
  std::uint64_t Version = 0;
  /// Sorted.
  std::vector<base::zone_name> Zones;

  friend bool operator==(const evacuations &, const evacuations &) = default;
};

/// Replaces \p Known by \p Read if that is newer. True when the zones changed.
/// Not thread safe.
bool applyEvacuations(evacuations &Known, evacuations Read);

/// Whether the endpoints of \p Zone must get no statement. Thread safe.
bool isEvacuated(const evacuations &Known, std::string_view Zone);

} // namespace redwinggw::session
