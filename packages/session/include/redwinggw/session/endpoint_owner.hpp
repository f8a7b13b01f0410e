#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/control/membership.hpp"

#include <string_view>
#include <vector>

/// Which instance owns the connections to an endpoint. Decisions without I/O.
namespace redwinggw::session {

/// An instance that could own connections.
struct owner_candidate {
  base::instance_name Name;
  base::zone_name Zone;

  friend bool operator==(const owner_candidate &,
                         const owner_candidate &) = default;
};

/// Whether statements may be passed on to \p Member: it is up, does not leave,
/// and was heard a moment ago; with relays, as long ago as their news takes.
/// Thread safe.
bool mayOwn(const control::membership &Membership,
            const control::member &Member, base::instant Now);

/// The members that may own connections. Thread safe.
std::vector<owner_candidate> ownersAmong(const control::membership &Membership,
                                         base::instant Now);

/// The owner of \p Endpoint, which stands in \p Zone: an instance of that
/// availability zone where there is one, so that statements cross zones once.
/// Rendezvous hashing: each instance works it out alone, all that know the same
/// candidates agree, and only the endpoints of an instance that comes or goes
/// change hands. Where two believe to be the owner, both hold connections, and
/// nothing else goes wrong. Null without candidates. Thread safe.
const owner_candidate *ownerOf(std::string_view Endpoint, std::string_view Zone,
                               const std::vector<owner_candidate> &Candidates);

} // namespace redwinggw::session
