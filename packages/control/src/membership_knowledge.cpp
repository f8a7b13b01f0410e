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

void learnRelayed(membership &Membership, const wire::peer_report &Report,
                  const wire::digest_entry &Entry, instant MadeAt) {
  const auto Found = std::ranges::find(
      Membership.Members, Entry.NameHash,
      [](const member &Member) { return wire::hashOf(Member.Name); });
  if (Found == Membership.Members.end())
    return;
  const instant HeardAt = MadeAt - milliseconds(Entry.Age);
  if (Entry.KnowsHead)
    Found->KnownHead = std::max(Found->KnownHead, Report.HeadVersion);
  if (Found->HeardAt.value_or(instant::min()) >= HeardAt)
    return;
  Found->HeardAt = HeardAt;
  Found->Informed = Entry.Informed;
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
  return Report;
}

std::vector<wire::digest_entry> digestFor(const membership &Membership,
                                          const member &Receiver, instant Now) {
  std::vector<const member *> Heard;
  for (const member &Member : Membership.Members)
    if (&Member != &Receiver && isHeard(Membership, Member, Now))
      Heard.push_back(&Member);
  const std::size_t Count =
      std::min(Heard.size(), Membership.Limits.DigestEntries);
  const auto End = Heard.begin() + static_cast<std::ptrdiff_t>(Count);
  std::ranges::partial_sort(Heard, End, std::greater{}, [](const member *Each) {
    return Each->HeardAt.value_or(instant());
  });
  std::vector<wire::digest_entry> Digest;
  std::transform(
      Heard.begin(), End, std::back_inserter(Digest), [&](const member *Heard) {
        wire::digest_entry Entry;
        Entry.NameHash = wire::hashOf(Heard->Name);
        Entry.Age = static_cast<std::uint16_t>(std::min<wire::age_ms>(
            ageAtMost(Heard->HeardAt, Now), wire::MaxDigestAge));
        Entry.Informed = Heard->Informed;
        Entry.KnowsHead = Heard->KnownHead >= Membership.Store.HeadVersion;
        return Entry;
      });
  return Digest;
}

void learn(membership &Membership, member &Member,
           std::optional<instant> MadeAt, instant Now) {
  const wire::peer_report &Report = Member.Report;
  Member.KnownHead = std::max(Member.KnownHead, Report.HeadVersion);
  if (Report.ContactAge != wire::NoAge)
    raise(Membership.Store.ContactAt, Now - milliseconds(Report.ContactAge));
  std::optional<instant> ProofAt;
  if (MadeAt && Report.ProofAge != wire::NoAge)
    ProofAt = *MadeAt - milliseconds(Report.ProofAge);
  learnHead(Membership.Store, Report.HeadVersion, ProofAt);
  if (!MadeAt)
    return;
  Member.ReportAt = MadeAt;
  raise(Member.HeardAt, *MadeAt);
  Member.Informed = Report.StoreReadAge != wire::NoAge;
  std::ranges::for_each(Report.Digest, [&](const wire::digest_entry &Entry) {
    learnRelayed(Membership, Report, Entry, *MadeAt);
  });
}

void onStoreRead(membership &Membership, instant Sent, instant Answered,
                 base::config_version Head) {
  raise(Membership.Store.ReadAt, Sent);
  learnHead(Membership.Store, Head, Sent);
  onStoreContact(Membership, Answered);
}

void onStoreContact(membership &Membership, instant Answered) {
  raise(Membership.Store.ContactAt, Answered);
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
