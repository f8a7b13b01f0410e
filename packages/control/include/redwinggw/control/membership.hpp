#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/demand_changes.hpp"
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

/// Group membership: which instances exist and what they report, from the
/// platform's instance list, which lags behind, and from heartbeats. Decisions
/// without I/O; peer_service.hpp adds the sockets and timers.
namespace redwinggw::control {

/// Who this instance is.
struct peer_identity {
  base::instance_name Name;
  base::zone_name Zone;
  /// Wall clock (ms) at start, so that it grows with each restart.
  std::uint64_t Incarnation = 0;
  /// Relative processing capacity. Instances with a higher capacity are
  /// preferred as relays.
  double Capacity = 0;
};

/// Heartbeat intervals, timeouts and limits.
struct membership_limits {
  base::milliseconds Interval{200};
  /// With up to this many other instances, each heartbeat goes to all of them;
  /// in larger fleets relays.hpp chooses the receivers.
  std::size_t DirectLimit = 16;
  /// An instance is in contact while its latest report is at most this old.
  base::milliseconds ContactTimeout{600};
  base::milliseconds SuspectAfter{700};
  base::milliseconds DeadAfter{2000};
  /// The same timeouts in a fleet with relays, whose reports about others are
  /// up to three heartbeats old.
  base::milliseconds RelayedContactTimeout{1000};
  base::milliseconds RelayedSuspectAfter{1300};
  base::milliseconds RelayedDeadAfter{2600};
  /// A relay that has not answered for this long is skipped, and tried again
  /// after RelaySkipTime.
  base::milliseconds RelayTimeout{650};
  base::milliseconds RelaySkipTime{3000};
  /// An instance whose last answer from the store is older than this does not
  /// read the store on behalf of others.
  base::milliseconds MaxStoreContactAge{2500};
  /// Accept instances that are not listed but whose datagrams carry a valid
  /// signature, until the next list is read. Guards against an instance that
  /// joins right before the list becomes unreadable: nobody would answer it,
  /// and it would refuse its callers until the list is readable again. Safe,
  /// since a longer list only raises the number needed for a majority.
  bool AcceptUnlisted = false;
  /// Compute the age of a report from the echoed heartbeat instead of its
  /// arrival. Only tests switch it off.
  bool AgeByEcho = true;
  /// Count only instances that have read the store since their start towards
  /// a majority. Only tests switch it off.
  bool RequireStoreReadSinceStart = true;
};

enum class member_state { Alive, Suspect, Dead, Leaving };
std::string_view memberStateName(member_state State);

/// Another instance.
struct member {
  base::instance_name Name;
  /// wire::hashOf and rendezvousHash of the name; set by indexList.
  std::uint32_t NameHash = 0;
  std::uint32_t RendezvousHash = 0;
  base::zone_name Zone;
  http::address Address;
  bool ListedLeaving = false;
  /// A relay reported that it is leaving.
  bool RelayedLeaving = false;
  member_state State = member_state::Suspect;
  wire::replay_window Window;
  /// Sequence number of the newest heartbeat.
  std::uint64_t Heartbeat = 0;
  /// Lower bound of the time when its last report was made: the time at which
  /// the heartbeat that it echoes was sent. Relayed reports count too.
  std::optional<base::instant> LastSeenAt;
  /// When its newest heartbeat arrived, here or at a relay, as far as is known.
  /// Empty before the first one.
  std::optional<base::instant> ArrivedAt;
  /// When its newest heartbeat arrived, here or at a relay. A relayed time is
  /// dated from the arrival of the relay's datagram: an estimate by which
  /// instances count as up, and no proof of what they know.
  std::optional<base::instant> HeardAt;
  /// When its newest heartbeat arrived here.
  std::optional<base::instant> DirectHeartbeatAt;
  /// \name State as a relay or a candidate for one
  /// @{
  double Capacity = 0;
  /// Send time of the first heartbeat that it has not answered.
  std::optional<base::instant> UnansweredSince;
  std::optional<base::instant> SkippedUntil;
  /// @}
  /// At LastSeenAt it had used centralized buckets for a while.
  bool CentralizesBuckets = false;
  /// It received an answer from the store at this time or later.
  std::optional<base::instant> StoreContactAt;
  /// Highest version known to be in force there.
  base::config_version KnownVersion = 0;
  /// At LastSeenAt it knew of no higher version than this. While this is above
  /// the version in force here, digests leave the member out.
  base::config_version PossibleVersion = 0;
  /// The newest report and a lower bound of the time when it was made.
  wire::peer_report Report;
  std::optional<base::instant> ReportAt;
  /// At LastSeenAt it had read the store at least once since its start.
  bool ReadStoreSinceStart = false;
  /// Highest head version that it knows of, as far as it or a relay reported.
  base::config_version KnownHead = 0;
  /// When log positions were last sent to it.
  std::optional<base::instant> PositionsSentAt;
  /// Its last share message said that it reads the short form, or was in it.
  bool ReadsShortForm = false;
  /// When the first datagram of the short form was sent to it after its last
  /// share message.
  std::optional<base::instant> ShortFormSince;
  /// When it was added to Members.
  base::instant ListedSince;
  /// Its row was in the list; false for one that is known by its heartbeats.
  bool Listed = false;
};

/// What is known about the store, from own reads and from the reports of
/// other instances.
struct store_observations {
  /// Highest configuration version that any instance has read from the store.
  base::config_version HeadVersion = 0;
  /// HeadVersion was still the head at this time or later.
  std::optional<base::instant> HeadReadAt;
  /// \name Upper bounds of the time of the last answer of the store
  ///
  /// Reports are not passed on any further than to TwoHopContactAt: the transit
  /// time adds to the error at each hop, so a report that circulated among the
  /// instances would look ever more recent, and a share allocator would mistake
  /// a long outage for one that has ended.
  /// @{
  /// The last answer to this instance.
  std::optional<base::instant> OwnContactAt;
  /// The last answer to another instance, as that one reported it.
  std::optional<base::instant> PeerContactAt;
  /// The last answer to an instance that reported it to one which passed it on.
  std::optional<base::instant> TwoHopContactAt;
  /// @}
  /// When this instance's own last read was sent.
  std::optional<base::instant> ReadAt;
};

/// Until when a contact with a majority holds, as far as is known. Each
/// statement depends on that contact, and it would have to visit all members.
struct majority_contact {
  /// What can only lengthen the contact, and what can shorten it: counts of
  /// reports, and of changes of the list, restarts and the like.
  std::uint64_t Gains = 1;
  std::uint64_t Losses = 1;
  /// Gains and Losses at which Until was computed. It is a lower bound after
  /// later gains, and not valid any more after a loss.
  std::uint64_t KnownGains = 0;
  std::uint64_t KnownLosses = 0;
  /// Nothing: there is no contact.
  std::optional<base::instant> Until;
  /// How many members were visited for it since the start.
  std::uint64_t Visits = 0;
};

/// Heartbeats that had an effect, and datagrams that had none, by reason.
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

/// The other instances as this one sees them. Not thread safe.
struct membership {
  peer_identity Self;
  membership_limits Limits;
  /// Sorted by name, without this instance.
  std::vector<member> Members;
  /// True once a list has been read.
  bool ListKnown = false;
  /// Hash of each member's name with its index in Members, sorted.
  std::vector<std::pair<std::uint32_t, std::size_t>> ByHash;
  /// All instances, this one included, ordered by zone and name: wire::hashOf
  /// their names. Digests list members in this order.
  std::vector<std::uint32_t> ListOrder;
  /// Position in ListOrder of the first instance of the own zone, and how many
  /// there are.
  std::size_t ZoneFirst = 0;
  std::size_t ZoneCount = 0;
  /// Hash of the zones and names in ListOrder; 0 without a list. Instances with
  /// the same hash have the same order.
  std::uint64_t ListHash = 0;
  /// Grows whenever the list or the state of a member changes.
  std::uint64_t StatesVersion = 1;
  /// Grows whenever Members or their Listed change.
  std::uint64_t ListVersion = 1;
  /// Whether this instance acted as a relay when it last sent heartbeats.
  bool Relay = true;
  /// The receivers of the last heartbeats that were reports; the relays that
  /// this instance uses.
  std::vector<base::instance_name> Relays;
  /// Whether digests vouch for other instances. False while this instance does
  /// not accept everything that those report: an instance that counted them as
  /// in contact by its digests would not learn what it has not accepted.
  bool VouchesForOthers = true;
  /// A relay reported an instance that is not on the list.
  bool UnlistedReported = false;
  /// What this instance relays about others in addition to their ages, as the
  /// owner last set it: to other relays, and to the instances that it relays
  /// for.
  wire::fleet_digest ZoneDigest;
  wire::fleet_digest FleetDigest;
  /// What instances that read changes get of the demands, as of the last tick.
  published_demands PublishedDemands;
  published_sums PublishedZone;
  published_sums PublishedFleet;
  store_observations Store;
  /// Kept by inContactWithMajority.
  mutable majority_contact Contact;
  membership_counters Counters;
  /// What each heartbeat says about this instance itself, as the owner set it
  /// at LocalAt.
  wire::peer_report Local;
  base::instant LocalAt = base::instant::min();
  std::uint64_t Sequence = 0;
  std::optional<base::instant> LastTick;
  /// Send times of the last own datagrams, indexed by sequence number modulo
  /// the size.
  static constexpr std::size_t SentSlots = 4096;
  std::vector<base::instant> SentAt;
};

/// A membership without other members.
membership makeMembership(peer_identity Self, membership_limits Limits = {});

/// A datagram from this instance with the next sequence number; records its
/// send time.
wire::datagram nextDatagram(membership &Membership, std::string_view Receiver,
                            base::instant Now);

/// Applies the platform's instance list: new instances are suspect until their
/// first report, removed ones are dropped.
void onList(membership &Membership,
            const std::vector<storage::listed_instance> &Listed,
            base::instant Now);

/// Adds the sender of a datagram as a member although it is not listed, if
/// AcceptUnlisted is set.
void onUnlistedInstance(membership &Membership, const wire::datagram &Datagram,
                        const http::address &From, base::instant Now);

/// Records that the rows of \p Instances were written to the list.
void markListed(membership &Membership,
                const std::vector<base::instance_name> &Instances);

/// A datagram to \p Receiver that carries \p Message: in the short form if the
/// receiver has shown that it reads it, in a fleet with relays. A receiver that
/// then sends no share message for a moment gets the long form again: it may
/// have been replaced by an older build, which drops the short one. Nothing
/// when \p Receiver is no member.
std::optional<peer_send> shareDatagram(membership &Membership,
                                       std::string_view Receiver,
                                       wire::share_message Message,
                                       base::instant Now);

/// Fills in the names of a datagram of the short form. False when its sender is
/// no member, or when it is for another instance.
bool resolveNames(membership &Membership, wire::datagram &Datagram);

/// Records which form the sender of \p Datagram reads, which carries a share
/// message. Call it after admitDatagram.
void recordShareForm(membership &Membership, const wire::datagram &Datagram);

/// Detects late, reordered, duplicate and misaddressed datagrams. True when
/// \p Datagram may have an effect. Call it once for each that arrives.
bool admitDatagram(membership &Membership, const wire::datagram &Datagram);

/// Applies a heartbeat that admitDatagram accepted and returns the answers to
/// send. A heartbeat older than the newest of its sender changes nothing.
std::vector<peer_send> onHeartbeat(membership &Membership,
                                   const wire::datagram &Datagram,
                                   base::instant Now);

/// Interval between two reads of the list. It grows with the fleet, so that
/// all instances together read the list at most 32 times a second. One read a
/// second by each of 790 instances would take a large part of the store's read
/// capacity.
base::milliseconds listInterval(const membership &Membership);

/// Whether onTick would send heartbeats.
bool isTickDue(const membership &Membership, base::instant Now);

/// The heartbeats that are due. Call at least every Interval.
std::vector<peer_send> onTick(membership &Membership, base::instant Now);

/// A last heartbeat, marked as leaving, to all members that this instance
/// exchanges heartbeats with.
std::vector<peer_send> onLeave(membership &Membership, base::instant Now);

/// Records an own read of the store that was sent at \p Sent, answered at
/// \p Answered and returned \p Head as the version of the configuration.
void onStoreRead(membership &Membership, base::instant Sent,
                 base::instant Answered, base::config_version Head);

/// Records any other answer of the store.
void onStoreContact(membership &Membership, base::instant Answered);

/// The member called \p Name, null when there is none.
const member *findMember(const membership &Membership, std::string_view Name);

/// The member whose name has \p Hash, null when there is none.
const member *findByHash(const membership &Membership, std::uint32_t Hash);

/// Whether \p Member received an answer from the store recently, so that it may
/// read the store for others.
bool hasRecentStoreContact(const membership &Membership, const member &Member,
                           base::instant Now);

/// True when the latest report of \p Member was made at
/// \p Now - ContactTimeout or later.
bool isInContact(const membership &Membership, const member &Member,
                 base::instant Now);

/// Number of instances on the list, this one included.
std::size_t instanceCount(const membership &Membership);

/// True when more than half of the instances on the list, this one included,
/// are in contact. An instance that has not read the store since its start does
/// not count: it cannot know what its predecessor knew. Visits the members only
/// when a known contact has ended, or when none was known and a report arrived.
bool inContactWithMajority(const membership &Membership, base::instant Now);

/// True when more than half of the instances reported that they know of head
/// version \p Version or a higher one. An accepted change is confirmed to the
/// operator only once this holds: from then on no instance can assume that the
/// store has been down since before the change.
bool majorityKnows(const membership &Membership, base::config_version Version);

/// Upper bound of the time of the last known answer of the store to any
/// instance.
std::optional<base::instant> lastStoreContact(const store_observations &Store);

/// True when more than half of the instances, this one included, received a
/// heartbeat that this instance sent at \p Since or later.
bool majorityReceivedSince(const membership &Membership, base::instant Since);

} // namespace redwinggw::control
