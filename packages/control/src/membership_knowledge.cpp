#include "redwinggw/control/membership_knowledge.hpp"

#include "redwinggw/control/relays.hpp"

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

/// The time of an answer of the store that is \p Age old now, or \p Known.
void learnContact(std::optional<instant> &Known, wire::age_ms Age,
                  instant Now) {
  if (Age != wire::NoAge)
    raise(Known, Now - milliseconds(Age));
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

constexpr milliseconds AgeStep{wire::AgeStepMs};

member *findMutableByHash(membership &Membership, std::uint32_t Hash) {
  const member *Found = findByHash(Membership, Hash);
  return Found == nullptr ? nullptr
                          : &Membership.Members[static_cast<std::size_t>(
                                Found - Membership.Members.data())];
}

/// Takes in what a relay says of \p Member. Ages add up over relays and are
/// rounded up at each, so what comes by relay never looks younger than it is.
void learnRelayedMember(member &Member, const wire::relayed_member &Relayed,
                        const wire::peer_report &Report, instant MadeAt) {
  using enum wire::relayed_fact;
  if (hasFact(Relayed, KnowsHead))
    Member.KnownHead = std::max(Member.KnownHead, Report.HeadVersion);
  if (hasFact(Relayed, KnowsVersion))
    Member.KnownVersion = std::max(Member.KnownVersion, Report.Version);
  const instant HeardAt = MadeAt - Relayed.Age * AgeStep;
  if (Member.HeardAt.value_or(instant::min()) >= HeardAt)
    return;
  Member.HeardAt = HeardAt;
  raise(Member.ArrivedAt, HeardAt);
  Member.MayKnow = Report.Version;
  Member.Informed = hasFact(Relayed, Informed);
  Member.ToldLeaving = hasFact(Relayed, Leaving);
  Member.Gathers = hasFact(Relayed, Gathers);
  if (hasFact(Relayed, ReadsStore))
    raise(Member.StoreContactAt, HeardAt);
}

void learnRelayed(membership &Membership, const wire::peer_report &Report,
                  instant MadeAt) {
  for (const wire::relayed_member &Relayed : Report.Digest.Members) {
    member *Member = findMutableByHash(Membership, Relayed.Instance);
    if (Member == nullptr) {
      const bool Self = Relayed.Instance == wire::hashOf(Membership.Self.Name);
      Membership.ToldOfStrangers = Membership.ToldOfStrangers || !Self;
      continue;
    }
    learnRelayedMember(*Member, Relayed, Report, MadeAt);
  }
}

bool isMajority(const membership &Membership, std::size_t Count) {
  return 2 * Count > instanceCount(Membership);
}

} // namespace

wire::peer_report localReport(const membership &Membership, instant Now) {
  const store_knowledge &Store = Membership.Store;
  wire::peer_report Report = Membership.Local;
  Report.Zone = Membership.Self.Zone;
  // An answer leaves later than the positions in it were looked up.
  if (Membership.LocalAt != instant::min())
    for (wire::position_report &Position : Report.Positions)
      Position.Age += ageAtMost(Membership.LocalAt, Now);
  Report.StoreReadAge = ageAtMost(Store.ReadAt, Now);
  Report.HeadVersion = Store.HeadVersion;
  Report.ProofAge = ageAtMost(Store.ProofAt, Now);
  Report.OwnContactAge = ageAtLeast(Store.OwnContactAt, Now);
  Report.HeardContactAge = ageAtLeast(Store.HeardContactAt, Now);
  return Report;
}

namespace {

/// What to pass on of \p Member; nothing when that is too old, or when it may
/// know what is not known here yet.
std::optional<wire::relayed_member>
relayedMember(const membership &Membership, const member &Member, instant Now) {
  using enum wire::relayed_fact;
  if (!Member.HeardAt || Member.MayKnow > Membership.Local.Version)
    return std::nullopt;
  const auto Steps = (Now - *Member.HeardAt) / AgeStep + 1;
  if (Steps > wire::MaxAgeSteps)
    return std::nullopt;
  wire::relayed_member Relayed;
  Relayed.Instance = wire::hashOf(Member.Name);
  Relayed.Age = static_cast<std::uint8_t>(Steps);
  setFact(Relayed, Informed, Member.Informed);
  setFact(Relayed, KnowsHead, Member.KnownHead >= Membership.Store.HeadVersion);
  setFact(Relayed, KnowsVersion,
          Member.KnownVersion >= Membership.Local.Version);
  setFact(Relayed, ReadsStore, readsStore(Membership, Member, Now));
  setFact(Relayed, Counted, reportsHere(Member));
  setFact(Relayed, Leaving, Member.Report.Leaving || Member.ToldLeaving);
  setFact(Relayed, Gathers, Member.Gathers);
  return Relayed;
}

} // namespace

wire::fleet_digest digestFor(const membership &Membership,
                             const member &Receiver, wire::digest_scope Scope,
                             instant Now) {
  const bool Zone = Scope == wire::digest_scope::Zone;
  wire::fleet_digest Digest =
      Zone ? Membership.ZoneDigest : Membership.FleetDigest;
  Digest.Scope = Scope;
  if (!Membership.PassesOn)
    return Digest;
  for (const member &Member : Membership.Members) {
    const bool Wanted = !Zone || Member.Zone == Membership.Self.Zone;
    if (!Wanted || Member.Name == Receiver.Name)
      continue;
    if (const auto Relayed = relayedMember(Membership, Member, Now))
      Digest.Members.push_back(*Relayed);
  }
  return Digest;
}

milliseconds listInterval(const membership &Membership) {
  constexpr std::size_t ReadsPerSecond = 32;
  constexpr milliseconds Second{1000};
  const std::size_t Share = 1 + Membership.Members.size() / ReadsPerSecond;
  return Second * static_cast<std::int64_t>(Share);
}

void indexList(membership &Membership) {
  Membership.ByHash.clear();
  for (std::size_t Index = 0; Index < Membership.Members.size(); ++Index)
    Membership.ByHash.emplace_back(wire::hashOf(Membership.Members[Index].Name),
                                   Index);
  std::ranges::sort(Membership.ByHash);
}

void learn(membership &Membership, member &Member,
           std::optional<instant> MadeAt, instant Now) {
  const wire::peer_report &Report = Member.Report;
  Member.KnownHead = std::max(Member.KnownHead, Report.HeadVersion);
  Member.KnownVersion = std::max(Member.KnownVersion, Report.Version);
  Member.ToldLeaving = false;
  if (Report.OwnContactAge != wire::NoAge)
    raise(Member.StoreContactAt, Now - milliseconds(Report.OwnContactAge));
  store_knowledge &Store = Membership.Store;
  learnContact(Store.HeardContactAt, Report.OwnContactAge, Now);
  learnContact(Store.RelayedContactAt, Report.HeardContactAge, Now);
  std::optional<instant> ProofAt;
  if (MadeAt && Report.ProofAge != wire::NoAge)
    ProofAt = *MadeAt - milliseconds(Report.ProofAge);
  learnHead(Store, Report.HeadVersion, ProofAt);
  if (!MadeAt)
    return;
  Member.ReportAt = MadeAt;
  if (Member.HeardAt.value_or(*MadeAt) <= *MadeAt)
    Member.MayKnow = Report.Version;
  Member.MayKnow = std::max(Member.MayKnow, Report.Version);
  raise(Member.HeardAt, *MadeAt);
  Member.Informed = Report.StoreReadAge != wire::NoAge;
  Member.Gathers = Report.Gathers;
  learnRelayed(Membership, Report, *MadeAt);
}

void onStoreRead(membership &Membership, instant Sent, instant Answered,
                 base::config_version Head) {
  raise(Membership.Store.ReadAt, Sent);
  learnHead(Membership.Store, Head, Sent);
  onStoreContact(Membership, Answered);
}

void onStoreContact(membership &Membership, instant Answered) {
  raise(Membership.Store.OwnContactAt, Answered);
}

const member *findByHash(const membership &Membership, std::uint32_t Hash) {
  const auto At =
      std::ranges::lower_bound(Membership.ByHash, Hash, {},
                               &std::pair<std::uint32_t, std::size_t>::first);
  const bool Found = At != Membership.ByHash.end() && At->first == Hash;
  return Found ? &Membership.Members[At->second] : nullptr;
}

bool readsStore(const membership &Membership, const member &Member,
                instant Now) {
  return Member.StoreContactAt &&
         Now - *Member.StoreContactAt <= Membership.Limits.ReadsWithin;
}

bool isHeard(const membership &Membership, const member &Member, instant Now) {
  const auto Bound = usesRelays(Membership) ? Membership.Limits.RelayedHearBound
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

std::optional<instant> lastContact(const store_knowledge &Store) {
  // Nothing is less than any time.
  return std::max(
      {Store.OwnContactAt, Store.HeardContactAt, Store.RelayedContactAt});
}

bool majorityGot(const membership &Membership, instant Since) {
  const auto Got =
      std::ranges::count_if(Membership.Members, [&](const member &Member) {
        return Member.ReportAt && *Member.ReportAt >= Since;
      });
  return Membership.ListKnown &&
         isMajority(Membership, static_cast<std::size_t>(Got) + 1);
}

} // namespace redwinggw::control
