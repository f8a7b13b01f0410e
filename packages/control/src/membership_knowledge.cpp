#include "redwinggw/control/membership_knowledge.hpp"

#include <algorithm>
#include <iterator>

namespace redwinggw::control {
namespace {

using base::instant;
using base::milliseconds;

wire::age_ms toAge(milliseconds Age) {
  return static_cast<wire::age_ms>(
      std::clamp<std::int64_t>(Age.count(), 0, std::int64_t{wire::NoAge} - 1));
}

/// Rounded up: for what must not look younger than it is.
wire::age_ms ageAtMost(const std::optional<instant> &At, instant Now) {
  if (!At)
    return wire::NoAge;
  return toAge(std::chrono::ceil<milliseconds>(Now - *At));
}

/// Rounded down: for what must not look older than it is.
wire::age_ms ageAtLeast(const std::optional<instant> &At, instant Now) {
  if (!At)
    return wire::NoAge;
  return toAge(std::chrono::floor<milliseconds>(Now - *At));
}

void raise(std::optional<instant> &Value, instant Candidate) {
  Value = std::max(Value.value_or(Candidate), Candidate);
}

constexpr std::size_t MaxOrigins = 4096;

void learnContact(store_knowledge &Store, std::uint32_t Origin,
                  std::uint64_t Number, instant At) {
  if (Store.Contacts.size() > MaxOrigins)
    Store.Contacts.clear();
  std::uint64_t &Known = Store.Contacts[Origin];
  if (Number <= Known)
    return;
  Known = Number;
  if (Store.ContactAt.value_or(instant::min()) >= At)
    return;
  Store.ContactAt = At;
  Store.ContactOrigin = Origin;
  Store.ContactNumber = Number;
}

void learnHead(store_knowledge &Store, base::config_version Head,
               std::optional<instant> ProofAt) {
  if (Head < Store.HeadVersion)
    return;
  if (Head > Store.HeadVersion) {
    Store.HeadVersion = Head;
    Store.ProofAt = ProofAt;
    return;
  }
  if (ProofAt)
    raise(Store.ProofAt, *ProofAt);
}

/// The place in the list, this instance included, of the member at \p Index.
std::size_t listIndex(const membership &Membership, std::size_t Index) {
  return Index < Membership.SelfIndex ? Index : Index + 1;
}

constexpr milliseconds MapStep{wire::MapStepMs};

/// Ages add up over relays and are rounded up at each, so what comes by relay
/// never looks younger than it is.
void learnRelayed(membership &Membership, const wire::peer_report &Report,
                  instant MadeAt) {
  if (Report.Heard.Ages.empty() || Report.Heard.ListHash != Membership.ListHash)
    return;
  for (std::size_t Index = 0; Index < Membership.Members.size(); ++Index) {
    member &Member = Membership.Members[Index];
    const unsigned Age =
        wire::ageAt(Report.Heard, listIndex(Membership, Index));
    const instant HeardAt = MadeAt - Age * MapStep;
    if (Age == 0)
      continue;
    Member.KnownHead = std::max(Member.KnownHead, Report.HeadVersion);
    if (Member.HeardAt.value_or(instant::min()) >= HeardAt)
      continue;
    Member.HeardAt = HeardAt;
    Member.Informed = true;
  }
}

/// Spreads neighbouring numbers evenly (the finalizer of SplitMix64).
std::uint64_t scatter(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27U)) * 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31U);
}

bool isMajority(const membership &Membership, std::size_t Count) {
  return 2 * Count > instanceCount(Membership);
}

} // namespace

bool isGossiping(const membership &Membership) {
  return Membership.Members.size() > Membership.Limits.DirectLimit;
}

const member &nextPeer(membership &Membership) {
  const std::uint64_t Seed =
      (std::uint64_t{wire::hashOf(Membership.Self.Name)} << 32U) |
      ++Membership.Round;
  return Membership.Members[scatter(Seed) % Membership.Members.size()];
}

wire::peer_report localReport(const membership &Membership, instant Now) {
  const store_knowledge &Store = Membership.Store;
  wire::peer_report Report = Membership.Local;
  Report.Zone = Membership.Self.Zone;
  Report.StoreReadAge = ageAtMost(Store.ReadAt, Now);
  Report.HeadVersion = Store.HeadVersion;
  Report.ProofAge = ageAtMost(Store.ProofAt, Now);
  Report.ContactAge = ageAtLeast(Store.ContactAt, Now);
  Report.ContactOrigin = Store.ContactOrigin;
  Report.ContactNumber = Store.ContactNumber;
  return Report;
}

wire::heard_map heardMap(const membership &Membership, instant Now) {
  wire::heard_map Map;
  Map.ListHash = Membership.ListHash;
  for (std::size_t Index = 0; Index < Membership.Members.size(); ++Index) {
    const member &Member = Membership.Members[Index];
    if (!Member.Informed || !Member.HeardAt ||
        Member.KnownHead < Membership.Store.HeadVersion)
      continue;
    const auto Steps = (Now - *Member.HeardAt) / MapStep + 1;
    if (Steps <= wire::MaxMapAge)
      wire::setAge(Map, listIndex(Membership, Index),
                   static_cast<unsigned>(Steps));
  }
  return Map;
}

milliseconds listInterval(const membership &Membership) {
  constexpr std::size_t ReadsPerSecond = 32;
  constexpr milliseconds Second{1000};
  const std::size_t Share = 1 + Membership.Members.size() / ReadsPerSecond;
  return Second * static_cast<std::int64_t>(Share);
}

void indexList(membership &Membership) {
  const auto At = std::ranges::lower_bound(
      Membership.Members, Membership.Self.Name, {}, &member::Name);
  Membership.SelfIndex =
      static_cast<std::size_t>(At - Membership.Members.begin());
  std::string Names;
  for (std::size_t Index = 0; Index <= Membership.Members.size(); ++Index) {
    if (Index == Membership.SelfIndex)
      Names += Membership.Self.Name + "/";
    if (Index < Membership.Members.size())
      Names += Membership.Members[Index].Name + "/";
  }
  Membership.ListHash = wire::hashOf(Names);
}

void learn(membership &Membership, member &Member,
           std::optional<instant> MadeAt, instant Now) {
  const wire::peer_report &Report = Member.Report;
  Member.KnownHead = std::max(Member.KnownHead, Report.HeadVersion);
  if (Report.ContactAge != wire::NoAge)
    learnContact(Membership.Store, Report.ContactOrigin, Report.ContactNumber,
                 Now - milliseconds(Report.ContactAge));
  std::optional<instant> ProofAt;
  if (MadeAt && Report.ProofAge != wire::NoAge)
    ProofAt = *MadeAt - milliseconds(Report.ProofAge);
  learnHead(Membership.Store, Report.HeadVersion, ProofAt);
  if (!MadeAt)
    return;
  Member.ReportAt = MadeAt;
  raise(Member.HeardAt, *MadeAt);
  Member.Informed = Report.StoreReadAge != wire::NoAge;
  learnRelayed(Membership, Report, *MadeAt);
}

void onStoreRead(membership &Membership, instant Sent, instant Answered,
                 base::config_version Head) {
  raise(Membership.Store.ReadAt, Sent);
  learnHead(Membership.Store, Head, Sent);
  onStoreContact(Membership, Answered);
}

void onStoreContact(membership &Membership, instant Answered) {
  const std::uint32_t Self = wire::hashOf(Membership.Self.Name);
  // Counts from the incarnation, so that a new one's numbers are higher.
  const std::uint64_t Last =
      std::max(Membership.Store.Contacts[Self], Membership.Self.Incarnation);
  learnContact(Membership.Store, Self, Last + 1, Answered);
}

bool isHeard(const membership &Membership, const member &Member, instant Now) {
  const auto Bound = isGossiping(Membership) ? Membership.Limits.GossipHearBound
                                             : Membership.Limits.HearBound;
  return Member.HeardAt && Now - *Member.HeardAt <= Bound;
}

std::size_t instanceCount(const membership &Membership) {
  return Membership.Members.size() + 1;
}

bool hearsMajority(const membership &Membership, instant Now) {
  const bool AnyCounts = !Membership.Limits.OnlyInformedCount;
  const auto Heard =
      std::ranges::count_if(Membership.Members, [&](const member &Member) {
        return (AnyCounts || Member.Informed) &&
               isHeard(Membership, Member, Now);
      });
  const std::size_t Self = AnyCounts || Membership.Store.ReadAt ? 1 : 0;
  return Membership.ListKnown &&
         isMajority(Membership, static_cast<std::size_t>(Heard) + Self);
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

bool majorityKnowsContact(const membership &Membership, instant Since) {
  const auto Knowing =
      std::ranges::count_if(Membership.Members, [&](const member &Member) {
        const wire::age_ms Age = Member.Report.ContactAge;
        return Member.ReportAt && Age != wire::NoAge &&
               *Member.ReportAt - milliseconds(Age) >= Since;
      });
  const auto Own = Membership.Store.ContactAt;
  const std::size_t Self = Own && *Own >= Since ? 1 : 0;
  return Membership.ListKnown &&
         isMajority(Membership, static_cast<std::size_t>(Knowing) + Self);
}

} // namespace redwinggw::control
