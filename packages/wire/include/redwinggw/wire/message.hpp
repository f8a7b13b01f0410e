#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/wire/fleet_digest.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Messages between instances and their datagram format; docs/PEERS.md
/// specifies the protocol.
namespace redwinggw::wire {

/// Age in milliseconds; NoAge stands for "never".
using age_ms = std::uint32_t;
constexpr age_ms NoAge = UINT32_MAX;

/// A hybrid logical clock value as it is sent.
struct clock_value {
  std::int64_t Wall = 0;
  std::uint32_t Count = 0;

  friend auto operator<=>(const clock_value &, const clock_value &) = default;
};

/// What an instance reports about one database group.
struct group_report {
  base::group_name Group;
  base::term_number Term = 0;
  base::endpoint_name Primary;
  /// The sender cannot use the primary.
  bool Suspect = false;
  /// A new primary is being promoted; Primary is the one that is given up.
  bool Moving = false;
  /// The instance that orders or ordered the promotion; empty if not reported.
  base::instance_name Orderer;
  /// Newest term of the group's log whose primary is agreed on, where Term is
  /// not one of the log; 0 if it is not reported. Sent after everything else.
  base::term_number LogTerm = 0;

  friend bool operator==(const group_report &, const group_report &) = default;
};

/// The sender's demand for a customer's rate.
struct demand_report {
  /// hashOf the customer's name; the name itself would be most of the entry.
  std::uint32_t Customer = 0;
  /// Operations per second, smoothed, whether served or not.
  float Rate = 0;
  /// Whole tokens of the customer's rate that the sender could transfer.
  std::uint8_t Spare = 0;

  friend bool operator==(const demand_report &,
                         const demand_report &) = default;
};

/// A log position of a group that covers all commits acknowledged before it.
struct position_report {
  /// hashOf the group's name.
  std::uint32_t Group = 0;
  base::term_number Term = 0;
  base::log_position Position = 0;
  /// How long ago the sender asked for the position.
  age_ms Age = NoAge;

  friend bool operator==(const position_report &,
                         const position_report &) = default;
};

/// A heartbeat: what an instance reports about itself, and relays about others.
struct peer_report {
  base::zone_name Zone;
  /// Version of the configuration in force at the sender.
  base::config_version Version = 0;
  /// Age of the sender's own last read of the store; NoAge: none since its
  /// start.
  age_ms StoreReadAge = NoAge;
  /// Highest version in the store that the sender has read or received from
  /// another instance.
  base::config_version HeadVersion = 0;
  /// Age of the last read that showed HeadVersion as the head; rounded up, so
  /// that it never looks more recent than it was.
  age_ms HeadReadAge = NoAge;
  /// Age of the last answer of the store to the sender itself, and to any
  /// instance that reported one directly to the sender; rounded down, so that
  /// it never looks older than it was.
  age_ms OwnContactAge = NoAge;
  age_ms PeerContactAge = NoAge;
  /// The newest heartbeat that the sender received from the receiver.
  std::uint64_t EchoIncarnation = 0;
  std::uint64_t EchoSequence = 0;
  bool Leaving = false;
  /// The receiver must answer at once.
  bool WantsReply = false;
  /// The receiver acts as a relay for the sender.
  bool Reports = false;
  /// The receiver must relay shared store reads to the sender.
  bool WantsSharedReads = false;
  /// The sender has used centralized buckets for a while.
  bool CentralizesBuckets = false;
  /// Only groups that are suspect or whose primary was replaced.
  std::vector<group_report> Groups;
  /// Only in fleets too large for all instances to exchange heartbeats
  /// directly.
  fleet_digest Digest;
  /// Row of the operators' configuration in force at the sender, and the newest
  /// one that it knows of; 0: unused.
  std::uint64_t ConfigurationRow = 0;
  std::uint64_t NewestRow = 0;
  /// The evacuated availability zones, as of this version of the store; 0:
  /// unknown.
  std::uint64_t EvacuationVersion = 0;
  std::vector<std::string> EvacuatedZones;
  std::vector<demand_report> Demands;
  std::vector<position_report> Positions;
  /// \name Changes in place of whole lists
  ///
  /// Sent after everything else and only if ReadsChanges is set, so that builds
  /// that do not know these fields ignore them. Such a receiver gets whole
  /// lists.
  /// @{
  bool ReadsChanges = false;
  /// Hash of the sender's list of instances; 0: it has none.
  std::uint64_t List = 0;
  list_range DemandRange;
  /// The versions of the receiver's demands and sums that the sender holds.
  std::uint32_t HeldDemands = 0;
  digest_scope HeldScope = digest_scope::None;
  std::uint32_t HeldSums = 0;
  /// @}
  /// \name What the sender is and needs
  ///
  /// Sent after everything else, with the changes.
  /// @{
  /// Processing capacity of the sender, for a receiver that has not read it in
  /// the list of instances; 0: not told, nor are the services.
  double Capacity = 0;
  /// hashOf the names of the groups whose log positions it uses, sorted.
  std::vector<std::uint32_t> Services;
  /// @}
};

/// The numbers are sent: a number that was used before must not be reused for
/// another kind.
enum class shared_read_kind : std::uint8_t {
  Endpoints = 0,
  /// The list of endpoints is unchanged; Text holds its digest.
  EndpointsUnchanged = 2,
  /// Changes to the list that the sender sent or received last.
  EndpointChanges = 3,
  /// Requests the list of endpoints whose digest is Text, in full. A receiver
  /// that has another one does not answer.
  EndpointsRequest = 4,
};

/// What one instance has read from the store on behalf of others.
struct shared_store_read {
  shared_read_kind Kind = shared_read_kind::Endpoints;
  /// It has been relayed already: the receiver does not relay it any further.
  bool Relayed = false;
  /// A read that exceeds a datagram is sent in parts: the store's version at
  /// the read, which is the same for all its parts, the number of this part
  /// from 0, and how many there are.
  std::uint64_t Version = 0;
  std::uint16_t Part = 0;
  std::uint16_t Parts = 1;
  std::string Text;
};

enum class share_kind : std::uint8_t {
  Request,  ///< Tokens: requested
  Grant,    ///< Tokens: granted, permanently where rates are divided by demand;
            ///< WaitUs: until they may be used, or until there are any
  Released, ///< the lease of the partition is free for the receiver
  Moved,    ///< the receiver of the request is not the share allocator of this
            ///< partition, or not the bucket owner
  Take,     ///< asks the bucket owner for the token of one operation; WaitUs:
            ///< how long the operation can wait for it
  TakeReserve, ///< the same, of the successor of a bucket owner that does not
               ///< answer; the token comes out of its reserve
};

/// The entry of one customer in a share message.
struct share_entry {
  base::customer_name Customer;
  float Tokens = 0;
  /// Microseconds until a token can be available; 0 when all requested tokens
  /// are granted.
  std::uint32_t WaitUs = 0;
  /// Validity of a grant in microseconds, from the sending of the request.
  std::uint32_t TtlUs = 0;
  /// Priority of the operation that a request is for; 0 is the highest.
  std::uint8_t Priority = 0;
};

/// A request for tokens, or the answer to one, which carries the same Number.
struct share_message {
  share_kind Kind = share_kind::Request;
  std::uint16_t Partition = 0;
  /// Incarnation of the requester and its unique number for this request.
  std::uint64_t Incarnation = 0;
  std::uint64_t Number = 0;
  /// Moved: the share allocator of the partition, if the sender knows it.
  /// Take: the bucket owner to which the receiver relays the request; empty:
  /// the receiver itself.
  base::instance_name Allocator;
  std::vector<share_entry> Entries;
  /// The sender reads the short form. Sent after everything else, so that
  /// builds that do not know it ignore it.
  bool ReadsShortForm = false;
};

/// Names of sender and receiver in a datagram of the short form.
struct name_hashes {
  /// hashOf the names.
  std::uint32_t Sender = 0;
  std::uint32_t Receiver = 0;
};

/// The content of one datagram.
struct datagram {
  /// Set in a datagram of the short form, which does not carry the two names.
  /// After decode these are empty then.
  std::optional<name_hashes> Hashes;
  base::instance_name Sender;
  base::instance_name Receiver;
  /// Grows with each start of the sender.
  std::uint64_t Incarnation = 0;
  /// Grows with each datagram of one incarnation.
  std::uint64_t Sequence = 0;
  clock_value Clock;
  std::variant<peer_report, share_message, shared_store_read> Body;
};

/// A short hash that stands for a name, the same on every machine.
std::uint32_t hashOf(std::string_view Name);

/// Whether the short form can carry \p Message: one entry at most, and only
/// what a request for one operation's token and its answer need. It takes about
/// half of the bytes. Builds that do not read it drop it, as of an unknown
/// format.
bool fitsShortForm(const share_message &Message);

/// The signed bytes of \p Datagram. Thread safe.
std::string encode(std::string_view FleetKey, const datagram &Datagram);

/// Decodes the result of encode. Empty when the bytes are truncated, modified
/// or signed with another key. Thread safe.
std::optional<datagram> decode(std::string_view FleetKey,
                               std::string_view Bytes);

} // namespace redwinggw::wire
