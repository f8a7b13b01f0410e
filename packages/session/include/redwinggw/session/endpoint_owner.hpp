#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/control/membership.hpp"

#include <string_view>
#include <vector>

/// Decides which instance owns the connections to an endpoint. Decisions
/// without I/O.
namespace redwinggw::session {

/// An instance that could own connections to endpoints, unlike
/// control::owner_candidate, which could own token buckets.
struct owner_candidate {
  base::instance_name Name;
  base::zone_name Zone;

  friend bool operator==(const owner_candidate &,
                         const owner_candidate &) = default;
};

/// Whether statements may be forwarded to \p Member: it is up, not leaving, and
/// its last heartbeat is recent. In a fleet with relays heartbeats take longer,
/// and the member's state alone decides. Thread safe.
bool mayOwn(const control::membership &Membership,
            const control::member &Member, base::instant Now);

/// The members that may own connections. Thread safe.
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

} // namespace redwinggw::session
