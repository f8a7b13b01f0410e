#include "redwinggw/session/endpoint_owner.hpp"

#include <algorithm>
#include <iterator>
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

/// The candidates at \p Indices, sorted by name.
std::vector<owner_candidate> some(const std::vector<owner_candidate> &All,
                                  const std::vector<std::size_t> &Indices) {
  std::vector<owner_candidate> Some;
  std::ranges::transform(Indices, std::back_inserter(Some),
                         [&](std::size_t Index) { return All[Index]; });
  std::ranges::sort(Some, {}, &owner_candidate::Name);
  return Some;
}

/// Instances that exchange heartbeats in simulated time.
struct heartbeat_fleet {
  heartbeat_fleet(std::size_t Count, std::size_t DirectLimit) {
    control::membership_limits Limits;
    Limits.DirectLimit = DirectLimit;
    std::vector<storage::listed_instance> Listed(Count);
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Listed[Index].Name = "i" + std::to_string(Index);
      Listed[Index].Zone = "z";
      Members.push_back(
          control::makeMembership({Listed[Index].Name, "z", 1}, Limits));
      control::onStoreRead(Members.back(), Now, Now, 0);
    }
    for (control::membership &Member : Members)
      control::onList(Member, Listed, Now);
  }

  void deliver(const control::peer_send &Send) {
    const std::size_t To = std::stoul(Send.Datagram.Receiver.substr(1));
    if (To == Dead || !control::admitDatagram(Members[To], Send.Datagram))
      return;
    for (const control::peer_send &Answer :
         control::onHeartbeat(Members[To], Send.Datagram, Now))
      deliver(Answer);
  }

  void run(base::milliseconds Time) {
    constexpr base::milliseconds Step{50};
    for (const base::instant End = Now + Time; Now < End;) {
      Now += Step;
      for (std::size_t Index = 0; Index < Members.size(); ++Index)
        for (const control::peer_send &Send :
             control::onTick(Members[Index], Now))
          if (Index != Dead)
            deliver(Send);
    }
  }

  /// How many of \p Endpoints have an owner that fewer than nine in ten
  /// instances agree on.
  std::size_t disputed(std::size_t Endpoints) const {
    std::size_t Disputed = 0;
    for (std::size_t Endpoint = 0; Endpoint < Endpoints; ++Endpoint) {
      std::map<base::instance_name, std::size_t> Votes;
      for (std::size_t Index = 0; Index < Members.size(); ++Index) {
        if (Index == Dead)
          continue;
        auto Candidates = ownersAmong(Members[Index], Now);
        Candidates.push_back({Members[Index].Self.Name, "z"});
        const std::string Name = "e" + std::to_string(Endpoint);
        ++Votes[ownerOf(Name, "z", Candidates)->Name];
      }
      const auto Most = std::ranges::max_element(
          Votes, {}, [](const auto &Vote) { return Vote.second; });
      Disputed += Most->second * 10 < Members.size() * 9 ? 1 : 0;
    }
    return Disputed;
  }

  base::instant Now{std::chrono::seconds(1000)};
  std::vector<control::membership> Members;
  std::size_t Dead = SIZE_MAX;
};

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

// An instance is replaced. If all endpoints were reassigned, nearly every
// connection in the fleet would be set up again at that moment.
Test(endpoint_owner, changes_only_for_endpoints_of_a_removed_instance) {
  const auto Before = fleet(12, 4);
  auto After = Before;
  const base::instance_name Gone = After[5].Name;
  After.erase(After.begin() + 5);
  for (std::size_t Endpoint = 0; Endpoint < 200; ++Endpoint)
    if (owner(Endpoint, Before) != Gone)
      cr_assert(owner(Endpoint, Before) == owner(Endpoint, After));
}

// Names of instances differ in a letter or two. A weak hash would assign most
// endpoints to one of them, which would become the fleet's bottleneck.
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

// An instance dies. Within a second no statements are forwarded to it.
Test(endpoint_owner, skips_an_instance_without_heartbeats) {
  heartbeat_fleet Fleet(6, 16);
  Fleet.run(base::milliseconds(2000));
  const control::membership &First = Fleet.Members.front();
  cr_assert(ownersAmong(First, Fleet.Now).size() == 5);
  Fleet.Dead = 3;
  Fleet.run(base::milliseconds(900));
  cr_assert(ownersAmong(First, Fleet.Now).size() == 4);
}

// Guards against several owners of an endpoint in a fleet where each instance
// receives only few heartbeats directly.
Test(endpoint_owner, agrees_in_a_fleet_with_relays) {
  heartbeat_fleet Fleet(60, 16);
  Fleet.run(base::milliseconds(20'000));
  cr_assert(Fleet.disputed(20) == 0, "%zu", Fleet.disputed(20));
}

// Guards against instances that disagree on an owner because they saw the
// others join and leave in a different order.
Test(endpoint_owner, is_the_same_whatever_changes_led_to_the_candidates) {
  const auto All = fleet(12, 3);
  const std::vector<std::vector<std::size_t>> Steps = {
      {0}, {0, 3, 5}, {3, 5}, {1, 2, 3, 5, 8, 11}, {2, 8}, {}, {4, 7, 9}};
  for (std::size_t Endpoint = 0; Endpoint < 60; ++Endpoint) {
    const std::string Name = "i-" + std::to_string(Endpoint);
    const std::string Zone = "z" + std::to_string(Endpoint % 4);
    std::vector<owner_candidate> Before;
    base::instance_name Owner;
    for (const auto &Step : Steps) {
      const auto After = some(All, Step);
      const auto *Next =
          ownerAfter(Name, Zone, Owner, changesBetween(Before, After), After);
      const auto *Expected = ownerOf(Name, Zone, After);
      cr_assert(Next == Expected);
      Owner = Next == nullptr ? "" : Next->Name;
      Before = After;
    }
  }
}
