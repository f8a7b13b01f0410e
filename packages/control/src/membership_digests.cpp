#include "redwinggw/control/membership_reports.hpp"

#include "redwinggw/control/relays.hpp"

#include <algorithm>
#include <utility>

/// What a relay reports about other instances, and the changes of demands and
/// sums that go with it.
namespace redwinggw::control {

using base::instant;

namespace {

std::uint8_t stepsSince(const std::optional<instant> &At, instant Now) {
  if (!At)
    return wire::MaxAgeSteps;
  return static_cast<std::uint8_t>(
      std::clamp<std::int64_t>((Now - *At) / AgeStep, 0, wire::MaxAgeSteps));
}

/// The silence of \p Member to report. Relays tell each other only what they
/// heard themselves: a time that circulated among them would look ever more
/// recent.
std::uint8_t silenceOf(const member &Member, wire::digest_scope Scope,
                       instant Now) {
  const bool ToRelay = Scope == wire::digest_scope::Zone;
  return stepsSince(ToRelay ? Member.DirectHeartbeatAt : Member.HeardAt, Now);
}

/// Whether this instance may vouch for what \p Member knows: its last report
/// is recent, and it knows no version that is not known here yet.
bool mayVouchFor(const membership &Membership, const member &Member,
                 instant Now) {
  return Membership.VouchesForOthers && Member.LastSeenAt &&
         Member.PossibleVersion <= Membership.Local.Version &&
         stepsSince(Member.LastSeenAt, Now) < wire::MaxAgeSteps;
}

/// The digest entry for \p Member; empty when nothing recent is known of it.
std::optional<wire::relayed_member> relayedMember(const membership &Membership,
                                                  const member &Member,
                                                  wire::digest_scope Scope,
                                                  instant Now) {
  using enum wire::relayed_fact;
  wire::relayed_member Relayed;
  Relayed.Instance = Member.NameHash;
  Relayed.Silence = silenceOf(Member, Scope, Now);
  setFact(Relayed, Leaving, Member.Report.Leaving || Member.RelayedLeaving);
  if (!mayVouchFor(Membership, Member, Now)) {
    if (Relayed.Silence == wire::MaxAgeSteps)
      return std::nullopt;
    setFact(Relayed, AliveOnly, true);
    return Relayed;
  }
  constexpr std::uint8_t RoundedUp = 1;
  Relayed.Age = stepsSince(Member.LastSeenAt, Now) + RoundedUp;
  setFact(Relayed, ReadStoreSinceStart, Member.ReadStoreSinceStart);
  setFact(Relayed, KnowsHead, Member.KnownHead >= Membership.Store.HeadVersion);
  setFact(Relayed, KnowsVersion,
          Member.KnownVersion >= Membership.Local.Version);
  setFact(Relayed, RecentStoreContact,
          hasRecentStoreContact(Membership, Member, Now));
  setFact(Relayed, Counted, reportsHere(Member));
  setFact(Relayed, CentralizesBuckets, Member.CentralizesBuckets);
  return Relayed;
}

/// Stands for a member of which nothing recent is known.
wire::relayed_member unknownMember() {
  wire::relayed_member Unknown;
  Unknown.Silence = wire::MaxAgeSteps;
  setFact(Unknown, wire::relayed_fact::AliveOnly, true);
  return Unknown;
}

bool isUnknown(const wire::relayed_member &Member) {
  return Member.Silence == wire::MaxAgeSteps &&
         hasFact(Member, wire::relayed_fact::AliveOnly);
}

/// The members in the order of the list, without their names.
wire::packed_members packMembers(const membership &Membership,
                                 const member &Receiver,
                                 wire::digest_scope Scope, instant Now) {
  const bool Zone = Scope == wire::digest_scope::Zone;
  wire::packed_members Packed;
  Packed.List = Membership.ListHash;
  Packed.First = static_cast<std::uint16_t>(Zone ? Membership.ZoneFirst : 0);
  const std::size_t Count =
      Zone ? Membership.ZoneCount : Membership.ListOrder.size();
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const member *Member =
        findByHash(Membership, Membership.ListOrder[Packed.First + Index]);
    std::optional<wire::relayed_member> Relayed;
    if (Member != nullptr && Member != &Receiver)
      Relayed = relayedMember(Membership, *Member, Scope, Now);
    Packed.Entries.push_back(Relayed.value_or(unknownMember()));
  }
  return Packed;
}

/// Whether the positions in the list mean the same to \p Receiver.
bool sharesList(const membership &Membership, const member &Receiver) {
  return Receiver.Report.ReadsChanges && Membership.ListHash != 0 &&
         Receiver.Report.List == Membership.ListHash;
}

} // namespace

wire::fleet_digest digestFor(const membership &Membership,
                             const member &Receiver, wire::digest_scope Scope,
                             instant Now) {
  const bool Zone = Scope == wire::digest_scope::Zone;
  wire::fleet_digest Digest =
      Zone ? Membership.ZoneDigest : Membership.FleetDigest;
  Digest.Scope = Scope;
  if (sharesList(Membership, Receiver)) {
    Digest.Packed = packMembers(Membership, Receiver, Scope, Now);
    return Digest;
  }
  for (const member &Member : Membership.Members) {
    const bool Wanted = !Zone || Member.Zone == Membership.Self.Zone;
    if (!Wanted || Member.Name == Receiver.Name)
      continue;
    if (const auto Relayed = relayedMember(Membership, Member, Scope, Now))
      Digest.Members.push_back(*Relayed);
  }
  return Digest;
}

void publishLists(membership &Membership, instant Now) {
  if (!usesRelays(Membership))
    return;
  publishDemands(Membership.PublishedDemands, Membership.Local.Demands, Now);
  publication_limits Limits;
  Limits.Exact = !Membership.Local.CentralizesBuckets;
  publishSums(Membership.PublishedZone, Membership.ZoneDigest.Demands, Limits,
              Now);
  publishSums(Membership.PublishedFleet, Membership.FleetDigest.Demands, Limits,
              Now);
}

void writeChanges(const membership &Membership, const member &Receiver,
                  wire::peer_report &Report) {
  if (!usesRelays(Membership))
    return;
  const wire::peer_report &Last = Receiver.Report;
  Report.ReadsChanges = true;
  Report.List = Membership.ListHash;
  Report.Capacity = Membership.Self.Capacity;
  writeHeld(Last, Report);
  if (!Last.ReadsChanges)
    return;
  // What the receiver held of a former process says nothing about this one.
  const bool Known = Last.EchoIncarnation == Membership.Self.Incarnation;
  const std::uint32_t HeldDemands = Known ? Last.HeldDemands : 0;
  wire::fleet_digest &Digest = Report.Digest;
  // The sums include this instance's demands. By themselves they only tell
  // which instance has tokens to transfer, and nobody transfers any while one
  // instance owns each bucket.
  const bool Needed = Digest.Scope != wire::digest_scope::Fleet ||
                      !Membership.Local.CentralizesBuckets;
  if (Needed)
    writeDemands(Membership.PublishedDemands, HeldDemands, Report);
  else
    leaveDemands(HeldDemands, Report);
  const std::uint32_t Held = Known ? heldSums(Last, Digest.Scope) : 0;
  if (Digest.Scope == wire::digest_scope::Zone)
    writeSums(Membership.PublishedZone, Held, Digest.Demands);
  if (Digest.Scope == wire::digest_scope::Fleet)
    writeSums(Membership.PublishedFleet, Held, Digest.Demands);
}

void unpackMembers(const membership &Membership, wire::fleet_digest &Digest) {
  const wire::packed_members Packed = std::exchange(Digest.Packed, {});
  const auto &Order = Membership.ListOrder;
  if (Packed.List == 0 || Packed.List != Membership.ListHash ||
      Packed.First + Packed.Entries.size() > Order.size())
    return;
  for (std::size_t Index = 0; Index < Packed.Entries.size(); ++Index) {
    wire::relayed_member Member = Packed.Entries[Index];
    if (isUnknown(Member))
      continue;
    Member.Instance = Order[Packed.First + Index];
    Digest.Members.push_back(Member);
  }
}

} // namespace redwinggw::control
