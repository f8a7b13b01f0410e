#include "redwinggw/session/endpoint_owner.hpp"

#include <algorithm>
#include <map>
#include <string>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;

namespace {

std::vector<owner_candidate> fleet(std::size_t Count, std::size_t Zones) {
  std::vector<owner_candidate> Candidates;
  Candidates.reserve(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Candidates.push_back({"front-z" + std::to_string(Index % Zones) + "-" +
                              std::to_string(Index / Zones),
                          "z" + std::to_string(Index % Zones)});
  return Candidates;
}

base::instance_name owner(std::size_t Endpoint,
                          const std::vector<owner_candidate> &Candidates) {
  return ownerOf("i-" + std::to_string(Endpoint),
                 "z" + std::to_string(Endpoint % 4), Candidates)
      ->Name;
}

} // namespace

Test(endpoint_owner, has_none_without_instances) {
  cr_assert(ownerOf("i-1", "z1", {}) == nullptr);
}

Test(endpoint_owner, is_in_the_endpoints_zone_where_that_has_instances) {
  const auto Candidates = fleet(9, 3);
  for (std::size_t Endpoint = 0; Endpoint < 40; ++Endpoint) {
    const std::string Zone = "z" + std::to_string(Endpoint % 4);
    const owner_candidate *Owner =
        ownerOf("i-" + std::to_string(Endpoint), Zone, Candidates);
    const bool HasInstances = Endpoint % 4 < 3;
    cr_assert(!HasInstances || Owner->Zone == Zone);
  }
}

Test(endpoint_owner, does_not_depend_on_the_order_of_the_list) {
  const auto Candidates = fleet(12, 4);
  auto Turned = Candidates;
  std::ranges::reverse(Turned);
  for (std::size_t Endpoint = 0; Endpoint < 100; ++Endpoint)
    cr_assert(owner(Endpoint, Candidates) == owner(Endpoint, Turned));
}

// An instance is replaced. Were all endpoints divided anew, nearly every
// connection in the fleet would be set up again at that moment.
Test(endpoint_owner, changes_only_for_the_endpoints_of_one_that_goes) {
  const auto Before = fleet(12, 4);
  auto After = Before;
  const base::instance_name Gone = After[5].Name;
  After.erase(After.begin() + 5);
  for (std::size_t Endpoint = 0; Endpoint < 200; ++Endpoint)
    if (owner(Endpoint, Before) != Gone)
      cr_assert(owner(Endpoint, Before) == owner(Endpoint, After));
}

// Names of instances differ in a letter or two. A weak hash would give one of
// them most endpoints, and it would be the fleet's narrowest place.
Test(endpoint_owner, spreads_endpoints_over_instances) {
  const auto Candidates = fleet(80, 4);
  std::map<base::instance_name, std::size_t> Owned;
  constexpr std::size_t Endpoints = 8000;
  for (std::size_t Endpoint = 0; Endpoint < Endpoints; ++Endpoint)
    ++Owned[owner(Endpoint, Candidates)];
  constexpr std::size_t Even = Endpoints / 80;
  cr_assert(Owned.size() == Candidates.size());
  for (const auto &[Name, Count] : Owned)
    cr_assert(Count < 2 * Even, "%s owns %zu", Name.c_str(), Count);
}
