#pragma once

#include "redwinggw/control/membership.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

/// Which instances relay for the others of their availability zone. Decisions
/// without I/O.
///
/// In a small fleet each instance is a relay: it sends its heartbeats to all
/// others. In a larger one an availability zone has two. The others of the zone
/// report to both and learn of the fleet from their answers; the relays of all
/// zones send each other heartbeats. So an instance that is no relay sends and
/// receives as many messages in a fleet of any size.
///
/// Each instance chooses by itself: relays are the first in rank of those that
/// answer. Whoever is asked answers, so instances that choose differently for a
/// moment still hear each other.
namespace redwinggw::control {

/// Whether the fleet is too large for each instance to hear each other one.
bool usesRelays(const membership &Membership);

/// Whether \p A comes before \p B in the choice of relays and of the reader of
/// the store: by capacity, then by name.
bool ranksBefore(const member &A, const member &B);

/// This instance as a member, for its rank.
member selfAsMember(const membership &Membership);

/// Whether \p Member said something directly at \p Now - RelayTimeout or later.
bool isInDirectContact(const membership &Membership, const member &Member,
                       base::instant Now);

/// Whether \p Member reports to this instance as to its relay.
bool reportsHere(const member &Member);

struct heartbeat_plan {
  /// Whether this instance is a relay.
  bool Relay = true;
  /// The members that get its heartbeats, by their place in the list.
  std::vector<std::size_t> Targets;
};

/// To whom this instance sends its next heartbeats, and as what.
heartbeat_plan planHeartbeats(const membership &Membership, base::instant Now);

/// The relays of all availability zones, by their place in the list.
std::vector<std::size_t> allRelays(const membership &Membership,
                                   base::instant Now);

/// Notes that a heartbeat to \p Member leaves at \p Now. One that has not
/// answered for RelayTimeout is passed over for a while.
void recordHeartbeatSent(const membership &Membership, member &Member,
                         base::instant Now);

/// Notes that something came from \p Member itself at \p Now.
void recordHeartbeatReceived(member &Member, base::instant Now);

} // namespace redwinggw::control
