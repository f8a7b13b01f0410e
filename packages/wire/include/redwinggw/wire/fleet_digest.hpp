#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// What a relay passes on about other instances; docs/PEERS.md states the
/// protocol.
namespace redwinggw::wire {

/// What is known of an instance beside its age; bits of relayed_member::Facts.
enum class relayed_fact : std::uint8_t {
  /// It has read the store since its start.
  ReadStoreSinceStart = 1,
  /// It knows the HeadVersion of the report that carries this.
  KnowsHead = 2,
  /// Its version in force is the one of that report or a later one.
  KnowsVersion = 4,
  /// It had an answer of the store lately.
  RecentStoreContact = 8,
  /// Its demand is part of the digest's sums.
  Counted = 16,
  Leaving = 32,
  /// It has gathered rates for a while.
  CentralizesBuckets = 64,
};

/// Another instance, as the sender knows it.
struct relayed_member {
  /// hashOf the instance's name.
  std::uint32_t Instance = 0;
  /// What it said last was said at most so long ago, in steps of AgeStepMs,
  /// rounded up.
  std::uint8_t Age = 0;
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

/// Notes \p Fact of \p Member if \p Holds.
constexpr void setFact(relayed_member &Member, relayed_fact Fact, bool Holds) {
  const auto Bit = static_cast<std::uint8_t>(Fact);
  if (Holds)
    Member.Facts = static_cast<std::uint8_t>(Member.Facts | Bit);
}

/// What several instances need of a customer's rate.
struct demand_sum {
  /// hashOf the customer's name.
  std::uint32_t Customer = 0;
  /// Operations a second of those that are heard.
  float Rate = 0;

  friend bool operator==(const demand_sum &, const demand_sum &) = default;
};

/// The part of a customer's rate that stays with instances that are silent.
struct silent_sum {
  /// hashOf the customer's name.
  std::uint32_t Customer = 0;
  /// Their demand when they were heard last.
  float Rate = 0;
  float Reserved = 0;
  /// What of Reserved is of instances that have been silent for long.
  float LongSilent = 0;

  friend bool operator==(const silent_sum &, const silent_sum &) = default;
};

/// Sums over several instances. An instance that is in no list has no demand.
struct demand_digest {
  /// How many instances the sums hold, and how many were never heard.
  std::uint16_t Contributors = 0;
  std::uint16_t NeverSeen = 0;
  std::vector<demand_sum> Sums;
  std::vector<silent_sum> Silent;

  friend bool operator==(const demand_digest &,
                         const demand_digest &) = default;
};

/// How many instances cannot work with a group's primary.
struct suspicion_count {
  std::string Group;
  std::string Primary;
  std::uint16_t Count = 0;

  friend bool operator==(const suspicion_count &,
                         const suspicion_count &) = default;
};

/// Whom a digest is about.
enum class digest_scope : std::uint8_t {
  None,
  /// The instances of the sender's availability zone that report to it.
  Zone,
  /// All instances, the receiver included.
  Fleet,
};

struct fleet_digest {
  digest_scope Scope = digest_scope::None;
  std::vector<relayed_member> Members;
  demand_digest Demands;
  std::vector<suspicion_count> Suspicions;

  friend bool operator==(const fleet_digest &, const fleet_digest &) = default;
};

} // namespace redwinggw::wire
