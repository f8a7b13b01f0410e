#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/control/membership.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

/// Decides which instance owns the connections to an endpoint. Decisions
/// without I/O.
namespace redwinggw::session {

/// An instance that could own connections to endpoints, unlike
/// control::owner_candidate, which could own token buckets.
struct owner_candidate {
  owner_candidate(base::instance_name Name, base::zone_name Zone,
                  double Capacity = 0);

  base::instance_name Name;
  base::zone_name Zone;
  /// Compared with other instances; 0 if it is not known. Used by
  /// assignOwners only.
  double Capacity;
  /// rendezvousHash of the name.
  std::uint32_t Hash;

  friend bool operator==(const owner_candidate &,
                         const owner_candidate &) = default;
};

/// Whether statements may be forwarded to \p Member: it is up, not leaving, and
/// its last heartbeat is recent. In a fleet with relays heartbeats take longer,
/// and the member's state alone decides. Thread safe.
bool mayOwn(const control::membership &Membership,
            const control::member &Member, base::instant Now);

/// The members that may own connections, sorted by name. Thread safe.
std::vector<owner_candidate> ownersAmong(const control::membership &Membership,
                                         base::instant Now);

/// The owner of \p Endpoint, which is in \p Zone: an instance of that
/// availability zone if there is one, so that statements cross zones once. Uses
/// rendezvous hashing: each instance computes the owner alone, all that know
/// the same candidates agree, and only the endpoints of an instance that joins
/// or leaves change their owner. If two instances consider themselves the
/// owner, both hold connections, and nothing else goes wrong. Null without
/// candidates. Thread safe.
const owner_candidate *ownerOf(std::string_view Endpoint, std::string_view Zone,
                               const std::vector<owner_candidate> &Candidates);

/// How a list of candidates differs from an earlier one.
struct candidate_changes {
  std::vector<owner_candidate> Joined;
  std::vector<owner_candidate> Left;

  bool none() const { return Joined.empty() && Left.empty(); }
};

/// The changes from \p Before to \p After. Precondition: both are sorted by
/// name. Thread safe.
candidate_changes changesBetween(const std::vector<owner_candidate> &Before,
                                 const std::vector<owner_candidate> &After);

/// The same result as ownerOf, computed from the owner before \p Changes; empty
/// if there was none. Compares that owner with those that joined only, unless
/// it left. Thread safe.
const owner_candidate *
ownerAfter(std::string_view Endpoint, std::string_view Zone,
           std::string_view OwnerBefore, const candidate_changes &Changes,
           const std::vector<owner_candidate> &Candidates);

} // namespace redwinggw::session
