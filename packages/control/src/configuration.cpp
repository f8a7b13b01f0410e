#include "redwinggw/control/configuration.hpp"

#include "redwinggw/base/digest.hpp"

#include <algorithm>
#include <iterator>

namespace redwinggw::control {
namespace {

template <typename Row>
const Row *findByName(const std::vector<Row> &Rows, std::string_view Name) {
  const auto Found =
      std::ranges::lower_bound(Rows, Name, std::less<>(), &Row::Name);
  if (Found == Rows.end() || Found->Name != Name)
    return nullptr;
  return &*Found;
}

} // namespace

const customer *findCustomer(const configuration &Configuration,
                             std::string_view Name) {
  return findByName(Configuration.Customers, Name);
}

const service *findService(const configuration &Configuration,
                           std::string_view Name) {
  return findByName(Configuration.Services, Name);
}

const declared_read *findRead(const configuration &Configuration,
                              std::string_view Service, std::string_view Name) {
  const auto Found =
      std::ranges::find_if(Configuration.Reads, [&](const declared_read &Read) {
        return Read.Service == Service && Read.Name == Name;
      });
  return Found == Configuration.Reads.end() ? nullptr : &*Found;
}

const customer_key *findKey(const configuration &Configuration,
                            std::string_view FleetKey, std::string_view Key) {
  const std::string Digest = base::toHex(base::keyedDigest(FleetKey, Key));
  const customer_key *Found = nullptr;
  for (const customer_key &Row : Configuration.Keys)
    if (base::equalInConstantTime(Row.Digest, Digest))
      Found = &Row;
  return Found;
}

std::vector<base::group_name> groupsOf(const configuration &Configuration) {
  std::vector<base::group_name> Groups;
  std::ranges::transform(Configuration.Endpoints, std::back_inserter(Groups),
                         &endpoint::Group);
  std::ranges::sort(Groups);
  const auto Repeats = std::ranges::unique(Groups);
  Groups.erase(Repeats.begin(), Repeats.end());
  return Groups;
}

std::vector<endpoint> endpointsOf(const configuration &Configuration,
                                  std::string_view Group) {
  std::vector<endpoint> Endpoints;
  std::ranges::copy_if(
      Configuration.Endpoints, std::back_inserter(Endpoints),
      [&](const endpoint &Endpoint) { return Endpoint.Group == Group; });
  return Endpoints;
}

} // namespace redwinggw::control
