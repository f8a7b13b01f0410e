#pragma once

#include "redwinggw/session/endpoint_owner.hpp"
#include "redwinggw/session/owner_group.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

/// Assigns endpoints to the instances that own their connections by capacity.
/// Decisions without I/O.
///
/// Uses weighted rendezvous hashing: each endpoint has an order of the
/// candidates, in which a candidate is first with a probability equal to its
/// part of the capacity. Those of the endpoint's availability zone precede all
/// others. An endpoint goes to the first candidate in its order that is below
/// its bound.
namespace redwinggw::session {

/// An endpoint that needs an owner.
struct owned_endpoint {
  base::endpoint_name Name;
  base::zone_name Zone;

  friend bool operator==(const owned_endpoint &,
                         const owned_endpoint &) = default;
};

/// Who holds the connections to an endpoint; a name is empty where there are
/// too few candidates.
struct connection_owners {
  base::instance_name Owner;
  /// Takes over while the owner cannot be used.
  base::instance_name Standby;

  friend bool operator==(const connection_owners &,
                         const connection_owners &) = default;
};

/// The owners of \p Endpoints, in the same order. An instance owns at most 1.5
/// times its part of its zone's endpoints by capacity, rounded up, and as much
/// of those in zones without a candidate. A missing capacity, or one that is no
/// positive number, counts as the median of the known ones. The result depends
/// on what is given only, not on its order, on earlier results or on the
/// machine. Takes time proportional to the number of endpoints times that of
/// the candidates of their zones. Precondition: names are unique. Thread safe.
std::vector<connection_owners>
assignOwners(const std::vector<owned_endpoint> &Endpoints,
             const std::vector<owner_candidate> &Candidates);

/// The last assignment and what it was computed from. Not thread safe.
struct owner_assignment {
  std::vector<owned_endpoint> Endpoints;
  std::vector<owner_candidate> Candidates;
  /// The owners of Endpoints, in the same order.
  std::vector<connection_owners> Owners;
  /// The endpoints of each availability zone with its candidates; empty where
  /// the owners cannot be kept up to date one candidate at a time.
  std::map<base::zone_name, owner_group, std::less<>> Groups;
  /// How many places of candidates in orders of endpoints were computed.
  std::uint64_t Places = 0;
};

/// Brings \p Assignment up to date if the endpoints or the candidates differ
/// from those that it was computed from: the owners are those of assignOwners.
/// Endpoints that changed, or a zone without two candidates, need that
/// computation; a candidate that changed costs one visit of the endpoints of
/// its zone for it and for each candidate whose bound changes with it.
/// \returns the positions of the endpoints whose owner or standby may have
/// changed; nothing if nothing differs.
std::optional<std::vector<std::size_t>>
updateAssignment(owner_assignment &Assignment,
                 std::vector<owned_endpoint> Endpoints,
                 std::vector<owner_candidate> Candidates);

/// The same for endpoints that are known to be the same.
std::optional<std::vector<std::size_t>>
updateCandidates(owner_assignment &Assignment,
                 std::vector<owner_candidate> Candidates);

/// Who holds the connections to \p Endpoint; no names if it is not known.
/// Precondition: the endpoints are sorted by name.
connection_owners ownersOf(const owner_assignment &Assignment,
                           std::string_view Endpoint);

} // namespace redwinggw::session
