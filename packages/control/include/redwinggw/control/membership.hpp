#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/storage/store.hpp"
#include "redwinggw/wire/message.hpp"
#include "redwinggw/wire/replay_window.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

/// Which instances there are and what they say, from the platform's lagging
/// list and heartbeats. Decisions only; peer_service.hpp is the shell.
namespace redwinggw::control {

/// Who this instance is.
struct peer_identity {
  base::instance_name Name;
  base::zone_name Zone;
  /// Wall clock (ms) at start: grows from start to start.
  std::uint64_t Incarnation = 0;
};

/// Times and bounds of the heartbeats.
struct membership_limits {
  base::milliseconds Interval{200};
  /// Up to so many others each heartbeat goes to all of them.
  std::size_t DirectLimit = 16;
  /// Beyond that, one chosen evenly is asked each so often, and answers.
  base::milliseconds GossipInterval{250};
  /// An instance is heard while what it said is at most so old.
  base::milliseconds HearBound{600};
  base::milliseconds GossipHearBound{2500};
  base::milliseconds SuspectAfter{700};
  base::milliseconds DeadAfter{2000};
  base::milliseconds GossipDeadAfter{6000};
  /// Take in instances that are not listed but sign rightly, until the next
  /// list. Guards against an instance that joins right before the list cannot
  /// be read any more: nobody would answer it, and it would refuse its callers
  /// until the list is back. Safe, since a longer list only asks for more.
  bool AcceptStrangers = false;
  /// Switched off by tests only: judge age by arrival, not by the echo.
  bool AgeByEcho = true;
  /// Switched off by tests only: instances that have not read the store since
  /// their start count for a majority too.
  bool OnlyInformedCount = true;
};

enum class member_state { Alive, Suspect, Dead, Leaving };
std::string_view memberStateName(member_state State);

/// Another instance.
struct member {
  base::instance_name Name;
  base::zone_name Zone;
  http::address Address;
  bool ListedLeaving = false;
  member_state State = member_state::Suspect;
  wire::replay_window Window;
  /// Sequence of the newest heartbeat.
  std::uint64_t Heartbeat = 0;
  /// Its last report was made at this time or later: the time when the
  /// heartbeat left that it echoes. Relayed knowledge counts here too.
  std::optional<base::instant> HeardAt;
  /// When its newest heartbeat arrived. Nothing: none yet.
  std::optional<base::instant> ArrivedAt;
  /// The newest report and the earliest time when it can have been made.
  wire::peer_report Report;
  std::optional<base::instant> ReportAt;
  /// It had read the store since its start, at HeardAt.
  bool Informed = false;
  /// Highest head version that it is known to know.
  base::config_version KnownHead = 0;
  /// When it came onto the list.
  base::instant Since;
};

/// What is known about the store, from own reads and by relay.
struct store_knowledge {
  /// Highest configuration version that anybody saw in the store.
  base::config_version HeadVersion = 0;
  /// At this time or later HeadVersion was the head.
  std::optional<base::instant> ProofAt;
  /// The last answer of the store: to us; to one that told us so itself; and
  /// to one that told one that told us. Never too early. It goes no further:
  /// the time on the way adds to the error, and news that went round among
  /// the instances would look younger with each hop, so that a share giver
  /// would take a long outage for its end.
  std::optional<base::instant> OwnContactAt;
  std::optional<base::instant> HeardContactAt;
  std::optional<base::instant> RelayedContactAt;
  /// Our own last read was sent then.
  std::optional<base::instant> ReadAt;
};

/// Datagrams that had no effect, by reason.
struct membership_counters {
  std::uint64_t Heartbeats = 0;
  std::uint64_t Foreign = 0;
  std::uint64_t Misaddressed = 0;
  std::uint64_t Doubled = 0;
  std::uint64_t Former = 0;
  std::uint64_t Crossed = 0;
};

/// A datagram to send.
struct peer_send {
  http::address To;
  wire::datagram Datagram;
};

/// Not thread safe.
struct membership {
  peer_identity Self;
  membership_limits Limits;
  /// Sorted by name, without this instance.
  std::vector<member> Members;
  /// True once a list was read.
  bool ListKnown = false;
  /// Hash of all names on it with this one, and the place of this one.
  std::uint32_t ListHash = 0;
  std::size_t SelfIndex = 0;
  store_knowledge Store;
  membership_counters Counters;
  /// The own part of each heartbeat, as setLocal of the shell left it.
  wire::peer_report Local;
  std::uint64_t Sequence = 0;
  /// Counts the choices of an instance to ask.
  std::uint32_t Round = 0;
  std::optional<base::instant> LastTick;
  /// When the last own datagrams left, by sequence modulo the size.
  static constexpr std::size_t SentSlots = 4096;
  std::vector<base::instant> SentAt;
};

/// A membership that knows of nobody else.
membership makeMembership(peer_identity Self, membership_limits Limits = {});

/// A datagram of ours with the next sequence number.
wire::datagram stamp(membership &Membership, std::string_view Receiver,
                     base::instant Now);

/// Takes in the platform's list: new ones are suspect until heard, removed
/// ones are forgotten.
void onList(membership &Membership,
            const std::vector<storage::listed_instance> &Listed,
            base::instant Now);

/// Takes in the sender of a datagram that is not listed, if strangers are
/// accepted.
void onStranger(membership &Membership, const wire::datagram &Datagram,
                const http::address &From, base::instant Now);

/// Recognises late, crossed, doubled and misaddressed datagrams. True when
/// \p Datagram may have an effect. Call once for each that arrives.
bool admitDatagram(membership &Membership, const wire::datagram &Datagram);

/// Takes in a heartbeat that admitDatagram let pass; answers what to send.
/// A heartbeat older than the newest of its sender changes nothing.
std::vector<peer_send> onHeartbeat(membership &Membership,
                                   const wire::datagram &Datagram,
                                   base::instant Now);

/// How long to wait between two readings of the list. It grows with the fleet,
/// so that all together read it at most 32 times a second: with one reading a
/// second each, 790 instances would take a large part of the store's reads.
base::milliseconds listInterval(const membership &Membership);

/// The heartbeats that are due. Call at least every Interval.
std::vector<peer_send> onTick(membership &Membership, base::instant Now);

/// A last heartbeat to all known, with the leaving mark.
std::vector<peer_send> onLeave(membership &Membership, base::instant Now);

/// Notes an own read of the store that was sent at \p Sent, answered at
/// \p Answered and showed \p Head as the version of the configuration.
void onStoreRead(membership &Membership, base::instant Sent,
                 base::instant Answered, base::config_version Head);

/// Notes any other answer of the store.
void onStoreContact(membership &Membership, base::instant Answered);

/// The member called \p Name, null when there is none.
const member *findMember(const membership &Membership, std::string_view Name);

/// True when \p Member said something at \p Now - HearBound or later.
bool isHeard(const membership &Membership, const member &Member,
             base::instant Now);

/// Instances on the list, this one included.
std::size_t instanceCount(const membership &Membership);

/// True when more than half of the instances on the list are heard, this one
/// included. An instance that has not read the store since its start does not
/// count: it cannot know what its predecessor knew.
bool hearsMajority(const membership &Membership, base::instant Now);

/// True when more than half of the instances said that they know of head
/// version \p Version or a higher one. An acceptance is answered to the
/// operator after this holds: then no instance can take the store for down
/// since before it.
bool majorityKnows(const membership &Membership, base::config_version Version);

/// No answer of the store that we know of came later than this.
std::optional<base::instant> lastContact(const store_knowledge &Store);

/// True when more than half of the instances got a heartbeat that we sent at
/// \p Since or later.
bool majorityGot(const membership &Membership, base::instant Since);

} // namespace redwinggw::control
