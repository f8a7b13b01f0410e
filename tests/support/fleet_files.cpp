#include "fleet_files.hpp"

#include "redwinggw/base/digest.hpp"

#include <iomanip>
#include <sstream>

namespace redwinggw::fleet {
namespace {

constexpr const char *Header = "kind,name,of,zone,address,rate,burst,slots,"
                               "connections,max_age_ms,digest\n";
/// Greatest age of the data that the read "recent" of each service accepts.
constexpr unsigned RecentMs = 5000;
/// Significant digits, enough to write any rate without an exponent.
constexpr int NumberDigits = 15;

} // namespace

std::string settingsOf(const running_instance &Instance,
                       const shared_settings &Shared) {
  return "[instance]\nname = " + Instance.Plan.Name +
         "\nzone = " + Instance.Plan.Zone +
         "\n[listen]\ncallers = " + toText(Instance.Callers) +
         "\noperators = " + toText(Instance.Operators) +
         "\npeers = " + toText(Instance.Peers) +
         "\n[platform]\naddress = " + toText(Shared.Platform) +
         "\n[fleet]\nkey_file = " + Shared.KeyFile +
         "\noperator_key_file = " + Shared.OperatorKeyFile + "\n" + Shared.More;
}

std::string
sheetOf(const fleet_plan &Plan,
        const std::vector<std::unique_ptr<running_endpoint>> &Endpoints,
        std::string_view FleetKey, unsigned BaseVersion) {
  std::ostringstream Sheet;
  Sheet << std::setprecision(NumberDigits) << Header << "sheet," << BaseVersion
        << ",,,,,,,,,\n";
  for (const customer_plan &Customer : Plan.Customers) {
    const std::string Digest =
        base::toHex(base::hmacSha256(FleetKey, Customer.Key));
    Sheet << "customer," << Customer.Name << ",,,," << Customer.Rate << ","
          << Customer.Burst << ",,,,\n";
    Sheet << "key," << Customer.Name << "-1," << Customer.Name << ",,,,,,,,"
          << Digest << "\n";
  }
  for (const auto &Endpoint : Endpoints)
    Sheet << "endpoint," << Endpoint->Name << "," << Endpoint->Group << ","
          << Endpoint->Zone << "," << toText(Endpoint->Address) << ",,,"
          << Plan.Endpoints.Slots << "," << Plan.Endpoints.Connections
          << ",,\n";
  for (const group_plan &Group : Plan.Groups) {
    Sheet << "service," << Group.Service << "," << Group.Name << ",,,,,,,"
          << Group.SessionMaxAgeMs << ",\n";
    Sheet << "read,recent," << Group.Service << ",,,,,,," << RecentMs << ",\n";
  }
  return Sheet.str();
}

} // namespace redwinggw::fleet
