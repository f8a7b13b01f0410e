#pragma once

#include "redwinggw/control/membership.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

/// Chooses the instances that relay membership for the others of their
/// availability zone. Decisions without I/O.
///
/// In a small fleet each instance sends its heartbeats to all others; it counts
/// as a relay here, though it passes on nothing. In a larger one each
/// availability zone has two relays. The others of the zone report to both and
/// receive the state of the fleet in their answers; the relays of all zones
/// send each other heartbeats. So the number of messages of an instance that is
/// no relay does not depend on the fleet's size.
///
/// Each instance chooses on its own: relays are the highest-ranked of those
/// that answer. An instance answers every report, so instances that choose
/// differently for a moment still stay in contact.
namespace redwinggw::control {

/// Whether the fleet is too large for all instances to exchange heartbeats
/// directly.
bool usesRelays(const membership &Membership);
/// The same for a fleet of which only the number of the other instances is
/// known.
bool usesRelays(std::size_t Others, const membership_limits &Limits);

/// Rank for the choice of relays and of the instance that reads the store for
/// others: higher capacity first, then by name.
bool ranksBefore(const member &A, const member &B);

/// This instance as a member, to compare its rank.
member selfAsMember(const membership &Membership);

/// Whether a heartbeat from \p Member itself arrived at \p Now - RelayTimeout
/// or later.
bool isInDirectContact(const membership &Membership, const member &Member,
                       base::instant Now);

/// Whether \p Member uses this instance as its relay.
bool reportsHere(const member &Member);

struct heartbeat_plan {
  /// Whether this instance is a relay.
  bool Relay = true;
  /// Indices in Members of the receivers of its heartbeats.
  std::vector<std::size_t> Targets;
};

/// The receivers of this instance's next heartbeats, and whether it sends them
/// as a relay.
heartbeat_plan planHeartbeats(const membership &Membership, base::instant Now);

/// The relays of all availability zones, as indices in Members.
std::vector<std::size_t> allRelays(const membership &Membership,
                                   base::instant Now);

/// Whether a heartbeat to \p Member at \p Now carries log positions. All do up
/// to 16 others. In a larger fleet an instance gets them with each answer of
/// the relay that it requests shared reads from, and a zone from the first
/// relay of each other zone; the other relays repeat them less often, so that
/// the loss of a relay leaves no long gap. \p Answers: the heartbeat answers a
/// report of
/// \p Member.
bool carriesPositions(const membership &Membership, const member &Member,
                      bool Answers, base::instant Now);

/// Removes from \p Positions, of a report to a relay, those that a relay has
/// sent here: all relays have them. Their ages are as of \p Now.
void removeRelayedPositions(const membership &Membership,
                            std::vector<wire::position_report> &Positions,
                            base::instant Now);

/// Removes from \p Positions, of an answer to \p Member, those of services that
/// it does not use, if it told which it uses.
void keepNeededPositions(const member &Member,
                         std::vector<wire::position_report> &Positions);

/// Records that a heartbeat to \p Member is sent at \p Now. A member that has
/// not answered for RelayTimeout is skipped for RelaySkipTime.
void recordHeartbeatSent(const membership &Membership, member &Member,
                         base::instant Now);

/// Records that a heartbeat from \p Member itself arrived at \p Now.
void recordHeartbeatReceived(member &Member, base::instant Now);

} // namespace redwinggw::control
