#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// What a relay reports about other instances; docs/PEERS.md specifies the
/// protocol.
namespace redwinggw::wire {

/// Flags of an instance; bits of relayed_member::Facts.
enum class relayed_fact : std::uint8_t {
  /// It has read the store since its start.
  ReadStoreSinceStart = 1,
  /// It knows the HeadVersion of the report that carries this digest.
  KnowsHead = 2,
  /// Its version in force is the Version of that report or a later one.
  KnowsVersion = 4,
  /// It received an answer from the store recently.
  RecentStoreContact = 8,
  /// Its demand is included in the digest's sums.
  Counted = 16,
  Leaving = 32,
  /// It has used centralized buckets for a while.
  CentralizesBuckets = 64,
  /// Only Silence and Leaving are valid: the sender must not vouch for what the
  /// instance knows.
  AliveOnly = 128,
};

/// What the sender knows of another instance.
struct relayed_member {
  /// hashOf the instance's name.
  std::uint32_t Instance = 0;
  /// Upper bound of the age of its latest report, in steps of AgeStepMs,
  /// rounded up.
  std::uint8_t Age = 0;
  /// Time since its latest report arrived at the relay that it reports to, in
  /// the same steps, rounded down. Age is a proof and counts the way there and
  /// back; this is the better estimate of whether the instance is up.
  std::uint8_t Silence = 0;
  std::uint8_t Facts = 0;

  friend bool operator==(const relayed_member &,
                         const relayed_member &) = default;
};

constexpr unsigned AgeStepMs = 10;
constexpr unsigned MaxAgeSteps = UINT8_MAX;

/// Whether \p Member has \p Fact. Thread safe.
constexpr bool hasFact(const relayed_member &Member, relayed_fact Fact) {
  return (Member.Facts & static_cast<std::uint8_t>(Fact)) != 0;
}

/// Sets \p Fact of \p Member if \p Holds; never clears it.
constexpr void setFact(relayed_member &Member, relayed_fact Fact, bool Holds) {
  const auto Bit = static_cast<std::uint8_t>(Fact);
  if (Holds)
    Member.Facts = static_cast<std::uint8_t>(Member.Facts | Bit);
}

/// The demand of several instances for a customer's rate.
struct demand_sum {
  /// hashOf the customer's name.
  std::uint32_t Customer = 0;
  /// Operations per second of the instances in contact.
  float Rate = 0;

  friend bool operator==(const demand_sum &, const demand_sum &) = default;
};

/// The share of a customer's rate that stays reserved for instances that are
/// not in contact ("silent").
struct silent_sum {
  /// hashOf the customer's name.
  std::uint32_t Customer = 0;
  /// Their demand in their last reports.
  float Rate = 0;
  /// Their share.
  float Reserved = 0;
  /// The part of Reserved that belongs to instances silent for a long time.
  float LongSilent = 0;

  friend bool operator==(const silent_sum &, const silent_sum &) = default;
};

/// Which entries of a list are sent: all (Base is 0), or those that changed
/// after version Base, where an entry without demand stands for a removal. A
/// list without a Version is sent as a whole.
struct list_range {
  std::uint32_t Base = 0;
  std::uint32_t Version = 0;

  friend bool operator==(const list_range &, const list_range &) = default;
};

/// Demand sums over several instances. A customer in neither list has no
/// demand.
struct demand_digest {
  /// Number of instances included in the sums, and number of instances that
  /// have never reported.
  std::uint16_t Contributors = 0;
  std::uint16_t NeverSeen = 0;
  std::vector<demand_sum> Sums;
  std::vector<silent_sum> Silent;
  /// Of Sums and Silent.
  list_range Range;

  friend bool operator==(const demand_digest &,
                         const demand_digest &) = default;
};

/// Number of instances that cannot use a group's primary.
struct suspicion_count {
  std::string Group;
  std::string Primary;
  std::uint16_t Count = 0;

  friend bool operator==(const suspicion_count &,
                         const suspicion_count &) = default;
};

/// Which instances a digest covers.
enum class digest_scope : std::uint8_t {
  None,
  /// The instances of the sender's availability zone that report to it.
  Zone,
  /// All instances, the receiver included.
  Fleet,
};

/// Members without their names, for a receiver that has the same list of
/// instances.
struct packed_members {
  /// Hash of the list; 0: unused.
  std::uint64_t List = 0;
  /// Position of the first entry in the list.
  std::uint16_t First = 0;
  /// Instance is not sent.
  std::vector<relayed_member> Entries;

  friend bool operator==(const packed_members &,
                         const packed_members &) = default;
};

struct fleet_digest {
  digest_scope Scope = digest_scope::None;
  std::vector<relayed_member> Members;
  demand_digest Demands;
  std::vector<suspicion_count> Suspicions;
  /// In place of Members.
  packed_members Packed;

  friend bool operator==(const fleet_digest &, const fleet_digest &) = default;
};

} // namespace redwinggw::wire
