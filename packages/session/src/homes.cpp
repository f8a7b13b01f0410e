#include "redwinggw/session/homes.hpp"

#include <algorithm>

namespace redwinggw::session {
namespace {

bool restricts(const home_regions *Regions) {
  return Regions != nullptr && !Regions->empty();
}

bool allows(const home_regions *Regions, std::string_view Region) {
  return !restricts(Regions) ||
         std::ranges::find(*Regions, Region) != Regions->end();
}

std::string joined(const home_regions *Regions) {
  std::string Text;
  if (restricts(Regions))
    for (const std::string &Region : *Regions)
      Text.append(Text.empty() ? "" : ", ").append(Region);
  return Text;
}

} // namespace

bool isHome(const zone_regions &Regions, const home_rule &Rule,
            std::string_view Zone) {
  if (!isRestricted(Rule))
    return true;
  const auto Found = Regions.ByZone.find(Zone);
  return Found != Regions.ByZone.end() && allows(Rule.Route, Found->second) &&
         allows(Rule.Customer, Found->second);
}

bool isRestricted(const home_rule &Rule) {
  return restricts(Rule.Route) || restricts(Rule.Customer);
}

std::string textOf(const home_rule &Rule) {
  const std::string Route = joined(Rule.Route);
  const std::string Customer = joined(Rule.Customer);
  const bool Both = !Route.empty() && !Customer.empty();
  return Route + (Both ? " and " : "") + Customer;
}

} // namespace redwinggw::session
