#pragma once

#include "redwinggw/control/membership.hpp"

/// Builds the reports that heartbeats carry, and applies received ones.
/// Internal to membership.
namespace redwinggw::control {

/// Unit of the ages and silences that relays report.
constexpr base::milliseconds AgeStep{wire::AgeStepMs};

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

/// Publishes the demands and sums that the owner last set. While one instance
/// owns each bucket, demands decide only when contact is lost, and a change
/// that is small for its customer may wait for a second.
void publishLists(membership &Membership, base::instant Now);

/// Completes \p Report to \p Receiver with changes in place of whole lists, if
/// the fleet uses relays; a receiver that does not read changes gets whole
/// lists.
void writeChanges(const membership &Membership, const member &Receiver,
                  wire::peer_report &Report);

/// Puts packed members back into Members of \p Digest. Ignores them if they
/// refer to another list of instances than the one here: the sender learns of
/// the difference from the next heartbeat.
void unpackMembers(const membership &Membership, wire::fleet_digest &Digest);

/// Rebuilds ByHash and the order of the list from Members.
void indexList(membership &Membership);

/// Applies the report that \p Member just sent. \p MadeAt is the earliest time
/// when it can have been made, if that is known.
void applyReport(membership &Membership, member &Member,
                 std::optional<base::instant> MadeAt, base::instant Now);

} // namespace redwinggw::control
