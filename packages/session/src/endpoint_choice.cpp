#include "redwinggw/session/endpoint_choice.hpp"

#include <algorithm>

namespace redwinggw::session {
namespace {

bool isPaused(const choice_candidate &Candidate, const choice_limits &Limits,
              base::instant Now) {
  if (Candidate.Failures == 0)
    return false;
  constexpr unsigned MaxDoublings = 5;
  const unsigned Doublings = std::min(Candidate.Failures - 1, MaxDoublings);
  const auto Pause =
      std::min(Limits.FailurePause * (1U << Doublings), Limits.LongestPause);
  return Now - Candidate.LastFailure < Pause;
}

} // namespace

double expectedMs(const choice_candidate &Candidate,
                  const choice_limits &Limits) {
  const double Statement =
      Candidate.LatencyMs == 0 ? Limits.UnknownLatencyMs : Candidate.LatencyMs;
  const double Queued =
      static_cast<double>(Candidate.Load) / std::max(1U, Candidate.Slots);
  double Expected = Statement * (1 + Queued);
  Expected += Candidate.HasIdle ? 0 : Limits.ConnectMs;
  Expected += Candidate.Exhausted ? Statement : 0;
  Expected += Candidate.SameZone ? 0 : Limits.CrossZoneMs;
  Expected += Candidate.IsPrimary ? Limits.PrimaryPenaltyMs : 0;
  Expected += Candidate.ProbablyLags ? Limits.LaggingPenaltyMs : 0;
  return Expected;
}

std::vector<choice_candidate> rank(std::vector<choice_candidate> Candidates,
                                   const choice_limits &Limits,
                                   base::instant Now) {
  const auto Key = [&](const choice_candidate &Candidate) {
    const bool Last = Candidate.Draining || isPaused(Candidate, Limits, Now);
    return std::pair(Last || Candidate.Cold, expectedMs(Candidate, Limits));
  };
  std::ranges::sort(Candidates, std::less{}, Key);
  return Candidates;
}

} // namespace redwinggw::session
