#include "redwinggw/control/demand_sources.hpp"

#include "redwinggw/control/relays.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>

namespace redwinggw::control {
namespace {

using base::instant;

source_state stateAt(std::optional<instant> HeardAt, const source_times &Times,
                     instant Now) {
  if (!HeardAt)
    return source_state::Unknown;
  const auto Silence = Now - *HeardAt;
  if (Silence > Times.MissedAfter)
    return source_state::Missed;
  return Silence > Times.HeardFor ? source_state::Silent : source_state::Heard;
}

demand_source sourceOf(const member &Member, const source_times &Times,
                       instant Now) {
  demand_source Source;
  Source.Name = Member.Name;
  Source.State = stateAt(Member.DirectHeartbeatAt, Times, Now);
  Source.ReportsHere = reportsHere(Member);
  Source.Told = &Member.Report.Demands;
  return Source;
}

demand_source sourceOf(const member &Relay, std::string Name,
                       const source_times &Times, instant Now) {
  demand_source Source;
  Source.Name = std::move(Name);
  Source.State = stateAt(Relay.DirectHeartbeatAt, Times, Now);
  Source.Instances = Relay.Report.Digest.Demands.Contributors;
  Source.Summed = &Relay.Report.Digest.Demands;
  return Source;
}

demand_source unknownSource(double Instances) {
  demand_source Source;
  Source.Name = "unknown";
  Source.Instances = Instances;
  return Source;
}

/// The relay of \p Scope to go by: the one heard last, and while several are
/// heard always the same, since their sums differ a little.
const member *chosenRelay(const std::vector<const member *> &Relays,
                          const source_times &Times, instant Now) {
  const auto IsBetter = [&](const member *A, const member *B) {
    const bool HeardA = Now - *A->DirectHeartbeatAt <= Times.HeardFor;
    const bool HeardB = Now - *B->DirectHeartbeatAt <= Times.HeardFor;
    if (HeardA && HeardB)
      return ranksBefore(*A, *B);
    return *A->DirectHeartbeatAt > *B->DirectHeartbeatAt;
  };
  const auto Best = std::ranges::min_element(Relays, IsBetter);
  return Best == Relays.end() ? nullptr : *Best;
}

bool hasDigest(const member &Member, wire::digest_scope Scope) {
  return Member.DirectHeartbeatAt && Member.Report.Digest.Scope == Scope;
}

/// An instance that relays for nobody goes by the sums of its relay.
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
  Sources.front().WithOwn = true;
  Sources.front().Instances -= 1;
  if (Relay->Report.Digest.Demands.NeverSeen > 0)
    Sources.push_back(unknownSource(Relay->Report.Digest.Demands.NeverSeen));
  return Sources;
}

/// The relay of each other availability zone to go by.
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

/// Whether \p Member's demand is part of the sums of \p Relay, of its zone.
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
    // Whoever has just become a relay is told of by itself and counted by its
    // former relay for a moment; both are then held against the rate.
    const bool Elsewhere = Source.State != source_state::Heard &&
                           Relay != Relays.end() &&
                           isCounted(Member, *Relay->second);
    if (!Elsewhere)
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
  if (Source.Told != nullptr)
    if (const auto *Told = entryOf(*Source.Told, Customer))
      Demand.Rate = Told->Rate;
  if (Source.Summed == nullptr)
    return Demand;
  if (const auto *Sum = entryOf(Source.Summed->Sums, Customer))
    Demand.Rate = Sum->Rate;
  if (const auto *Silent = entryOf(Source.Summed->Silent, Customer)) {
    Demand.SilentRate = Silent->Rate;
    Demand.SilentPart = Silent->Reserved;
    Demand.MissedPart = Silent->LongSilent;
  }
  return Demand;
}

} // namespace redwinggw::control
