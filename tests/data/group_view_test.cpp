#include "redwinggw/data/group_view.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::data;
using base::milliseconds;

namespace {

constexpr base::instant Start{milliseconds(10'000)};

endpoint_state replicaIn(base::term_number Term) {
  endpoint_state State;
  State.Name = "a";
  State.Term = Term;
  return State;
}

group_view viewInTerm(base::term_number Term) {
  group_view View;
  control::endpoint Endpoint;
  Endpoint.Name = "a";
  setMembers(View, {Endpoint});
  observeState(View, replicaIn(Term), Start);
  return View;
}

base::term_number reportedTerm(const group_view &View) {
  return View.Members[0].State.value_or(endpoint_state()).Term;
}

} // namespace

// Guards against a group that stays without its third copy: a database
// restarted empty, in the first term, and its state was ignored as a late
// answer, so that it was never told which primary to follow.
Test(group_view, a_member_that_lost_its_state_is_observed_again) {
  group_view View = viewInTerm(5);
  observeFailure(View, "a", Start + milliseconds(100));
  observeState(View, replicaIn(1), Start + milliseconds(200));
  cr_assert(reportedTerm(View) == 1);
  cr_assert(View.Members[0].Failures == 0);
  cr_assert(View.Term == 5);
}

Test(group_view, a_late_answer_of_a_lower_term_changes_nothing) {
  group_view View = viewInTerm(5);
  observeState(View, replicaIn(4), Start - milliseconds(100));
  cr_assert(reportedTerm(View) == 5);
  observeState(View, replicaIn(4), Start + milliseconds(1));
  cr_assert(reportedTerm(View) == 5);
}
