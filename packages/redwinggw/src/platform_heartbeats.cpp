#include "platform_heartbeats.hpp"
#include "platform_configuration.hpp"
#include "platform_endpoints.hpp"
#include "platform_primaries.hpp"
#include "platform_rates.hpp"

#include "redwinggw/base/log.hpp"
#include "redwinggw/control/centralized_buckets.hpp"
#include "redwinggw/control/relays.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

/// Content of the heartbeats that instances send each other.
namespace redwinggw {
namespace {

using base::instant;
using base::milliseconds;

bool isUp(const control::member &Member) {
  return Member.State == control::member_state::Alive;
}

bool readsForOthers(const platform_instance_state &State,
                    const control::member &Member, instant Now) {
  return isUp(Member) &&
         hasRecentStoreContact(State.Peers->view(), Member, Now);
}

/// The known claims of primaries, and this instance's suspicions.
std::vector<wire::group_report>
groupReports(const platform_instance_state &State) {
  auto Reports = session::reportsOf(State.Claims);
  if (!State.Routes)
    return Reports;
  for (const base::service_name &Service : suspectServices(State)) {
    auto Report =
        std::ranges::find(Reports, Service, &wire::group_report::Group);
    if (Report == Reports.end()) {
      Report = Reports.emplace(Report);
      Report->Group = Service;
    }
    Report->Primary = primaryOf(State, Service);
    Report->Suspect = true;
  }
  return Reports;
}

/// The newest sample of each service's log position, whichever instance took
/// it: a relay passes on the samples of others.
std::vector<wire::position_report>
positionReports(const platform_instance_state &State) {
  // Older samples exceed any staleness bound in use.
  constexpr milliseconds Oldest{3000};
  std::vector<wire::position_report> Reports;
  const instant Now = base::now();
  for (const auto &[Service, Known] : State.Endpoints.Samples) {
    if (Known.Samples.empty())
      continue;
    const session::freshness_sample &Sample = Known.Samples.back();
    const auto Age = std::chrono::ceil<milliseconds>(Now - Sample.SentAt);
    if (Age <= Oldest)
      Reports.push_back({wire::hashOf(Service), Sample.Point.Term,
                         Sample.Point.Position,
                         static_cast<wire::age_ms>(Age.count())});
  }
  return Reports;
}

/// hashOf the services whose endpoints this instance uses, sorted.
std::vector<std::uint32_t> servicesInUse(const platform_instance_state &State) {
  std::set<std::uint32_t> Services;
  for (const auto &[Name, Pool] : State.Endpoints.Pools)
    Services.insert(wire::hashOf(Pool->entry().Service));
  return {Services.begin(), Services.end()};
}

/// For each primary, how many of the instances that report to this one suspect
/// it.
std::vector<wire::suspicion_count>
reportedSuspicions(const platform_instance_state &State) {
  std::map<std::pair<std::string, std::string>, std::uint16_t> Counts;
  for (const control::member &Member : State.Peers->view().Members)
    if (isUp(Member) && control::reportsHere(Member))
      for (const wire::group_report &Report : Member.Report.Groups)
        if (Report.Suspect)
          ++Counts[{Report.Group, Report.Primary}];
  std::vector<wire::suspicion_count> Suspicions;
  Suspicions.reserve(Counts.size());
  for (const auto &[Suspected, Count] : Counts)
    Suspicions.push_back({Suspected.first, Suspected.second, Count});
  return Suspicions;
}

/// Whether digests may vouch for other instances. While a promotion order is
/// unanswered this instance accepts no later claim of the service, and so must
/// not vouch for instances that know such a claim: an instance that counted
/// them as in contact would not learn the claim. Afterwards the claim arrives
/// again with the next heartbeats.
bool mayVouchForOthers(const platform_instance_state &State) {
  constexpr milliseconds ReannounceTime{450};
  return State.PromotionsInFlight.empty() &&
         (State.LastPromotionEndedAt == instant::min() ||
          base::now() - State.LastPromotionEndedAt > ReannounceTime);
}

void completeDigests(platform_instance_state &State) {
  wire::fleet_digest Zone;
  wire::fleet_digest Fleet;
  if (State.Peers->view().Relay && usesRelays(State.Peers->view())) {
    Zone.Demands = zoneDemands(State.Shares);
    Zone.Suspicions = reportedSuspicions(State);
    Fleet.Demands = fleetDemands(State.Shares);
  }
  State.Peers->setDigests(std::move(Zone), std::move(Fleet));
  State.Peers->setVouchesForOthers(mayVouchForOthers(State));
}

/// Recomputes the shares of customers' rates and the centralized buckets, and
/// fills in the heartbeat.
void completeHeartbeat(platform_instance_state &State,
                       wire::peer_report &Report) {
  const instant Now = base::now();
  Report.Demands = announceDemand(State.Shares, Now);
  Report.Positions = positionReports(State);
  Report.Services = servicesInUse(State);
  // Shares are recomputed with each heartbeat, since heartbeats carry the
  // demands.
  const bool InContact = mayTrustClaims(State);
  applyReserveLimits(State.Shares, State.Reserves.Limits, State.Peers->view(),
                     Now);
  divideRates(State.Shares, State.Peers->view(), InContact, Now);
  centralizeBuckets(State.Shares, State.Peers->view(), InContact, Now);
  updateReserves(State.Reserves, State.Shares, State.Peers->view(), Now);
  logReserveUse(State);
  Report.CentralizesBuckets = hasCentralizedBuckets(State.Shares, Now);
  Report.Groups = groupReports(State);
  Report.EvacuationVersion = State.Evacuations.Version;
  Report.EvacuatedZones = State.Evacuations.Zones;
  Report.ConfigurationRow = State.Stored.Version;
  Report.NewestRow =
      std::max(State.Stored.Version, newestConfigurationRow(State));
  completeDigests(State);
}

/// Accepts a claim that another instance reports. The report's term is the
/// claim's epoch, not a term of the log. Reports do not carry the fencing
/// token, which the next orderer reads from the store.
void acceptReportedClaim(platform_instance_state &State,
                         const wire::group_report &Report) {
  if (Report.Term == 0)
    return;
  session::primary_claim Claim;
  Claim.Service = Report.Group;
  Claim.Epoch = Report.Term;
  Claim.Primary = Report.Primary;
  Claim.Moving = Report.Moving;
  Claim.Orderer = Report.Orderer;
  Claim.Term = Report.LogTerm;
  acceptClaim(State, Claim);
}

void acceptReportedPositions(platform_instance_state &State,
                             const control::member &Member) {
  if (!Member.ReportAt)
    return;
  const instant Now = base::now();
  for (const wire::position_report &Report : Member.Report.Positions) {
    const auto Service = State.ServicesByHash.find(Report.Group);
    if (Service == State.ServicesByHash.end())
      continue;
    // ReportAt is the earliest time at which the report can have been made, so
    // the sample never looks younger than it is.
    addSample(State.Endpoints.Samples[Service->second],
              {*Member.ReportAt - milliseconds(Report.Age),
               {Report.Term, Report.Position}},
              Now);
  }
}

void acceptReport(platform_instance_state &State,
                  const control::member &Member) {
  for (const wire::group_report &Report : Member.Report.Groups)
    acceptReportedClaim(State, Report);
  // A report contains all claims that its sender knows.
  acknowledgeClaims(State, Member.Report.Version);
  acceptReportedPositions(State, Member);
  acceptEvacuations(
      State, {Member.Report.EvacuationVersion, Member.Report.EvacuatedZones},
      Member.Name);
  if (Member.Report.HeadVersion > State.Claims.CompleteUpTo ||
      State.Peers->view().UnlistedReported)
    State.FleetReadRequested = true;
}

} // namespace

void announceClaims(platform_instance_state &State) {
  if (!State.Peers)
    return;
  State.Peers->setVersion(State.Claims.CompleteUpTo);
  State.Peers->setAllGroupReports(groupReports(State));
}

void connectPeers(platform_instance_state &State) {
  State.Peers->setHeartbeatFiller([&State](wire::peer_report &Report) {
    completeHeartbeat(State, Report);
  });
  State.Peers->onReport(
      [&State](const control::member &Member) { acceptReport(State, Member); });
  State.Peers->onSharedRead([&State](const control::member &Member,
                                     const wire::shared_store_read &Reading) {
    acceptSharedRead(State, Member.Name, Reading);
  });
  State.Peers->onUnlistedInstance(
      [&State] { State.FleetReadRequested = true; });
}

bool isStoreReader(const platform_instance_state &State) {
  if (!State.Peers)
    return true;
  if (State.Draining && hasStoreReader(State))
    return false;
  const instant Now = base::now();
  const auto &View = State.Peers->view();
  const control::member Self = selfAsMember(View);
  return std::ranges::none_of(View.Members, [&](const control::member &Member) {
    return ranksBefore(Member, Self) && readsForOthers(State, Member, Now);
  });
}

bool hasStoreReader(const platform_instance_state &State) {
  if (!State.Peers)
    return false;
  const instant Now = base::now();
  const auto &View = State.Peers->view();
  const control::member Self = selfAsMember(View);
  return std::ranges::any_of(View.Members, [&](const control::member &Member) {
    const bool First = ranksBefore(Member, Self);
    return (First || State.Draining) && readsForOthers(State, Member, Now);
  });
}

std::uint64_t newestConfigurationRow(const platform_instance_state &State) {
  std::uint64_t Newest = 0;
  if (State.Peers)
    for (const control::member &Member : State.Peers->view().Members)
      Newest = std::max(Newest, Member.Report.NewestRow);
  return Newest;
}

namespace {

using suspected_primary = std::pair<base::service_name, base::endpoint_name>;

/// Adds the suspicions that the relays of the other availability zones count.
/// The relays of a zone count the same instances, so the highest count of a
/// zone is used.
void addRelayedSuspects(const platform_instance_state &State,
                        primary_reports &Reports) {
  std::map<std::pair<base::zone_name, suspected_primary>, std::size_t> Most;
  for (const control::member &Member : State.Peers->view().Members) {
    if (!isUp(Member) || Member.Zone == State.Settings.Zone)
      continue;
    for (const wire::suspicion_count &Reported :
         Member.Report.Digest.Suspicions) {
      std::size_t &Count =
          Most[{Member.Zone, {Reported.Group, Reported.Primary}}];
      Count = std::max<std::size_t>(Count, Reported.Count);
    }
  }
  for (const auto &[Suspected, Count] : Most)
    Reports.Suspects[Suspected.second] += Count;
}

} // namespace

primary_reports collectPrimaryReports(const platform_instance_state &State) {
  primary_reports Reports;
  if (!State.Peers)
    return Reports;
  for (const control::member &Member : State.Peers->view().Members) {
    if (!isUp(Member))
      continue;
    Reports.Up.insert(Member.Name);
    std::set<suspected_primary> Suspected;
    for (const wire::group_report &Report : Member.Report.Groups)
      if (Report.Suspect)
        Suspected.emplace(Report.Group, Report.Primary);
    for (const suspected_primary &Primary : Suspected)
      ++Reports.Suspects[Primary];
  }
  addRelayedSuspects(State, Reports);
  return Reports;
}

std::size_t countSuspects(const platform_instance_state &State,
                          const primary_reports &Reports,
                          const base::service_name &Service) {
  // Reports may still name a primary that was replaced meanwhile.
  const auto Found =
      Reports.Suspects.find({Service, primaryOf(State, Service)});
  const std::size_t Others =
      Found == Reports.Suspects.end() ? 0 : Found->second;
  return Others + (suspects(State, Service) ? 1 : 0);
}

} // namespace redwinggw
