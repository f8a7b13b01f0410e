#include "native_state.hpp"

#include "redwinggw/base/log.hpp"

#include <algorithm>

/// What instances tell each other in their heartbeats.
namespace redwinggw {
namespace {

using base::instant;
using base::milliseconds;

/// A reader whose last answer of the store is older does not read for others.
constexpr milliseconds ReadsWithin{2500};
/// Reports that fit a heartbeat; more services move one after the other.
constexpr std::size_t MostGroups = 16;

bool isUp(const control::member &Member) {
  return Member.State == control::member_state::Alive;
}

bool readsStore(const control::member &Member, instant Now) {
  const wire::age_ms Age = Member.Report.OwnContactAge;
  return isUp(Member) && Member.ArrivedAt && Age != wire::NoAge &&
         milliseconds(Age) + (Now - *Member.ArrivedAt) <= ReadsWithin;
}

std::vector<wire::group_report> groupReports(const native_state &State) {
  std::vector<wire::group_report> Reports;
  if (!State.Routes)
    return Reports;
  for (const auto &[Service, Limits] : State.Routes->Services) {
    const auto *Known = findClaim(State.Claims, Service);
    const bool Suspect = suspects(State, Service);
    if ((Known == nullptr && !Suspect) || Reports.size() == MostGroups)
      continue;
    wire::group_report &Report = Reports.emplace_back();
    Report.Group = Service;
    Report.Suspect = Suspect;
    Report.Primary = primaryOf(State, Service);
    if (Known != nullptr) {
      Report.Term = Known->Claim.Epoch;
      Report.Moving = Known->Claim.Moving;
      Report.Orderer = Known->Claim.Orderer;
    }
  }
  return Reports;
}

std::vector<wire::position_report> positionReports(const native_state &State) {
  std::vector<wire::position_report> Reports;
  const instant Now = base::now();
  for (const auto &[Service, Sample] : State.OwnSamples) {
    const auto Age =
        std::chrono::ceil<milliseconds>(Now - Sample.SentAt).count();
    // Older than any bound in use: of no value to anybody.
    constexpr std::int64_t Oldest = 3000;
    if (Age <= Oldest)
      Reports.push_back({wire::hashOf(Service), Sample.Point.Term,
                         Sample.Point.Position,
                         static_cast<wire::age_ms>(Age)});
  }
  return Reports;
}

/// Whether the next heartbeats carry demands and positions. They are two thirds
/// of its bytes, and in a large fleet most of what crosses the zones.
bool isFullDue(native_state &State) {
  constexpr std::size_t AlwaysFull = 16;
  ++State.HeartbeatRound;
  const bool Large = State.Peers->view().Members.size() > AlwaysFull;
  return !Large || State.HeartbeatRound % 2 == 0;
}

void completeHeartbeat(native_state &State, wire::peer_report &Report) {
  const instant Now = base::now();
  const auto &View = State.Peers->view();
  // The parts follow at the pace of the heartbeats that carry the demands.
  const bool Due =
      !View.LastTick || Now - *View.LastTick >= View.Limits.Interval;
  if (!Due)
    return;
  Report.Full = isFullDue(State);
  if (Report.Full) {
    Report.Demands = announceDemand(State.Shares, Now);
    Report.Positions = positionReports(State);
  } else {
    Report.Demands.clear();
    Report.Positions.clear();
  }
  divideRates(State.Shares, View, isInTouch(State), Now);
  Report.Groups = groupReports(State);
  Report.ConfigurationRow = State.Stored.Row;
}

/// An agreement that another instance knows of. The token is in the store only:
/// whoever orders next reads it there.
void takeGroup(native_state &State, const wire::group_report &Report) {
  if (Report.Term == 0)
    return;
  session::primary_claim Claim;
  Claim.Service = Report.Group;
  Claim.Epoch = Report.Term;
  Claim.Primary = Report.Primary;
  Claim.Moving = Report.Moving;
  Claim.Orderer = Report.Orderer;
  takeClaim(State, Claim);
}

void takePositions(native_state &State, const control::member &Member) {
  if (!Member.ReportAt || !State.Routes)
    return;
  const instant Now = base::now();
  for (const wire::position_report &Report : Member.Report.Positions)
    for (const auto &[Service, Limits] : State.Routes->Services)
      if (wire::hashOf(Service) == Report.Group)
        // ReportAt is the earliest time at which the report can have been
        // made, so the sample never looks younger than it is.
        addSample(State.Endpoints.Samples[Service],
                  {*Member.ReportAt - milliseconds(Report.Age),
                   {Report.Term, Report.Position}},
                  Now);
}

void takeReport(native_state &State, const control::member &Member) {
  for (const wire::group_report &Report : Member.Report.Groups)
    takeGroup(State, Report);
  takePositions(State, Member);
  if (Member.Report.HeadVersion > State.Claims.Version)
    State.FleetReadWanted = true;
}

} // namespace

void connectPeers(native_state &State) {
  State.Peers->completeHeartbeats([&State](wire::peer_report &Report) {
    completeHeartbeat(State, Report);
  });
  State.Peers->onReport(
      [&State](const control::member &Member) { takeReport(State, Member); });
  State.Peers->onReading(
      [&State](const control::member &, const wire::store_reading &Reading) {
        takeReading(State, Reading);
      });
  State.Peers->onStranger([&State] { State.FleetReadWanted = true; });
}

bool isReader(const native_state &State) {
  if (!State.Peers)
    return true;
  if (State.Draining && hasReader(State))
    return false;
  const instant Now = base::now();
  const auto &View = State.Peers->view();
  return std::ranges::none_of(View.Members, [&](const control::member &Member) {
    return Member.Name < View.Self.Name && readsStore(Member, Now);
  });
}

bool hasReader(const native_state &State) {
  if (!State.Peers)
    return false;
  const instant Now = base::now();
  return std::ranges::any_of(
      State.Peers->view().Members, [&](const control::member &Member) {
        const bool First = Member.Name < State.Settings.Name;
        return (First || State.Draining) && readsStore(Member, Now);
      });
}

std::uint64_t newestConfigurationRow(const native_state &State) {
  std::uint64_t Newest = 0;
  if (State.Peers)
    for (const control::member &Member : State.Peers->view().Members)
      Newest = std::max(Newest, Member.Report.ConfigurationRow);
  return Newest;
}

std::size_t countSuspects(const native_state &State, std::string_view Service) {
  std::size_t Count = suspects(State, Service) ? 1 : 0;
  // Reports may still speak of a primary that was replaced meanwhile.
  const base::endpoint_name Primary = primaryOf(State, Service);
  if (!State.Peers)
    return Count;
  for (const control::member &Member : State.Peers->view().Members)
    Count += isUp(Member) &&
                     std::ranges::any_of(Member.Report.Groups,
                                         [&](const wire::group_report &Report) {
                                           return Report.Group == Service &&
                                                  Report.Suspect &&
                                                  Report.Primary == Primary;
                                         })
                 ? 1
                 : 0;
  return Count;
}

} // namespace redwinggw
