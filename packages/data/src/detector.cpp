#include "redwinggw/data/detector.hpp"

#include "redwinggw/data/confirm.hpp"

#include <algorithm>
#include <functional>
#include <ranges>

namespace redwinggw::data {
namespace {

/// The highest position that enough replicas for a majority have received in
/// the view's term; zero when too few replicas follow it.
base::log_position receivedByMajority(const group_view &View) {
  std::vector<base::log_position> Positions;
  for (const member_view &Member : View.Members)
    if (Member.State && confirmsTerm(*Member.State, View.Term))
      Positions.push_back(Member.State->Received);
  std::ranges::sort(Positions, std::greater<>());
  const std::size_t Needed = majorityOf(View.Members.size()) - 1;
  if (Needed == 0 || Positions.size() < Needed)
    return 0;
  return Positions[Needed - 1];
}

const member_view *primaryOf(const group_view &View) {
  return View.Primary ? findMember(View, *View.Primary) : nullptr;
}

/// Last state of the primary of the highest term; null when there is no primary
/// or it has since reported that it no longer is.
const endpoint_state *primaryState(const group_view &View) {
  const member_view *Member = primaryOf(View);
  if (Member == nullptr || !Member->State)
    return nullptr;
  const endpoint_state &State = *Member->State;
  const bool IsCurrentPrimary =
      State.Role == endpoint_role::Primary && State.Term == View.Term;
  return IsCurrentPrimary ? &State : nullptr;
}

/// Whether a majority of the members answers without the primary; otherwise a
/// promotion would not help.
bool majorityWithoutPrimaryAnswers(const group_view &View) {
  const auto Answering =
      std::ranges::count_if(View.Members, [&](const member_view &Member) {
        return Member.State && Member.Failures == 0 &&
               Member.Endpoint.Name != View.Primary;
      });
  return Answering >=
         static_cast<std::ptrdiff_t>(majorityOf(View.Members.size()));
}

bool isUnresponsive(const detector_state &State, const group_view &View,
                    const detector_parameters &Parameters, base::instant Now) {
  const member_view *Primary = primaryOf(View);
  if (Primary == nullptr || Primary->Failures < Parameters.MinFailures)
    return false;
  const base::instant Since =
      std::max(Primary->FailingSince, State.LastSuccess);
  return Now - Since >= Parameters.UnresponsiveTimeout;
}

bool hasNoPrimaryTooLong(const detector_state &State,
                         const detector_parameters &Parameters,
                         base::instant Now) {
  return State.NoPrimarySince &&
         Now - *State.NoPrimarySince >= Parameters.NoPrimaryTimeout;
}

bool isReplicationStalled(const detector_state &State, const group_view &View,
                          const detector_parameters &Parameters,
                          base::instant Now) {
  const endpoint_state *Primary = primaryState(View);
  return Primary != nullptr && Primary->Received > State.Received &&
         Now - State.ProgressAt >= Parameters.StallTimeout &&
         majorityWithoutPrimaryAnswers(View);
}

} // namespace

void observeGroup(detector_state &State, const group_view &View,
                  base::instant Now) {
  const bool NewTerm = View.Term != State.Term;
  State.Term = View.Term;
  const endpoint_state *Primary = primaryState(View);
  if (Primary != nullptr || View.Term == 0)
    State.NoPrimarySince.reset();
  else if (NewTerm || !State.NoPrimarySince)
    State.NoPrimarySince = Now;
  const base::log_position Received = receivedByMajority(View);
  const bool Ahead = Primary != nullptr && Primary->Received > Received;
  if (NewTerm || Received > State.Received || !Ahead)
    State.ProgressAt = Now;
  State.Received = Received;
}

void noteSuccess(detector_state &State, base::instant At) {
  State.LastSuccess = std::max(State.LastSuccess, At);
}

suspicion_cause suspicionOf(const detector_state &State, const group_view &View,
                            const detector_parameters &Parameters,
                            base::instant Now) {
  if (isUnresponsive(State, View, Parameters, Now))
    return suspicion_cause::Unresponsive;
  if (hasNoPrimaryTooLong(State, Parameters, Now))
    return suspicion_cause::NoPrimary;
  if (isReplicationStalled(State, View, Parameters, Now))
    return suspicion_cause::ReplicationStalled;
  return suspicion_cause::None;
}

bool isSuspectedByQuorum(const suspicion &Own,
                         const std::vector<peer_report> &Reports,
                         const detector_parameters &Parameters) {
  const auto IsLive = [&](const peer_report &Report) {
    return Report.Age <= Parameters.MaxReportAge;
  };
  const auto Agrees = [&](const peer_report &Report) {
    return IsLive(Report) &&
           std::ranges::find(Report.Suspicions, Own) != Report.Suspicions.end();
  };
  const auto Live = 1 + std::ranges::count_if(Reports, IsLive);
  const auto Agreeing = 1 + std::ranges::count_if(Reports, Agrees);
  const auto Fleet = 1 + static_cast<std::ptrdiff_t>(Reports.size());
  return Agreeing * 2 > Live && (Fleet <= 2 || Agreeing >= 2);
}

} // namespace redwinggw::data
