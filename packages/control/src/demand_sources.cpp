#include "redwinggw/control/demand_sources.hpp"

#include "redwinggw/control/relays.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>

namespace redwinggw::control {
namespace {

using base::instant;

source_state stateAt(std::optional<instant> ReceivedAt,
                     const source_times &Times, instant Now) {
  if (!ReceivedAt)
    return source_state::Unknown;
  const auto Silence = Now - *ReceivedAt;
  if (Silence > Times.LongSilentAfter)
    return source_state::LongSilent;
  return Silence > Times.FreshFor ? source_state::Silent : source_state::Fresh;
}

demand_source sourceOf(const member &Member, const source_times &Times,
                       instant Now) {
  demand_source Source;
  Source.Name = Member.Name;
  Source.State = stateAt(Member.DirectHeartbeatAt, Times, Now);
  Source.ReportsHere = reportsHere(Member);
  Source.Reports = &Member.Report.Demands;
  return Source;
}

demand_source sourceOf(const member &Relay, std::string Name,
                       const source_times &Times, instant Now) {
  demand_source Source;
  Source.Name = std::move(Name);
  Source.State = stateAt(Relay.DirectHeartbeatAt, Times, Now);
  Source.Instances = Relay.Report.Digest.Demands.Contributors;
  Source.Digest = &Relay.Report.Digest.Demands;
  return Source;
}

demand_source unknownSource(double Instances) {
  demand_source Source;
  Source.Name = "unknown";
  Source.Instances = Instances;
  return Source;
}

/// The relay to use: the one with the latest heartbeat, and while several are
/// fresh always the same one, since their sums differ a little.
const member *chosenRelay(const std::vector<const member *> &Relays,
                          const source_times &Times, instant Now) {
  const auto IsBetter = [&](const member *A, const member *B) {
    const bool FreshA = Now - *A->DirectHeartbeatAt <= Times.FreshFor;
    const bool FreshB = Now - *B->DirectHeartbeatAt <= Times.FreshFor;
    if (FreshA && FreshB)
      return ranksBefore(*A, *B);
    return *A->DirectHeartbeatAt > *B->DirectHeartbeatAt;
  };
  const auto Best = std::ranges::min_element(Relays, IsBetter);
  return Best == Relays.end() ? nullptr : *Best;
}

bool hasDigest(const member &Member, wire::digest_scope Scope) {
  return Member.DirectHeartbeatAt && Member.Report.Digest.Scope == Scope;
}

/// The sources of an instance that is no relay: the sums of its relay.
std::vector<demand_source> sourcesOfReporter(const membership &Membership,
                                             const source_times &Times,
                                             instant Now) {
  std::vector<const member *> Relays;
  for (const member &Member : Membership.Members)
    if (hasDigest(Member, wire::digest_scope::Fleet) &&
        Member.Report.Digest.Demands.Contributors > 0)
      Relays.push_back(&Member);
  const member *Relay = chosenRelay(Relays, Times, Now);
  if (Relay == nullptr)
    return {unknownSource(static_cast<double>(Membership.Members.size()))};
  std::vector<demand_source> Sources{sourceOf(*Relay, "fleet", Times, Now)};
  Sources.front().IncludesOwn = true;
  Sources.front().Instances -= 1;
  if (Relay->Report.Digest.Demands.NeverSeen > 0)
    Sources.push_back(unknownSource(Relay->Report.Digest.Demands.NeverSeen));
  return Sources;
}

/// The relay to use for each other availability zone.
std::map<std::string_view, const member *>
zoneRelays(const membership &Membership, const source_times &Times,
           instant Now) {
  std::map<std::string_view, std::vector<const member *>> Candidates;
  for (const member &Member : Membership.Members)
    if (Member.Zone != Membership.Self.Zone &&
        hasDigest(Member, wire::digest_scope::Zone))
      Candidates[Member.Zone].push_back(&Member);
  std::map<std::string_view, const member *> Chosen;
  for (const auto &[Zone, Relays] : Candidates)
    Chosen[Zone] = chosenRelay(Relays, Times, Now);
  return Chosen;
}

/// Whether the sums of \p Relay, of the same zone, include \p Member's demand.
bool isCounted(const member &Member, const member &Relay) {
  const auto &Members = Relay.Report.Digest.Members;
  const auto Found = std::ranges::find(Members, wire::hashOf(Member.Name),
                                       &wire::relayed_member::Instance);
  return Found != Members.end() && hasFact(*Found, wire::relayed_fact::Counted);
}

std::vector<demand_source> sourcesOfRelay(const membership &Membership,
                                          const source_times &Times,
                                          instant Now) {
  const auto Relays = zoneRelays(Membership, Times, Now);
  std::vector<demand_source> Sources;
  Sources.reserve(Relays.size() + Membership.Members.size());
  for (const auto &[Zone, Relay] : Relays)
    Sources.push_back(
        sourceOf(*Relay, "zone/" + std::string(Zone), Times, Now));
  for (const member &Member : Membership.Members) {
    demand_source Source = sourceOf(Member, Times, Now);
    const auto Relay = Relays.find(Member.Zone);
    // An instance that has just become a relay reports its own demand while its
    // former relay still counts it for a moment; both then count against the
    // rate.
    const bool CountedByRelay = Source.State != source_state::Fresh &&
                                Relay != Relays.end() &&
                                isCounted(Member, *Relay->second);
    if (!CountedByRelay)
      Sources.push_back(std::move(Source));
  }
  return Sources;
}

} // namespace

std::vector<demand_source> demandSources(const membership &Membership,
                                         const source_times &Times,
                                         instant Now) {
  if (!Membership.Relay)
    return sourcesOfReporter(Membership, Times, Now);
  if (usesRelays(Membership))
    return sourcesOfRelay(Membership, Times, Now);
  std::vector<demand_source> Sources;
  Sources.reserve(Membership.Members.size());
  for (const member &Member : Membership.Members)
    Sources.push_back(sourceOf(Member, Times, Now));
  return Sources;
}

namespace {

/// The entry of \p Customer; null when there is none.
template <typename Entry>
const Entry *entryOf(const std::vector<Entry> &Entries,
                     std::uint32_t Customer) {
  const auto Found = std::ranges::find(Entries, Customer, &Entry::Customer);
  return Found == Entries.end() ? nullptr : &*Found;
}

} // namespace

source_demand demandFrom(const demand_source &Source, std::uint32_t Customer) {
  source_demand Demand;
  if (Source.Reports != nullptr)
    if (const auto *Report = entryOf(*Source.Reports, Customer))
      Demand.Rate = Report->Rate;
  if (Source.Digest == nullptr)
    return Demand;
  if (const auto *Sum = entryOf(Source.Digest->Sums, Customer))
    Demand.Rate = Sum->Rate;
  if (const auto *Silent = entryOf(Source.Digest->Silent, Customer)) {
    Demand.SilentRate = Silent->Rate;
    Demand.SilentShare = Silent->Reserved;
    Demand.LongSilentShare = Silent->LongSilent;
  }
  return Demand;
}

} // namespace redwinggw::control
