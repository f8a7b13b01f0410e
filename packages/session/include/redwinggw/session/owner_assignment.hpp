#pragma once

#include "redwinggw/session/endpoint_owner.hpp"

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

/// The last assignment and what it was computed from.
struct owner_assignment {
  std::vector<owned_endpoint> Endpoints;
  std::vector<owner_candidate> Candidates;
  std::vector<connection_owners> Owners;
};

/// Recomputes \p Assignment if the endpoints or the candidates differ from
/// those that it was computed from. True if it did.
bool updateAssignment(owner_assignment &Assignment,
                      std::vector<owned_endpoint> Endpoints,
                      std::vector<owner_candidate> Candidates);

} // namespace redwinggw::session
