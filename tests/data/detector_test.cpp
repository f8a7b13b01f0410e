#include "redwinggw/data/detector.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::data;
using base::milliseconds;

namespace {

constexpr base::instant Start{milliseconds(10'000)};
const detector_parameters Parameters;

void reportState(group_view &View, std::string Name, endpoint_role Role,
                 base::term_number Term, base::log_position Received,
                 milliseconds At) {
  endpoint_state State;
  State.Name = std::move(Name);
  State.Role = Role;
  State.Term = Term;
  State.Received = Received;
  State.History = {{1, 0}};
  observeState(View, State, Start + At);
}

/// Primary p and replicas a and b, all of which reported at Start.
group_view healthyGroup() {
  group_view View;
  std::vector<control::endpoint> Endpoints(3);
  Endpoints[0].Name = "a";
  Endpoints[1].Name = "b";
  Endpoints[2].Name = "p";
  setMembers(View, Endpoints);
  reportState(View, "p", endpoint_role::Primary, 1, 5, milliseconds(0));
  reportState(View, "a", endpoint_role::Replica, 1, 5, milliseconds(0));
  reportState(View, "b", endpoint_role::Replica, 1, 5, milliseconds(0));
  return View;
}

suspicion_cause causeAt(const detector_state &State, const group_view &View,
                        milliseconds At) {
  return suspicionOf(State, View, Parameters, Start + At);
}

peer_report report(std::string Name, bool Suspects, milliseconds Age) {
  peer_report Report{std::move(Name), Age, {}};
  if (Suspects)
    Report.Suspicions.push_back({"g", 1});
  return Report;
}

} // namespace

Test(detector, a_primary_is_suspected_after_failures_without_a_success) {
  group_view View = healthyGroup();
  detector_state State;
  observeGroup(State, View, Start);
  observeFailure(View, "p", Start + milliseconds(100));
  cr_assert(causeAt(State, View, milliseconds(650)) == suspicion_cause::None);
  observeFailure(View, "p", Start + milliseconds(350));
  cr_assert(causeAt(State, View, milliseconds(599)) == suspicion_cause::None);
  cr_assert(causeAt(State, View, milliseconds(600)) ==
            suspicion_cause::Unresponsive);
  noteSuccess(State, Start + milliseconds(400));
  cr_assert(causeAt(State, View, milliseconds(600)) == suspicion_cause::None);
}

// Guards against a primary that is cut off from both replicas and stays
// primary: every database answers, but no write can be confirmed, so all
// outcomes are unknown.
Test(detector, a_primary_that_cannot_reach_its_replicas_is_suspected) {
  group_view View = healthyGroup();
  detector_state State;
  observeGroup(State, View, Start);
  reportState(View, "p", endpoint_role::Primary, 1, 6, milliseconds(100));
  observeGroup(State, View, Start + milliseconds(100));
  cr_assert(causeAt(State, View, milliseconds(700)) == suspicion_cause::None);
  cr_assert(causeAt(State, View, milliseconds(900)) ==
            suspicion_cause::ReplicationStalled);
  reportState(View, "b", endpoint_role::Replica, 1, 6, milliseconds(700));
  observeGroup(State, View, Start + milliseconds(700));
  cr_assert(causeAt(State, View, milliseconds(900)) == suspicion_cause::None);
}

// Guards against an outage without end: the instance that ordered a failover
// died after it had sealed the group.
Test(detector, a_term_without_a_primary_is_suspected_after_a_timeout) {
  group_view View = healthyGroup();
  detector_state State;
  observeGroup(State, View, Start);
  reportState(View, "a", endpoint_role::Sealed, 2, 5, milliseconds(100));
  observeGroup(State, View, Start + milliseconds(100));
  cr_assert(causeAt(State, View, milliseconds(1099)) == suspicion_cause::None);
  cr_assert(causeAt(State, View, milliseconds(1100)) ==
            suspicion_cause::NoPrimary);
}

Test(detector, one_instances_broken_link_causes_no_failover) {
  struct row {
    std::vector<peer_report> Reports;
    bool Agreed;
  };
  const milliseconds New(100);
  const milliseconds Old(5000);
  const std::vector<row> Rows{
      {{}, true},
      {{report("b", false, New)}, false},
      {{report("b", true, New)}, true},
      {{report("b", false, Old)}, true},
      {{report("b", false, New), report("c", false, New)}, false},
      {{report("b", true, New), report("c", false, New)}, true},
      {{report("b", false, Old), report("c", false, Old)}, false},
      {{report("b", true, New), report("c", false, New),
        report("d", false, New)},
       false},
  };
  for (const row &Row : Rows)
    cr_assert(isSuspectedByQuorum({"g", 1}, Row.Reports, Parameters) ==
              Row.Agreed);
}

Test(detector, a_suspicion_of_an_earlier_term_does_not_count) {
  peer_report Report{"b", milliseconds(100), {{"g", 1}}};
  cr_assert(!isSuspectedByQuorum({"g", 2}, {Report}, Parameters));
}
