#include "redwinggw/session/evacuations.hpp"

#include <algorithm>
#include <utility>

namespace redwinggw::session {

bool applyEvacuations(evacuations &Known, evacuations Read) {
  if (Read.Version <= Known.Version)
    return false;
  std::ranges::sort(Read.Zones);
  const bool Changed = Read.Zones != Known.Zones;
  Known = std::move(Read);
  return Changed;
}

bool isEvacuated(const evacuations &Known, std::string_view Zone) {
  return std::ranges::find(Known.Zones, Zone) != Known.Zones.end();
}

} // namespace redwinggw::session
