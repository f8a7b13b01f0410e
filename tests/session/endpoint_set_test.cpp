#include "redwinggw/session/endpoint_set.hpp"

#include "fake_endpoint.hpp"

#include <string>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using namespace redwinggw::session::testing;

namespace {

std::vector<endpoint_entry> entries(std::size_t Count) {
  std::vector<endpoint_entry> Entries(Count);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Entries[Index].Name = "i-" + std::to_string(Index);
    Entries[Index].Service = "s-" + std::to_string(Index / 3);
    Entries[Index].Zone = "z1";
    Entries[Index].Slots = 5;
  }
  return Entries;
}

struct set_fixture {
  set_fixture() : Set(Context.get_executor(), "z1", {}) {
    Set.ConfigureNew = [this](endpoint_pool &) { ++Configured; };
  }

  boost::asio::io_context Context;
  endpoint_set Set;
  std::size_t Configured = 0;
};

} // namespace

// Guards against memory and periodic work for each endpoint of a large fleet.
Test(endpoint_set, has_pools_only_of_endpoints_in_use) {
  set_fixture Fixture;
  endpoint_set &Set = Fixture.Set;
  updateEndpoints(Set, entries(3000), base::now());
  cr_assert(Set.Pools.empty());
  const auto Candidates =
      readCandidates(Set, "s-7", "customer", nullptr, {}, base::now());
  cr_assert(Candidates.size() == 3);
  cr_assert(Set.Pools.size() == 3 && Fixture.Configured == 3);
  cr_assert(poolOf(Set, "i-21") == poolOf(Set, "i-21"));
  cr_assert(poolOf(Set, "unlisted") == nullptr);
  cr_assert(findPool(Set, "i-1") == nullptr);
}

Test(endpoint_set, releases_pools_that_are_not_used_any_more) {
  set_fixture Fixture;
  endpoint_set &Set = Fixture.Set;
  updateEndpoints(Set, entries(6), base::now());
  const pool_ptr Held = poolOf(Set, "i-0");
  poolOf(Set, "i-1");
  poolOf(Set, "i-2")->noteSent(base::now());
  constexpr base::milliseconds Time{1000};
  releaseUnusedPools(Set, Time, base::now());
  cr_assert(Set.Pools.size() == 3);
  releaseUnusedPools(Set, Time, base::now() + 2 * Time);
  // One is referred to, and one has a statement without an answer.
  cr_assert(findPool(Set, "i-0") && !findPool(Set, "i-1") &&
            findPool(Set, "i-2"));
}

// Guards against connections of a former process that are used for the one
// which was started under the same name.
Test(endpoint_set, replaces_the_pool_of_a_restarted_endpoint) {
  set_fixture Fixture;
  endpoint_set &Set = Fixture.Set;
  auto Entries = entries(3);
  updateEndpoints(Set, Entries, base::now());
  const pool_ptr Former = poolOf(Set, "i-0");
  Entries[0].StartedAt = 2;
  Entries[1].StartedAt = 2;
  updateEndpoints(Set, Entries, base::now());
  cr_assert(findPool(Set, "i-0") && findPool(Set, "i-0") != Former);
  cr_assert(findPool(Set, "i-1") == nullptr);
}
