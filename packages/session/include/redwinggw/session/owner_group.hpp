#pragma once

#include "redwinggw/session/endpoint_owner.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

/// The owners of one availability zone's endpoints, kept up to date while
/// candidates of that zone join and leave. Decisions without I/O.
///
/// Endpoints have an order of precedence, by the hashes of their names, and
/// each has an order of the candidates. The owners are those of
/// owner_assignment.hpp: no endpoint precedes another one at a candidate that
/// comes earlier in its order than its owner. There is exactly one such
/// assignment, so it does not matter in which steps it is reached. A change
/// visits the endpoints of the zone once for each candidate that joined, left,
/// or whose bound changed; computing all owners again would visit each endpoint
/// for each candidate.
namespace redwinggw::session {

/// An endpoint of the group and its owners, as indices of candidates.
struct group_endpoint {
  std::uint32_t Hash = 0;
  /// Where the caller lists the endpoint.
  std::uint32_t Position = 0;
  std::uint32_t Owner = 0;
  std::uint32_t Standby = 0;
  double OwnerCost = 0;
  double StandbyCost = 0;
};

/// A candidate with its weight; see owner_cost.hpp.
struct group_candidate {
  owner_candidate Candidate;
  std::uint64_t Weight = 0;
  /// Most endpoints that it may own.
  std::size_t Bound = 0;
  /// Indices of its endpoints, those with precedence first.
  std::vector<std::uint32_t> Owned;
  /// False for a former candidate, whose place is used again.
  bool Present = true;
};

/// A candidate as it is given to a group.
struct weighted_owner {
  const owner_candidate *Candidate = nullptr;
  std::uint64_t Weight = 0;
};

/// Not thread safe.
struct owner_group {
  /// In the order of precedence.
  std::vector<group_endpoint> Endpoints;
  std::vector<group_candidate> Candidates;
  /// Indices of the present candidates, sorted by name.
  std::vector<std::uint32_t> ByName;
  /// How many places of candidates in orders of endpoints were computed since
  /// the start.
  std::uint64_t Places = 0;
};

/// What a group is built from, in the order of precedence.
struct group_seed {
  std::uint32_t Hash = 0;
  std::uint32_t Position = 0;
  std::string_view Owner;
  std::string_view Standby;
};

/// Sets up \p Group from a known assignment among \p Candidates, sorted by
/// name. False if the group cannot be kept up to date: it has no standby
/// owners, or its candidates' bounds do not hold all endpoints.
bool buildGroup(owner_group &Group, const std::vector<group_seed> &Seeds,
                const std::vector<weighted_owner> &Candidates);

/// Replaces the candidates, sorted by name, and adds to \p Changed the indices
/// of the endpoints whose owner or standby changed. False if all owners have to
/// be computed again, which costs less after many changes; the group is not
/// valid then.
bool updateGroup(owner_group &Group,
                 const std::vector<weighted_owner> &Candidates,
                 std::vector<std::uint32_t> &Changed);

} // namespace redwinggw::session
