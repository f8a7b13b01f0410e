#include "redwinggw/session/endpoint_choice.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using base::instant;
using base::milliseconds;

namespace {

const instant Now{std::chrono::seconds(100)};
const choice_limits Limits;

choice_candidate candidate(std::string Name, bool IsPrimary = false) {
  choice_candidate Candidate;
  Candidate.Name = std::move(Name);
  Candidate.IsPrimary = IsPrimary;
  Candidate.SameZone = true;
  Candidate.HasIdle = true;
  Candidate.Slots = 5;
  Candidate.LatencyMs = 30;
  return Candidate;
}

std::string best(std::vector<choice_candidate> Candidates) {
  return rank(std::move(Candidates), Limits, Now).front().Name;
}

} // namespace

Test(endpoint_choice, leaves_the_primary_to_writes) {
  cr_assert(best({candidate("p", true), candidate("r")}) == "r");
  choice_candidate Loaded = candidate("r");
  Loaded.Load = 30;
  cr_assert(best({candidate("p", true), Loaded}) == "p");
}

Test(endpoint_choice, prefers_an_idle_connection_and_the_own_zone) {
  choice_candidate Cold = candidate("cold");
  Cold.HasIdle = false;
  choice_candidate Far = candidate("far");
  Far.SameZone = false;
  cr_assert(best({Cold, Far}) == "far");
  cr_assert(best({Far, candidate("near")}) == "near");
}

// An endpoint fails: it is avoided, for longer with each failure, but stays a
// last resort, since it may be the only one.
Test(endpoint_choice, avoids_a_failing_endpoint_for_a_while) {
  choice_candidate Failing = candidate("failing");
  Failing.Failures = 2;
  Failing.LastFailure = Now - milliseconds(150);
  choice_candidate Slow = candidate("slow");
  Slow.LatencyMs = 500;
  cr_assert(best({Failing, Slow}) == "slow");
  Failing.LastFailure = Now - milliseconds(250);
  cr_assert(best({Failing, Slow}) == "failing");
  Failing.LastFailure = Now;
  cr_assert(best({Failing}) == "failing");
}

Test(endpoint_choice, avoids_a_replica_that_probably_lags) {
  choice_candidate Lagging = candidate("trailing");
  Lagging.ProbablyLags = true;
  cr_assert(best({Lagging, candidate("r")}) == "r");
  choice_candidate Leaving = candidate("leaving");
  Leaving.Draining = true;
  cr_assert(best({Leaving, Lagging}) == "trailing");
}
