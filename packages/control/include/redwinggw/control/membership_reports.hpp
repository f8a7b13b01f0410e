#pragma once

#include "redwinggw/control/membership.hpp"

/// Builds the reports that heartbeats carry, and applies received ones.
/// Internal to membership.
namespace redwinggw::control {

/// The report of this instance about itself at \p Now, without the echo and the
/// digest of others.
wire::peer_report localReport(const membership &Membership, base::instant Now);

/// The digest of other instances for \p Receiver: another relay gets those of
/// this instance's availability zone, an instance that this one relays for gets
/// all.
///
/// An instance whose version in force is higher than the one here is left out,
/// since what it knows cannot be relayed yet. So a receiver that counts an
/// instance as in contact because of this digest also knows what it knew.
wire::fleet_digest digestFor(const membership &Membership,
                             const member &Receiver, wire::digest_scope Scope,
                             base::instant Now);

/// Rebuilds ByHash from Members.
void indexList(membership &Membership);

/// Applies the report that \p Member just sent. \p MadeAt is the earliest time
/// when it can have been made, if that is known.
void applyReport(membership &Membership, member &Member,
                 std::optional<base::instant> MadeAt, base::instant Now);

} // namespace redwinggw::control
