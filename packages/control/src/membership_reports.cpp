#include "redwinggw/control/membership_reports.hpp"

#include "redwinggw/control/relays.hpp"
#include "redwinggw/control/rendezvous.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <string_view>
#include <utility>

namespace redwinggw::control {
namespace {

using base::instant;
using base::milliseconds;

wire::age_ms toAge(milliseconds Age) {
  return static_cast<wire::age_ms>(
      std::clamp<std::int64_t>(Age.count(), 0, std::int64_t{wire::NoAge} - 1));
}

/// Age, rounded up, for values that must not look more recent than they are.
wire::age_ms ageAtMost(const std::optional<instant> &At, instant Now) {
  if (!At)
    return wire::NoAge;
  return toAge(std::chrono::ceil<milliseconds>(Now - *At));
}

/// Age, rounded down, for values that must not look older than they are.
wire::age_ms ageAtLeast(const std::optional<instant> &At, instant Now) {
  if (!At)
    return wire::NoAge;
  return toAge(std::chrono::floor<milliseconds>(Now - *At));
}

void raiseTo(std::optional<instant> &Value, instant Candidate) {
  Value = std::max(Value.value_or(Candidate), Candidate);
}

/// Raises \p Known to the time of an answer of the store that is \p Age old
/// now.
void updateContact(std::optional<instant> &Known, wire::age_ms Age,
                   instant Now) {
  if (Age != wire::NoAge)
    raiseTo(Known, Now - milliseconds(Age));
}

void updateHead(store_observations &Store, base::config_version Head,
                std::optional<instant> HeadReadAt) {
  if (Head < Store.HeadVersion)
    return;
  if (Head > Store.HeadVersion) {
    Store.HeadVersion = Head;
    Store.HeadReadAt = HeadReadAt;
    return;
  }
  if (HeadReadAt)
    raiseTo(Store.HeadReadAt, *HeadReadAt);
}

member *findMutableByHash(membership &Membership, std::uint32_t Hash) {
  const member *Found = findByHash(Membership, Hash);
  return Found == nullptr ? nullptr
                          : &Membership.Members[static_cast<std::size_t>(
                                Found - Membership.Members.data())];
}

/// Records when a relay last heard \p Member, by its datagram that arrives at
/// \p Now.
void applySilence(member &Member, const wire::relayed_member &Relayed,
                  instant Now) {
  if (Relayed.Silence == wire::MaxAgeSteps)
    return;
  const instant HeardAt = Now - Relayed.Silence * AgeStep;
  if (Member.HeardAt.value_or(instant::min()) >= HeardAt)
    return;
  Member.HeardAt = HeardAt;
  Member.RelayedLeaving = hasFact(Relayed, wire::relayed_fact::Leaving);
}

void setReadSinceStart(membership &Membership, member &Member, bool Read) {
  if (Member.ReadStoreSinceStart && !Read)
    ++Membership.Contact.Losses;
  Member.ReadStoreSinceStart = Read;
}

/// Applies what a relay reports about \p Member. Ages add up over relays and
/// are rounded up at each, so relayed state never looks more recent than it is.
void applyRelayedMember(membership &Membership, member &Member,
                        const wire::relayed_member &Relayed,
                        const wire::peer_report &Report, instant MadeAt) {
  using enum wire::relayed_fact;
  if (hasFact(Relayed, AliveOnly))
    return;
  if (hasFact(Relayed, KnowsHead))
    Member.KnownHead = std::max(Member.KnownHead, Report.HeadVersion);
  if (hasFact(Relayed, KnowsVersion))
    Member.KnownVersion = std::max(Member.KnownVersion, Report.Version);
  const instant LastSeenAt = MadeAt - Relayed.Age * AgeStep;
  if (Member.LastSeenAt.value_or(instant::min()) >= LastSeenAt)
    return;
  Member.LastSeenAt = LastSeenAt;
  raiseTo(Member.ArrivedAt, LastSeenAt);
  Member.PossibleVersion = Report.Version;
  setReadSinceStart(Membership, Member, hasFact(Relayed, ReadStoreSinceStart));
  Member.RelayedLeaving = hasFact(Relayed, Leaving);
  Member.CentralizesBuckets = hasFact(Relayed, CentralizesBuckets);
  // The relay has judged the age of the contact; dated anew here, it would look
  // younger with each hop and outlive the contact by its whole time again.
  if (hasFact(Relayed, RecentStoreContact))
    raiseTo(Member.StoreContactAt, LastSeenAt);
  else
    Member.StoreContactAt.reset();
}

void applyRelayedMembers(membership &Membership,
                         const wire::peer_report &Report, instant MadeAt,
                         instant Now) {
  for (const wire::relayed_member &Relayed : Report.Digest.Members) {
    member *Member = findMutableByHash(Membership, Relayed.Instance);
    if (Member == nullptr) {
      const bool Self = Relayed.Instance == wire::hashOf(Membership.Self.Name);
      Membership.UnlistedReported = Membership.UnlistedReported || !Self;
      continue;
    }
    applySilence(*Member, Relayed, Now);
    applyRelayedMember(Membership, *Member, Relayed, Report, MadeAt);
  }
}

bool isMajority(const membership &Membership, std::size_t Count) {
  return 2 * Count > instanceCount(Membership);
}

} // namespace

wire::peer_report localReport(const membership &Membership, instant Now) {
  const store_observations &Store = Membership.Store;
  wire::peer_report Report = Membership.Local;
  Report.Zone = Membership.Self.Zone;
  // An answer is sent later than LocalAt, when its positions were filled in.
  if (Membership.LocalAt != instant::min())
    for (wire::position_report &Position : Report.Positions)
      Position.Age += ageAtMost(Membership.LocalAt, Now);
  Report.StoreReadAge = ageAtMost(Store.ReadAt, Now);
  Report.HeadVersion = Store.HeadVersion;
  Report.HeadReadAge = ageAtMost(Store.HeadReadAt, Now);
  Report.OwnContactAge = ageAtLeast(Store.OwnContactAt, Now);
  Report.PeerContactAge = ageAtLeast(Store.PeerContactAt, Now);
  return Report;
}

milliseconds listInterval(const membership &Membership) {
  constexpr std::size_t ReadsPerSecond = 32;
  constexpr milliseconds Second{1000};
  const std::size_t Share = 1 + Membership.Members.size() / ReadsPerSecond;
  return Second * static_cast<std::int64_t>(Share);
}

namespace {

/// FNV-1a with 64 bits: with fewer, two lists could have the same hash, and an
/// instance would count as in contact by the report about another one.
std::uint64_t hashOfList(
    const std::vector<std::pair<std::string_view, std::string_view>> &List) {
  constexpr std::uint64_t Basis = 14695981039346656037U;
  constexpr std::uint64_t Prime = 1099511628211U;
  std::uint64_t Hash = Basis;
  const auto Add = [&](std::string_view Text) {
    std::ranges::for_each(Text, [&](char Byte) {
      Hash = (Hash ^ static_cast<unsigned char>(Byte)) * Prime;
    });
    Hash *= Prime;
  };
  for (const auto &[Zone, Name] : List) {
    Add(Zone);
    Add(Name);
  }
  return Hash;
}

void orderList(membership &Membership) {
  std::vector<std::pair<std::string_view, std::string_view>> List;
  List.emplace_back(Membership.Self.Zone, Membership.Self.Name);
  for (const member &Member : Membership.Members)
    List.emplace_back(Member.Zone, Member.Name);
  std::ranges::sort(List);
  Membership.ListOrder.clear();
  for (const auto &[Zone, Name] : List)
    Membership.ListOrder.push_back(wire::hashOf(Name));
  const auto Own = std::ranges::equal_range(
      List, std::string_view(Membership.Self.Zone), {},
      &std::pair<std::string_view, std::string_view>::first);
  Membership.ZoneFirst = static_cast<std::size_t>(Own.begin() - List.begin());
  Membership.ZoneCount = Own.size();
  Membership.ListHash = hashOfList(List);
}

} // namespace

void indexList(membership &Membership) {
  Membership.ByHash.clear();
  for (std::size_t Index = 0; Index < Membership.Members.size(); ++Index) {
    member &Member = Membership.Members[Index];
    Member.NameHash = wire::hashOf(Member.Name);
    Member.RendezvousHash = rendezvousHash(Member.Name);
    Membership.ByHash.emplace_back(Member.NameHash, Index);
  }
  std::ranges::sort(Membership.ByHash);
  orderList(Membership);
  ++Membership.StatesVersion;
  ++Membership.ListVersion;
  ++Membership.Contact.Losses;
}

void applyReport(membership &Membership, member &Member,
                 std::optional<instant> MadeAt, instant Now) {
  const wire::peer_report &Report = Member.Report;
  Member.KnownHead = std::max(Member.KnownHead, Report.HeadVersion);
  Member.KnownVersion = std::max(Member.KnownVersion, Report.Version);
  Member.RelayedLeaving = false;
  if (Report.OwnContactAge != wire::NoAge)
    raiseTo(Member.StoreContactAt, Now - milliseconds(Report.OwnContactAge));
  store_observations &Store = Membership.Store;
  updateContact(Store.PeerContactAt, Report.OwnContactAge, Now);
  updateContact(Store.TwoHopContactAt, Report.PeerContactAge, Now);
  std::optional<instant> HeadReadAt;
  if (MadeAt && Report.HeadReadAge != wire::NoAge)
    HeadReadAt = *MadeAt - milliseconds(Report.HeadReadAge);
  updateHead(Store, Report.HeadVersion, HeadReadAt);
  if (!MadeAt)
    return;
  Member.ReportAt = MadeAt;
  if (Member.LastSeenAt.value_or(*MadeAt) <= *MadeAt)
    Member.PossibleVersion = Report.Version;
  Member.PossibleVersion = std::max(Member.PossibleVersion, Report.Version);
  raiseTo(Member.LastSeenAt, *MadeAt);
  setReadSinceStart(Membership, Member, Report.StoreReadAge != wire::NoAge);
  ++Membership.Contact.Gains;
  Member.CentralizesBuckets = Report.CentralizesBuckets;
  applyRelayedMembers(Membership, Report, *MadeAt, Now);
}

void onStoreRead(membership &Membership, instant Sent, instant Answered,
                 base::config_version Head) {
  if (!Membership.Store.ReadAt)
    ++Membership.Contact.Gains;
  raiseTo(Membership.Store.ReadAt, Sent);
  updateHead(Membership.Store, Head, Sent);
  onStoreContact(Membership, Answered);
}

void onStoreContact(membership &Membership, instant Answered) {
  raiseTo(Membership.Store.OwnContactAt, Answered);
}

const member *findByHash(const membership &Membership, std::uint32_t Hash) {
  const auto At =
      std::ranges::lower_bound(Membership.ByHash, Hash, {},
                               &std::pair<std::uint32_t, std::size_t>::first);
  const bool Found = At != Membership.ByHash.end() && At->first == Hash;
  return Found ? &Membership.Members[At->second] : nullptr;
}

bool hasRecentStoreContact(const membership &Membership, const member &Member,
                           instant Now) {
  return Member.StoreContactAt &&
         Now - *Member.StoreContactAt <= Membership.Limits.MaxStoreContactAge;
}

namespace {

milliseconds contactTimeout(const membership &Membership) {
  return usesRelays(Membership) ? Membership.Limits.RelayedContactTimeout
                                : Membership.Limits.ContactTimeout;
}

/// Until when the present reports keep this instance in contact with a
/// majority: until that of the last member which is needed for one is too old.
std::optional<instant> majorityContactEnd(const membership &Membership) {
  const bool AnyCounts = !Membership.Limits.RequireStoreReadSinceStart;
  const std::size_t Self = AnyCounts || Membership.Store.ReadAt ? 1 : 0;
  std::vector<instant> Seen;
  for (const member &Member : Membership.Members)
    if ((AnyCounts || Member.ReadStoreSinceStart) && Member.LastSeenAt)
      Seen.push_back(*Member.LastSeenAt);
  const std::size_t Needed = instanceCount(Membership) / 2 + 1 - Self;
  if (!Membership.ListKnown || Seen.size() < Needed)
    return std::nullopt;
  if (Needed == 0)
    return instant::max();
  const auto Last = Seen.begin() + static_cast<std::ptrdiff_t>(Needed - 1);
  std::ranges::nth_element(Seen, Last, std::greater{});
  return *Last + contactTimeout(Membership);
}

} // namespace

bool isInContact(const membership &Membership, const member &Member,
                 instant Now) {
  return Member.LastSeenAt &&
         Now - *Member.LastSeenAt <= contactTimeout(Membership);
}

std::size_t instanceCount(const membership &Membership) {
  return Membership.Members.size() + 1;
}

bool inContactWithMajority(const membership &Membership, instant Now) {
  majority_contact &Known = Membership.Contact;
  const bool NoLoss = Known.KnownLosses == Known.Losses;
  if (NoLoss && Known.Until && Now <= *Known.Until)
    return true;
  if (NoLoss && Known.KnownGains == Known.Gains)
    return false;
  Known.Until = majorityContactEnd(Membership);
  Known.KnownGains = Known.Gains;
  Known.KnownLosses = Known.Losses;
  Known.Visits += Membership.Members.size();
  return Known.Until && Now <= *Known.Until;
}

bool majorityKnows(const membership &Membership, base::config_version Version) {
  const auto Knowing =
      std::ranges::count_if(Membership.Members, [&](const member &Member) {
        return Member.KnownHead >= Version;
      });
  const std::size_t Self = Membership.Store.HeadVersion >= Version ? 1 : 0;
  return Membership.ListKnown &&
         isMajority(Membership, static_cast<std::size_t>(Knowing) + Self);
}

std::optional<instant> lastStoreContact(const store_observations &Store) {
  // An empty optional compares less than any time.
  return std::max(
      {Store.OwnContactAt, Store.PeerContactAt, Store.TwoHopContactAt});
}

bool majorityReceivedSince(const membership &Membership, instant Since) {
  const auto Receivers =
      std::ranges::count_if(Membership.Members, [&](const member &Member) {
        return Member.ReportAt && *Member.ReportAt >= Since;
      });
  return Membership.ListKnown &&
         isMajority(Membership, static_cast<std::size_t>(Receivers) + 1);
}

} // namespace redwinggw::control
