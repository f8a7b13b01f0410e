#pragma once

#include "redwinggw/control/membership.hpp"

/// What heartbeats carry and what is learnt from them; parts of membership.
namespace redwinggw::control {

/// True when there are too many others to send each heartbeat to all.
bool isGossiping(const membership &Membership);

/// Another instance, chosen evenly and differently by each: in a common
/// rotation all would ask the same one, and news would hardly spread.
/// Precondition: there is one.
const member &nextPeer(membership &Membership);

/// The report of this instance at \p Now, without echo and relay.
wire::peer_report localReport(const membership &Membership, base::instant Now);

/// What to relay: the members that are heard.
wire::heard_map heardMap(const membership &Membership, base::instant Now);

/// Makes ListHash and SelfIndex match the members.
void indexList(membership &Membership);

/// Takes in the report that \p Member just sent. \p MadeAt is the earliest
/// time when it can have been made, if that is known.
void learn(membership &Membership, member &Member,
           std::optional<base::instant> MadeAt, base::instant Now);

} // namespace redwinggw::control
