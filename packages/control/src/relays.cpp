#include "redwinggw/control/relays.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <numeric>
#include <utility>

namespace redwinggw::control {
namespace {

using base::instant;

/// Number of relays in each availability zone.
constexpr std::size_t RelaysPerZone = 2;
/// Maximum number of members of a zone that are tried as relays while fewer
/// than RelaysPerZone have answered.
constexpr std::size_t MaxCandidates = 4;

bool isSkipped(const member &Member, instant Now) {
  return Member.SkippedUntil && Now < *Member.SkippedUntil;
}

bool isRelayCandidate(const member &Member, instant Now) {
  return !isSkipped(Member, Now) && !Member.ListedLeaving &&
         !Member.Report.Leaving;
}

/// Indices of the members of one availability zone, highest rank first.
using zone_members = std::vector<std::size_t>;

std::map<std::string_view, zone_members>
membersByZone(const membership &Membership) {
  std::map<std::string_view, zone_members> Zones;
  for (std::size_t Index = 0; Index < Membership.Members.size(); ++Index)
    Zones[Membership.Members[Index].Zone].push_back(Index);
  for (auto &[Zone, Indices] : Zones)
    std::ranges::sort(Indices, [&](std::size_t A, std::size_t B) {
      return ranksBefore(Membership.Members[A], Membership.Members[B]);
    });
  return Zones;
}

/// The relays among \p Indices: by rank, at most MaxCandidates, until \p Wanted
/// of them are in direct contact.
zone_members relaysAmong(const membership &Membership,
                         const zone_members &Indices, std::size_t Wanted,
                         instant Now) {
  zone_members Relays;
  std::size_t Answering = 0;
  for (const std::size_t Index : Indices) {
    if (Answering == Wanted || Relays.size() == MaxCandidates)
      break;
    const member &Member = Membership.Members[Index];
    if (!isRelayCandidate(Member, Now))
      continue;
    Relays.push_back(Index);
    Answering += isInDirectContact(Membership, Member, Now) ? 1 : 0;
  }
  return Relays;
}

/// Whether this instance is a relay of its zone: of the members that rank
/// before it, fewer than RelaysPerZone are in direct contact and fewer than
/// MaxCandidates are being tried.
bool isZoneRelay(const membership &Membership, const zone_members &Indices,
                 instant Now) {
  const member Self = selfAsMember(Membership);
  zone_members Before;
  std::ranges::copy_if(Indices, std::back_inserter(Before),
                       [&](std::size_t Index) {
                         return ranksBefore(Membership.Members[Index], Self);
                       });
  const auto First = relaysAmong(Membership, Before, RelaysPerZone, Now);
  const auto Answering = std::ranges::count_if(First, [&](std::size_t Index) {
    return isInDirectContact(Membership, Membership.Members[Index], Now);
  });
  return static_cast<std::size_t>(Answering) < RelaysPerZone &&
         First.size() < MaxCandidates;
}

} // namespace

bool usesRelays(const membership &Membership) {
  return usesRelays(Membership.Members.size(), Membership.Limits);
}

bool usesRelays(std::size_t Others, const membership_limits &Limits) {
  return Others > Limits.DirectLimit;
}

bool ranksBefore(const member &A, const member &B) {
  if (A.Capacity != B.Capacity)
    return A.Capacity > B.Capacity;
  return A.Name < B.Name;
}

member selfAsMember(const membership &Membership) {
  member Self;
  Self.Name = Membership.Self.Name;
  Self.Capacity = Membership.Self.Capacity;
  return Self;
}

bool isInDirectContact(const membership &Membership, const member &Member,
                       instant Now) {
  return Member.DirectHeartbeatAt &&
         Now - *Member.DirectHeartbeatAt <= Membership.Limits.RelayTimeout;
}

bool reportsHere(const member &Member) {
  return Member.DirectHeartbeatAt && Member.Report.Reports;
}

heartbeat_plan planHeartbeats(const membership &Membership, instant Now) {
  heartbeat_plan Plan;
  if (!usesRelays(Membership)) {
    Plan.Targets.resize(Membership.Members.size());
    std::iota(Plan.Targets.begin(), Plan.Targets.end(), std::size_t{0});
    return Plan;
  }
  const auto Zones = membersByZone(Membership);
  const auto Own = Zones.find(Membership.Self.Zone);
  Plan.Relay =
      !Membership.Local.Leaving &&
      (Own == Zones.end() || isZoneRelay(Membership, Own->second, Now));
  for (const auto &[Zone, Indices] : Zones) {
    const bool IsOwn = Zone == Membership.Self.Zone;
    if (!IsOwn && !Plan.Relay)
      continue;
    // A relay counts itself as one of its zone's relays.
    const std::size_t Wanted =
        IsOwn && Plan.Relay ? RelaysPerZone - 1 : RelaysPerZone;
    std::ranges::copy(relaysAmong(Membership, Indices, Wanted, Now),
                      std::back_inserter(Plan.Targets));
  }
  return Plan;
}

std::vector<std::size_t> allRelays(const membership &Membership, instant Now) {
  std::vector<std::size_t> Relays;
  for (const auto &[Zone, Indices] : membersByZone(Membership))
    std::ranges::copy(relaysAmong(Membership, Indices, RelaysPerZone, Now),
                      std::back_inserter(Relays));
  return Relays;
}

namespace {

/// Whether a relay of the own zone that ranks before this instance is in direct
/// contact.
bool hasFirstRelay(const membership &Membership, instant Now) {
  const member Self = selfAsMember(Membership);
  return std::ranges::any_of(Membership.Members, [&](const member &Member) {
    return Member.Zone == Membership.Self.Zone && ranksBefore(Member, Self) &&
           isRelayCandidate(Member, Now) &&
           isInDirectContact(Membership, Member, Now);
  });
}

} // namespace

bool carriesPositions(const membership &Membership, const member &Member,
                      bool Answers, instant Now) {
  // Half of the smallest staleness bound in use: a read finds a position that
  // is recent enough.
  constexpr base::milliseconds RepeatInterval{750};
  if (!usesRelays(Membership) || !Membership.Relay ||
      !Member.Report.ReadsChanges || !Member.PositionsSentAt ||
      Now - *Member.PositionsSentAt >= RepeatInterval)
    return true;
  if (Answers)
    return Member.Report.WantsSharedReads;
  return Member.Zone != Membership.Self.Zone && !hasFirstRelay(Membership, Now);
}

void removeRelayedPositions(const membership &Membership,
                            std::vector<wire::position_report> &Positions,
                            instant Now) {
  if (Positions.empty())
    return;
  using position_key = std::pair<std::uint32_t, base::term_number>;
  const auto KeyOf = [](const wire::position_report &Position) {
    return position_key(Position.Group, Position.Term);
  };
  const auto SampledAt = [](instant ReportAt,
                            const wire::position_report &Position) {
    return ReportAt - base::milliseconds(Position.Age);
  };
  // The time of the newest sample of each that a relay has sent.
  std::map<position_key, instant> Relayed;
  for (const member &Member : Membership.Members) {
    if (!Member.ReportAt)
      continue;
    for (const wire::position_report &Position : Member.Report.Positions) {
      instant &Newest =
          Relayed.try_emplace(KeyOf(Position), instant::min()).first->second;
      Newest = std::max(Newest, SampledAt(*Member.ReportAt, Position));
    }
  }
  std::erase_if(Positions, [&](const wire::position_report &Own) {
    const auto Known = Relayed.find(KeyOf(Own));
    return Known != Relayed.end() && SampledAt(Now, Own) <= Known->second;
  });
}

void keepNeededPositions(const member &Member,
                         std::vector<wire::position_report> &Positions) {
  if (Member.Report.Capacity <= 0)
    return;
  const std::vector<std::uint32_t> &Needed = Member.Report.Services;
  std::erase_if(Positions, [&](const wire::position_report &Position) {
    return !std::ranges::binary_search(Needed, Position.Group);
  });
}

void recordHeartbeatSent(const membership &Membership, member &Member,
                         instant Now) {
  const membership_limits &Limits = Membership.Limits;
  if (!Member.UnansweredSince)
    Member.UnansweredSince = Now;
  if (Now - *Member.UnansweredSince < Limits.RelayTimeout)
    return;
  Member.SkippedUntil = Now + Limits.RelaySkipTime;
  Member.UnansweredSince.reset();
}

void recordHeartbeatReceived(member &Member, instant Now) {
  Member.DirectHeartbeatAt = Now;
  Member.UnansweredSince.reset();
  Member.SkippedUntil.reset();
}

} // namespace redwinggw::control
