#pragma once

#include "redwinggw/control/membership.hpp"

/// What heartbeats carry and what is learnt from them; parts of membership.
namespace redwinggw::control {

/// The report of this instance at \p Now, without echo and relay.
wire::peer_report localReport(const membership &Membership, base::instant Now);

/// What to pass on to \p Receiver: of its availability zone to another relay,
/// of all to an instance that this one relays for.
///
/// It never hides news: an instance whose version in force is beyond the one
/// here is left out, since what it knows cannot be passed on yet. Whoever
/// counts it as heard by this digest knows what it knew.
wire::fleet_digest digestFor(const membership &Membership,
                             const member &Receiver, wire::digest_scope Scope,
                             base::instant Now);

/// Makes ByHash match the members.
void indexList(membership &Membership);

/// Takes in the report that \p Member just sent. \p MadeAt is the earliest
/// time when it can have been made, if that is known.
void applyReport(membership &Membership, member &Member,
                 std::optional<base::instant> MadeAt, base::instant Now);

} // namespace redwinggw::control
