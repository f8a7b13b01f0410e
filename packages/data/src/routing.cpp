#include "redwinggw/data/routing.hpp"

#include <algorithm>
#include <ranges>
#include <tuple>

namespace redwinggw::data {
namespace {

/// Replicas report their position about every 100 ms. One without a report for
/// this long is not used.
constexpr base::milliseconds MaxStateAge{1000};

/// Added to the estimated catch-up time, for log shipping and jitter.
constexpr base::milliseconds CatchUpMargin{5};

/// A replica that may serve the read.
struct candidate {
  const member_view *Member = nullptr;
  base::microseconds Wait{0};
  bool OtherZone = false;
  std::size_t Pending = 0;
};

auto rankOf(const candidate &Candidate) {
  return std::tuple(Candidate.Wait, Candidate.OtherZone, Candidate.Pending);
}

const endpoint_load *loadOf(const std::vector<endpoint_load> &Loads,
                            std::string_view Name) {
  const auto Found = std::ranges::find(Loads, Name, &endpoint_load::Name);
  return Found == Loads.end() ? nullptr : &*Found;
}

bool isServingReplica(const group_view &View, const member_view &Member,
                      const endpoint_state &State, base::instant Now) {
  return State.Role == endpoint_role::Replica && State.Term == View.Term &&
         !Member.Leaving && Now - Member.AskedAt < MaxStateAge;
}

/// Estimated time until the replica holds \p Position: the primary reached it
/// some time ago, and the replica's data lags by its age.
std::optional<base::microseconds> catchUpTime(const group_view &View,
                                              const member_view &Member,
                                              base::log_position Applied,
                                              const group_position &Position,
                                              base::instant Now) {
  if (Applied >= Position.Position)
    return base::microseconds(0);
  const auto Lag = ageOf(View, Applied, Member.AskedAt);
  if (!Lag)
    return std::nullopt;
  const auto Reached = std::ranges::lower_bound(View.Samples, Position.Position,
                                                {}, &primary_sample::Position);
  const base::instant Since = Reached == View.Samples.end() ? Now : Reached->At;
  return std::max(base::microseconds(0), *Lag + CatchUpMargin - (Now - Since));
}

std::optional<base::microseconds>
replicaWaitFor(const group_view &View, const member_view &Member,
               base::log_position Applied, const read_request &Read,
               const routing_settings &Settings, base::instant Now) {
  const auto Age = ageOf(View, Applied, Now);
  const bool RecentEnough =
      Settings.MutateIgnoreAge || (Age && *Age <= Read.MaxAge);
  if (!RecentEnough)
    return std::nullopt;
  if (!Read.Position || Settings.MutateIgnoreSession)
    return base::microseconds(0);
  const auto Wait = catchUpTime(View, Member, Applied, *Read.Position, Now);
  if (!Wait || *Wait > Settings.ReplicaWait)
    return std::nullopt;
  return Wait;
}

} // namespace

bool mayUseReplica(const read_request &Read, const routing_settings &Settings) {
  const bool SessionKnown = Read.Session == session_kind::Verified ||
                            Read.Session == session_kind::None;
  return Settings.Policy == read_policy::Replicas && SessionKnown &&
         Read.MaxAge > base::milliseconds(0);
}

route routeRead(const group_view &View, const read_request &Read,
                const std::vector<endpoint_load> &Loads, std::string_view Zone,
                const routing_settings &Settings, base::instant Now) {
  if (Read.MaxAge == base::milliseconds(0) ||
      Settings.Policy == read_policy::Primary)
    return {{}, {}, route_reason::NotAllowed};
  if (!mayUseReplica(Read, Settings))
    return {{}, {}, route_reason::NoSession};
  if (Read.Position && !isOnBranch(View.History, *Read.Position) &&
      !Settings.MutateIgnoreSession)
    return {{}, {}, route_reason::LostBranch};

  std::vector<candidate> Candidates;
  for (const member_view &Member : View.Members) {
    const endpoint_load *Load = loadOf(Loads, Member.Endpoint.Name);
    if (!Member.State || (Load != nullptr && Load->BreakerOpen) ||
        !isServingReplica(View, Member, *Member.State, Now))
      continue;
    if (const auto Wait = replicaWaitFor(View, Member, Member.State->Applied,
                                         Read, Settings, Now))
      Candidates.push_back({&Member, *Wait, Member.Endpoint.Zone != Zone,
                            Load == nullptr ? 0 : Load->Pending});
  }
  const auto Best = std::ranges::min_element(Candidates, {}, rankOf);
  if (Best == Candidates.end())
    return {{}, {}, route_reason::NoFreshReplica};
  const bool Waits = Best->Wait > base::microseconds(0);
  return {Best->Member->Endpoint.Name, Best->Wait,
          Waits ? route_reason::ReplicaAfterWait : route_reason::ReplicaFresh};
}

bool isFreshEnough(const group_view &View, const endpoint_state &AnswerState,
                   base::log_position ReadPosition, const read_request &Read,
                   const routing_settings &Settings, base::instant SentAt) {
  // A replica in an older term may be on a lost branch; one in a newer term has
  // a history that this instance does not know yet.
  if (AnswerState.Term != View.Term)
    return false;
  const auto Age = ageOf(View, ReadPosition, SentAt);
  if (!Settings.MutateIgnoreAge && (!Age || *Age > Read.MaxAge))
    return false;
  return !Read.Position || Settings.MutateIgnoreSession ||
         covers(View.History, ReadPosition, *Read.Position);
}

} // namespace redwinggw::data
