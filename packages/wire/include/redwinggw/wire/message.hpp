#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/wire/fleet_digest.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Messages between instances and their form in datagrams; docs/PEERS.md
/// states the protocol.
namespace redwinggw::wire {

/// Age in milliseconds; NoAge stands for "never".
using age_ms = std::uint32_t;
constexpr age_ms NoAge = UINT32_MAX;

/// A hybrid logical clock's value as it travels.
struct clock_value {
  std::int64_t Wall = 0;
  std::uint32_t Count = 0;

  friend auto operator<=>(const clock_value &, const clock_value &) = default;
};

/// What an instance sees of one database group.
struct group_report {
  base::group_name Group;
  base::term_number Term = 0;
  base::endpoint_name Primary;
  /// The sender cannot work with the primary.
  bool Suspect = false;
  /// A new primary is being made: Primary is the one given up.
  bool Moving = false;
  /// Who orders or ordered the promotion; empty where that is not told.
  base::instance_name Orderer;

  friend bool operator==(const group_report &, const group_report &) = default;
};

/// How much of a customer's rate the sender needs.
struct demand_report {
  /// hashOf the customer's name: a name would be most of the entry.
  std::uint32_t Customer = 0;
  /// Operations a second, smoothed, served or not.
  float Rate = 0;
  /// Whole tokens of the customer's rate that the sender could lend.
  std::uint8_t Spare = 0;

  friend bool operator==(const demand_report &,
                         const demand_report &) = default;
};

/// A place in a group's log that covers all commits acknowledged before it.
struct position_report {
  /// hashOf the group's name.
  std::uint32_t Group = 0;
  base::term_number Term = 0;
  base::log_position Position = 0;
  /// How long ago the sender asked for it.
  age_ms Age = NoAge;

  friend bool operator==(const position_report &,
                         const position_report &) = default;
};

/// A heartbeat: what an instance says of itself and relays of others.
struct peer_report {
  base::zone_name Zone;
  /// Version of the configuration in force at the sender.
  base::config_version Version = 0;
  /// Age of the sender's own last read of the store; NoAge: none since start.
  age_ms StoreReadAge = NoAge;
  /// Highest version that the sender or anybody it heard saw in the store.
  base::config_version HeadVersion = 0;
  /// At least so long ago HeadVersion was read as the head: never too young.
  age_ms HeadReadAge = NoAge;
  /// At most so long ago the sender itself had an answer of the store, and one
  /// of those that told it so themselves: never too old.
  age_ms OwnContactAge = NoAge;
  age_ms PeerContactAge = NoAge;
  /// The highest heartbeat that the sender had from the receiver.
  std::uint64_t EchoIncarnation = 0;
  std::uint64_t EchoSequence = 0;
  bool Leaving = false;
  /// The receiver shall answer at once.
  bool WantsReply = false;
  /// The receiver relays for the sender.
  bool Reports = false;
  /// The receiver shall pass readings of the store on to the sender.
  bool WantsSharedReads = false;
  /// The sender has gathered rates for a while.
  bool CentralizesBuckets = false;
  /// Only groups that are suspect or were moved.
  std::vector<group_report> Groups;
  /// Only in fleets too large for each to hear each directly.
  fleet_digest Digest;
  /// Row of the operators' configuration in force at the sender, and the newest
  /// that it knows to exist; 0: unused.
  std::uint64_t ConfigurationRow = 0;
  std::uint64_t NewestRow = 0;
  std::vector<demand_report> Demands;
  std::vector<position_report> Positions;
};

/// The numbers travel: one that was used before is not given to another kind.
enum class shared_read_kind : std::uint8_t {
  Endpoints = 0,
  /// The endpoints' list is still the one whose digest is told.
  EndpointsUnchanged = 2,
};

/// What one instance has read from the store for others, in the form in which
/// the store keeps it.
struct shared_store_read {
  shared_read_kind Kind = shared_read_kind::Endpoints;
  /// It has been passed on: the receiver keeps it for itself.
  bool Relayed = false;
  std::string Text;
};

enum class share_kind : std::uint8_t {
  Request,  ///< Tokens: wanted
  Grant,    ///< Tokens: given, for good where rates are divided by demand;
            ///< WaitUs: until they may be used, or until there are any
  Released, ///< the lease of the partition is free for the receiver
  Moved,    ///< the receiver of the request gives no shares of this partition,
            ///< or does not keep the bucket
  Take,     ///< asks the keeper of a bucket for an operation's token; WaitUs:
            ///< how long the operation can wait for it
};

/// One customer's part of a share message.
struct share_entry {
  base::customer_name Customer;
  float Tokens = 0;
  /// Microseconds until a token can be there; 0 when all wanted are given.
  std::uint32_t WaitUs = 0;
  /// Microseconds for which a grant counts, from the sending of the request.
  std::uint32_t TtlUs = 0;
  /// Of the operation that a request is for; 0 is the highest.
  std::uint8_t Priority = 0;
};

/// A request for tokens, or the answer to one, which repeats its number.
struct share_message {
  share_kind Kind = share_kind::Request;
  std::uint16_t Partition = 0;
  /// Incarnation of the requester and its unique number of this request.
  std::uint64_t Incarnation = 0;
  std::uint64_t Number = 0;
  /// Moved: who gives them, if the sender knows.
  base::instance_name Allocator;
  std::vector<share_entry> Entries;
};

/// What one datagram carries.
struct datagram {
  base::instance_name Sender;
  base::instance_name Receiver;
  /// Grows with each start of the sender.
  std::uint64_t Incarnation = 0;
  /// Grows with each datagram of one incarnation.
  std::uint64_t Sequence = 0;
  clock_value Clock;
  std::variant<peer_report, share_message, shared_store_read> Body;
};

/// A short stand-in for an instance's name. The same on every machine.
std::uint32_t hashOf(std::string_view Name);

/// The signed bytes of \p Datagram. Thread safe.
std::string encode(std::string_view FleetKey, const datagram &Datagram);

/// Reads what encode wrote. Nothing when the bytes were cut short, changed, or
/// signed with another key. Thread safe.
std::optional<datagram> decode(std::string_view FleetKey,
                               std::string_view Bytes);

} // namespace redwinggw::wire
