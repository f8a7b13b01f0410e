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
#include <utility>
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
  /// How much work it can take compared with others; instances with more relay
  /// for those with less.
  double Capacity = 0;
};

/// Times and bounds of the heartbeats.
struct membership_limits {
  base::milliseconds Interval{200};
  /// Up to so many others each heartbeat goes to all of them; beyond that
  /// relays.hpp says to whom.
  std::size_t DirectLimit = 16;
  /// An instance is heard while what it said is at most so old.
  base::milliseconds ContactTimeout{600};
  base::milliseconds SuspectAfter{700};
  base::milliseconds DeadAfter{2000};
  /// The same where there are relays: what they tell is up to three heartbeats
  /// old.
  base::milliseconds RelayedContactTimeout{1000};
  base::milliseconds RelayedSuspectAfter{1300};
  base::milliseconds RelayedDeadAfter{2600};
  /// A relay that is silent for so long is passed over, and asked again after
  /// RelaySkipTime.
  base::milliseconds RelayTimeout{650};
  base::milliseconds RelaySkipTime{3000};
  /// An instance whose last answer of the store is older does not read it for
  /// others.
  base::milliseconds MaxStoreContactAge{2500};
  /// Take in instances that are not listed but sign rightly, until the next
  /// list. Guards against an instance that joins right before the list cannot
  /// be read any more: nobody would answer it, and it would refuse its callers
  /// until the list is back. Safe, since a longer list only asks for more.
  bool AcceptUnlisted = false;
  /// Switched off by tests only: judge age by arrival, not by the echo.
  bool AgeByEcho = true;
  /// Switched off by tests only: instances that have not read the store since
  /// their start count for a majority too.
  bool RequireStoreReadSinceStart = true;
};

enum class member_state { Alive, Suspect, Dead, Leaving };
std::string_view memberStateName(member_state State);

/// Another instance.
struct member {
  base::instance_name Name;
  base::zone_name Zone;
  http::address Address;
  bool ListedLeaving = false;
  /// A relay told that it leaves.
  bool RelayedLeaving = false;
  member_state State = member_state::Suspect;
  wire::replay_window Window;
  /// Sequence of the newest heartbeat.
  std::uint64_t Heartbeat = 0;
  /// Its last report was made at this time or later: the time when the
  /// heartbeat left that it echoes. Relayed knowledge counts here too.
  std::optional<base::instant> LastSeenAt;
  /// When its newest heartbeat arrived, here or at a relay, as far as is known.
  /// Nothing: none yet.
  std::optional<base::instant> ArrivedAt;
  /// When its newest heartbeat arrived here.
  std::optional<base::instant> DirectHeartbeatAt;
  /// \name As a relay, or one that may be
  /// @{
  double Capacity = 0;
  /// Since when it has left our heartbeats unanswered.
  std::optional<base::instant> UnansweredSince;
  std::optional<base::instant> SkippedUntil;
  /// @}
  /// It had gathered rates for a while, at LastSeenAt.
  bool CentralizesBuckets = false;
  /// It had an answer of the store at this time or later.
  std::optional<base::instant> StoreContactAt;
  /// Highest version in force there that is known, and the highest that it can
  /// have known of at LastSeenAt.
  base::config_version KnownVersion = 0;
  base::config_version PossibleVersion = 0;
  /// The newest report and the earliest time when it can have been made.
  wire::peer_report Report;
  std::optional<base::instant> ReportAt;
  /// It had read the store since its start, at LastSeenAt.
  bool ReadStoreSinceStart = false;
  /// Highest head version that it is known to know.
  base::config_version KnownHead = 0;
  /// When it came onto the list.
  base::instant ListedSince;
};

/// What is known about the store, from own reads and by relay.
struct store_observations {
  /// Highest configuration version that anybody saw in the store.
  base::config_version HeadVersion = 0;
  /// At this time or later HeadVersion was the head.
  std::optional<base::instant> HeadReadAt;
  /// The last answer of the store: to us; to one that told us so itself; and
  /// to one that told one that told us. Never too early. It goes no further:
  /// the time on the way adds to the error, and news that went round among
  /// the instances would look younger with each hop, so that a share giver
  /// would take a long outage for its end.
  std::optional<base::instant> OwnContactAt;
  std::optional<base::instant> PeerContactAt;
  std::optional<base::instant> TwoHopContactAt;
  /// Our own last read was sent then.
  std::optional<base::instant> ReadAt;
};

/// Datagrams that had no effect, by reason.
struct membership_counters {
  std::uint64_t Heartbeats = 0;
  std::uint64_t UnknownSender = 0;
  std::uint64_t Misaddressed = 0;
  std::uint64_t Duplicate = 0;
  std::uint64_t FormerIncarnation = 0;
  std::uint64_t Reordered = 0;
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
  /// The place of each member by the hash of its name, sorted.
  std::vector<std::pair<std::uint32_t, std::size_t>> ByHash;
  /// Whether this instance relays, as of the last heartbeats.
  bool Relay = true;
  /// False: this instance passes on nothing of others, since it does not take
  /// in all that they tell.
  bool RelaysReports = true;
  /// Somebody told of an instance that is not on the list.
  bool UnlistedReported = false;
  /// What this instance passes on of others beside their ages, as the shell
  /// left it: to other relays, and to the instances that it relays for.
  wire::fleet_digest ZoneDigest;
  wire::fleet_digest FleetDigest;
  store_observations Store;
  membership_counters Counters;
  /// The own part of each heartbeat, as the shell left it at LocalAt.
  wire::peer_report Local;
  base::instant LocalAt = base::instant::min();
  std::uint64_t Sequence = 0;
  std::optional<base::instant> LastTick;
  /// When the last own datagrams left, by sequence modulo the size.
  static constexpr std::size_t SentSlots = 4096;
  std::vector<base::instant> SentAt;
};

/// A membership that knows of nobody else.
membership makeMembership(peer_identity Self, membership_limits Limits = {});

/// A datagram of ours with the next sequence number.
wire::datagram nextDatagram(membership &Membership, std::string_view Receiver,
                            base::instant Now);

/// Takes in the platform's list: new ones are suspect until heard, removed
/// ones are forgotten.
void onList(membership &Membership,
            const std::vector<storage::listed_instance> &Listed,
            base::instant Now);

/// Takes in the sender of a datagram that is not listed, if strangers are
/// accepted.
void onUnlistedInstance(membership &Membership, const wire::datagram &Datagram,
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

/// Whether onTick would send heartbeats.
bool isTickDue(const membership &Membership, base::instant Now);

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

/// The member whose name has \p Hash, null when there is none.
const member *findByHash(const membership &Membership, std::uint32_t Hash);

/// Whether \p Member had an answer of the store lately and may read it for
/// others.
bool hasRecentStoreContact(const membership &Membership, const member &Member,
                           base::instant Now);

/// True when \p Member said something at \p Now - ContactTimeout or later.
bool isInContact(const membership &Membership, const member &Member,
                 base::instant Now);

/// Instances on the list, this one included.
std::size_t instanceCount(const membership &Membership);

/// True when more than half of the instances on the list are heard, this one
/// included. An instance that has not read the store since its start does not
/// count: it cannot know what its predecessor knew.
bool inContactWithMajority(const membership &Membership, base::instant Now);

/// True when more than half of the instances said that they know of head
/// version \p Version or a higher one. An acceptance is answered to the
/// operator after this holds: then no instance can take the store for down
/// since before it.
bool majorityKnows(const membership &Membership, base::config_version Version);

/// No answer of the store that we know of came later than this.
std::optional<base::instant> lastStoreContact(const store_observations &Store);

/// True when more than half of the instances got a heartbeat that we sent at
/// \p Since or later.
bool majorityReceivedSince(const membership &Membership,
                           base::instant ListedSince);

} // namespace redwinggw::control
