#include "redwinggw/session/owner_assignment.hpp"

#include "owner_cost.hpp"

#include "redwinggw/control/rendezvous.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <numeric>
#include <string_view>
#include <tuple>
#include <utility>

namespace redwinggw::session {
namespace {

/// A candidate with its weight.
struct weighted_candidate {
  const owner_candidate *Candidate;
  std::uint64_t Weight;
  double InverseWeight;
  std::size_t Owned = 0;
  /// Most endpoints that it may own, and most while another candidate is below
  /// its PreferredBound.
  std::size_t Bound = 0;
  std::size_t PreferredBound = 0;
};

using candidate_refs = std::vector<weighted_candidate *>;
/// Indices of endpoints.
using endpoint_refs = std::vector<std::size_t>;

/// Sorted by name.
std::vector<weighted_candidate>
weigh(const std::vector<owner_candidate> &Candidates) {
  const std::uint64_t Median = medianWeight(Candidates);
  std::vector<weighted_candidate> Weighted;
  Weighted.reserve(Candidates.size());
  for (const owner_candidate &Candidate : Candidates) {
    const std::uint64_t Known = weightOf(Candidate.Capacity);
    const std::uint64_t Weight = Known == 0 ? Median : Known;
    Weighted.push_back({&Candidate, Weight, 1 / static_cast<double>(Weight)});
  }
  std::ranges::sort(Weighted, {}, [](const weighted_candidate &Candidate) {
    return std::string_view(Candidate.Candidate->Name);
  });
  return Weighted;
}

std::uint64_t totalWeight(const candidate_refs &Candidates) {
  std::uint64_t Total = 0;
  for (const weighted_candidate *Candidate : Candidates)
    Total += Candidate->Weight;
  return Total;
}

/// Raises the bounds of \p Candidates by their part of \p Endpoints.
void raiseBounds(const candidate_refs &Candidates, std::size_t Endpoints) {
  const std::uint64_t Total = totalWeight(Candidates);
  for (weighted_candidate *Candidate : Candidates) {
    const owner_bounds Bounds = boundsOf(Candidate->Weight, Total,
                                         Candidate->Candidate->Hash, Endpoints);
    Candidate->Bound += Bounds.Bound;
    Candidate->PreferredBound += Bounds.Preferred;
  }
}

void computeCosts(std::uint32_t EndpointHash, const candidate_refs &Candidates,
                  std::vector<double> &Costs) {
  Costs.resize(Candidates.size());
  std::ranges::transform(
      Candidates, Costs.begin(), [&](const weighted_candidate *Candidate) {
        return placeCost(EndpointHash, Candidate->Candidate->Hash,
                         Candidate->InverseWeight);
      });
}

constexpr std::size_t None = SIZE_MAX;

/// The index of the least of \p Costs among those that \p Counts accepts, the
/// first of equal ones, whose name is the lowest; None if there is none.
template <typename Predicate>
std::size_t leastCost(const std::vector<double> &Costs, Predicate Counts) {
  std::size_t Best = None;
  for (std::size_t Index = 0; Index < Costs.size(); ++Index)
    if ((Best == None || Costs[Index] < Costs[Best]) && Counts(Index))
      Best = Index;
  return Best;
}

/// The candidate that follows \p Owner in the order; the first one if \p Owner
/// is the last. None without another candidate.
std::size_t nextAfter(const std::vector<double> &Costs, std::size_t Owner) {
  const std::size_t Next = leastCost(Costs, [&](std::size_t Index) {
    return std::pair(Costs[Index], Index) > std::pair(Costs[Owner], Owner);
  });
  return Next != None ? Next : leastCost(Costs, [&](std::size_t Index) {
    return Index != Owner;
  });
}

/// What an assignment is computed from and into.
struct assignment_state {
  const std::vector<owned_endpoint> &Endpoints;
  std::vector<weighted_candidate> Candidates;
  std::vector<std::uint32_t> Hashes;
  std::vector<connection_owners> Owners;
  std::vector<double> Costs;
};

/// The best candidate outside of \p Zone for an endpoint.
base::instance_name standbyOutside(assignment_state &State,
                                   std::size_t Endpoint,
                                   std::string_view Zone) {
  candidate_refs Others;
  for (weighted_candidate &Candidate : State.Candidates)
    if (Candidate.Candidate->Zone != Zone)
      Others.push_back(&Candidate);
  computeCosts(State.Hashes[Endpoint], Others, State.Costs);
  const std::size_t Best =
      leastCost(State.Costs, [](std::size_t) { return true; });
  return Best == None ? "" : Others[Best]->Candidate->Name;
}

void assignEndpoint(assignment_state &State, std::size_t Endpoint,
                    const candidate_refs &Candidates) {
  connection_owners &Owners = State.Owners[Endpoint];
  computeCosts(State.Hashes[Endpoint], Candidates, State.Costs);
  std::size_t Owner = leastCost(State.Costs, [&](std::size_t Index) {
    return Candidates[Index]->Owned < Candidates[Index]->PreferredBound;
  });
  if (Owner == None)
    Owner = leastCost(State.Costs, [&](std::size_t Index) {
      return Candidates[Index]->Owned < Candidates[Index]->Bound;
    });
  ++Candidates[Owner]->Owned;
  Owners.Owner = Candidates[Owner]->Candidate->Name;
  const std::size_t Standby = nextAfter(State.Costs, Owner);
  Owners.Standby =
      Standby != None
          ? Candidates[Standby]->Candidate->Name
          : standbyOutside(State, Endpoint, Candidates[Owner]->Candidate->Zone);
}

/// Assigns \p Endpoints among \p Candidates in an order that does not depend on
/// other endpoints, so that one more or less changes little.
void assignGroup(assignment_state &State, endpoint_refs Endpoints,
                 const candidate_refs &Candidates) {
  raiseBounds(Candidates, Endpoints.size());
  std::ranges::sort(Endpoints, {}, [&](std::size_t Endpoint) {
    return std::tuple(State.Hashes[Endpoint],
                      std::string_view(State.Endpoints[Endpoint].Name));
  });
  for (const std::size_t Endpoint : Endpoints)
    assignEndpoint(State, Endpoint, Candidates);
}

} // namespace

std::vector<connection_owners>
assignOwners(const std::vector<owned_endpoint> &Endpoints,
             const std::vector<owner_candidate> &Candidates) {
  assignment_state State{Endpoints, weigh(Candidates), {}, {}, {}};
  State.Owners.resize(Endpoints.size());
  if (Candidates.empty())
    return std::move(State.Owners);
  std::map<std::string_view, candidate_refs> Zones;
  candidate_refs All;
  for (weighted_candidate &Candidate : State.Candidates) {
    Zones[Candidate.Candidate->Zone].push_back(&Candidate);
    All.push_back(&Candidate);
  }
  std::map<std::string_view, endpoint_refs> InZones;
  endpoint_refs Elsewhere;
  for (std::size_t Index = 0; Index < Endpoints.size(); ++Index) {
    const owned_endpoint &Endpoint = Endpoints[Index];
    State.Hashes.push_back(control::rendezvousHash(Endpoint.Name));
    (Zones.contains(Endpoint.Zone) ? InZones[Endpoint.Zone] : Elsewhere)
        .push_back(Index);
  }
  for (auto &[Zone, Indices] : InZones)
    assignGroup(State, std::move(Indices), Zones.at(Zone));
  assignGroup(State, std::move(Elsewhere), All);
  return std::move(State.Owners);
}

namespace {

/// The candidates of each availability zone with their weights, sorted by name.
std::map<std::string_view, std::vector<weighted_owner>>
candidatesByZone(const std::vector<weighted_candidate> &Weighted) {
  std::map<std::string_view, std::vector<weighted_owner>> Zones;
  for (const weighted_candidate &Candidate : Weighted)
    Zones[Candidate.Candidate->Zone].push_back(
        {Candidate.Candidate, Candidate.Weight});
  return Zones;
}

/// The endpoints of each availability zone with their present owners, in the
/// order of precedence.
std::map<std::string_view, std::vector<group_seed>>
seedsByZone(const owner_assignment &Assignment) {
  std::map<std::string_view, std::vector<group_seed>> Zones;
  for (std::size_t Index = 0; Index < Assignment.Endpoints.size(); ++Index) {
    const owned_endpoint &Endpoint = Assignment.Endpoints[Index];
    const connection_owners &Owners = Assignment.Owners[Index];
    Zones[Endpoint.Zone].push_back({control::rendezvousHash(Endpoint.Name),
                                    static_cast<std::uint32_t>(Index),
                                    Owners.Owner, Owners.Standby});
  }
  for (auto &[Zone, Seeds] : Zones)
    std::ranges::sort(Seeds, {}, [&](const group_seed &Seed) {
      return std::tuple(
          Seed.Hash,
          std::string_view(Assignment.Endpoints[Seed.Position].Name));
    });
  return Zones;
}

/// Sets up the groups from the owners; none if one of them cannot be kept up to
/// date: endpoints of a zone without candidates are shared out among all.
void buildGroups(owner_assignment &Assignment,
                 const std::vector<weighted_candidate> &Weighted) {
  Assignment.Groups.clear();
  const auto Candidates = candidatesByZone(Weighted);
  for (const auto &[Zone, Seeds] : seedsByZone(Assignment)) {
    const auto Found = Candidates.find(Zone);
    owner_group &Group = Assignment.Groups[std::string(Zone)];
    if (Found == Candidates.end() || !buildGroup(Group, Seeds, Found->second)) {
      Assignment.Groups.clear();
      return;
    }
    Assignment.Places += Group.Places;
  }
}

/// How many places assignOwners computes.
std::uint64_t placesOfAll(const owner_assignment &Assignment) {
  std::map<std::string_view, std::uint64_t> Candidates;
  for (const owner_candidate &Candidate : Assignment.Candidates)
    ++Candidates[Candidate.Zone];
  std::uint64_t Places = 0;
  for (const owned_endpoint &Endpoint : Assignment.Endpoints) {
    const auto Found = Candidates.find(Endpoint.Zone);
    Places += Found == Candidates.end() ? Assignment.Candidates.size()
                                        : Found->second;
  }
  return Places;
}

std::vector<std::size_t> assignAgain(owner_assignment &Assignment) {
  Assignment.Owners = assignOwners(Assignment.Endpoints, Assignment.Candidates);
  Assignment.Places += placesOfAll(Assignment);
  buildGroups(Assignment, weigh(Assignment.Candidates));
  std::vector<std::size_t> All(Assignment.Endpoints.size());
  std::iota(All.begin(), All.end(), std::size_t{0});
  return All;
}

/// Copies the owners of an endpoint from its group. Returns its position.
std::size_t copyOwners(owner_assignment &Assignment, const owner_group &Group,
                       std::uint32_t Endpoint) {
  const group_endpoint &Entry = Group.Endpoints[Endpoint];
  Assignment.Owners[Entry.Position] = {
      Group.Candidates[Entry.Owner].Candidate.Name,
      Group.Candidates[Entry.Standby].Candidate.Name};
  return Entry.Position;
}

/// Updates each group. Nothing if all owners have to be computed again.
std::optional<std::vector<std::size_t>>
updateGroups(owner_assignment &Assignment) {
  std::vector<std::size_t> Positions;
  const auto Weighted = weigh(Assignment.Candidates);
  const auto Candidates = candidatesByZone(Weighted);
  for (auto &[Zone, Group] : Assignment.Groups) {
    const auto Found = Candidates.find(Zone);
    std::vector<std::uint32_t> Changed;
    const std::uint64_t Before = Group.Places;
    if (Found == Candidates.end() ||
        !updateGroup(Group, Found->second, Changed))
      return std::nullopt;
    Assignment.Places += Group.Places - Before;
    std::ranges::transform(Changed, std::back_inserter(Positions),
                           [&](std::uint32_t Endpoint) {
                             return copyOwners(Assignment, Group, Endpoint);
                           });
  }
  return Positions;
}

} // namespace

std::optional<std::vector<std::size_t>>
updateAssignment(owner_assignment &Assignment,
                 std::vector<owned_endpoint> Endpoints,
                 std::vector<owner_candidate> Candidates) {
  if (Assignment.Endpoints == Endpoints)
    return updateCandidates(Assignment, std::move(Candidates));
  Assignment.Endpoints = std::move(Endpoints);
  Assignment.Candidates = std::move(Candidates);
  return assignAgain(Assignment);
}

std::optional<std::vector<std::size_t>>
updateCandidates(owner_assignment &Assignment,
                 std::vector<owner_candidate> Candidates) {
  if (Assignment.Candidates == Candidates)
    return std::nullopt;
  Assignment.Candidates = std::move(Candidates);
  if (!Assignment.Groups.empty())
    if (auto Positions = updateGroups(Assignment))
      return Positions;
  return assignAgain(Assignment);
}

connection_owners ownersOf(const owner_assignment &Assignment,
                           std::string_view Endpoint) {
  const auto Found = std::ranges::lower_bound(
      Assignment.Endpoints, Endpoint, std::less{}, &owned_endpoint::Name);
  if (Found == Assignment.Endpoints.end() || Found->Name != Endpoint)
    return {};
  return Assignment
      .Owners[static_cast<std::size_t>(Found - Assignment.Endpoints.begin())];
}

} // namespace redwinggw::session
