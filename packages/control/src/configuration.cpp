#include "redwinggw/control/configuration.hpp"

#include "redwinggw/base/digest.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>

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

const customer_key *findUnindexed(const std::vector<customer_key> &Keys,
                                  std::string_view Digest) {
  const customer_key *Found = nullptr;
  for (const customer_key &Row : Keys)
    if (base::equalInConstantTime(Row.Digest, Digest))
      Found = &Row;
  return Found;
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

void indexKeys(configuration &Configuration) {
  const std::vector<customer_key> &Keys = Configuration.Keys;
  std::vector<std::uint32_t> &Index = Configuration.KeysByDigest;
  Index.resize(Keys.size());
  std::iota(Index.begin(), Index.end(), 0U);
  std::ranges::sort(Index, {}, [&](std::uint32_t Position) -> std::string_view {
    return Keys[Position].Digest;
  });
}

const customer_key *findKey(const configuration &Configuration,
                            std::string_view FleetKey, std::string_view Key) {
  const std::string Digest = base::toHex(base::hmacSha256(FleetKey, Key));
  const std::vector<customer_key> &Keys = Configuration.Keys;
  const std::vector<std::uint32_t> &Index = Configuration.KeysByDigest;
  if (Index.size() != Keys.size())
    return findUnindexed(Keys, Digest);
  const auto Found =
      std::ranges::lower_bound(Index, std::string_view(Digest), {},
                               [&](std::uint32_t Position) -> std::string_view {
                                 return Keys[Position].Digest;
                               });
  if (Found == Index.end())
    return nullptr;
  const customer_key &Nearest = Keys[*Found];
  return base::equalInConstantTime(Nearest.Digest, Digest) ? &Nearest : nullptr;
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
