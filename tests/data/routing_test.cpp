#include "redwinggw/data/routing.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::data;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Accepts{1000};
const base::instant Start{std::chrono::seconds(100)};

endpoint_state stateOf(const std::string &Name, endpoint_role Role,
                       base::log_position Applied, base::term_number Term = 1) {
  return {Name, Role, Term, "initial", Applied, Applied, {{1, 0}}};
}

control::endpoint endpointIn(const std::string &Name, const std::string &Zone) {
  return {Name, "orders", {"127.0.0.1", 1}, Zone, 5, 35};
}

/// A primary p at position 100 and replicas r1 (zone a) and r2 (zone b) at 90;
/// the primary was at 90 twenty milliseconds ago.
group_view groupAt(base::instant Now) {
  group_view View;
  View.Group = "orders";
  setMembers(View, {endpointIn("p", "a"), endpointIn("r1", "a"),
                    endpointIn("r2", "b")});
  observeState(View, stateOf("p", endpoint_role::Primary, 90),
               Now - milliseconds(20));
  observeState(View, stateOf("p", endpoint_role::Primary, 100), Now);
  observeState(View, stateOf("r1", endpoint_role::Replica, 90), Now);
  observeState(View, stateOf("r2", endpoint_role::Replica, 90), Now);
  return View;
}

read_request sessionRead(base::log_position Position) {
  return {session_kind::Verified, group_position{"orders", 1, Position},
          Accepts};
}

route routed(const read_request &Read, const std::string &Zone = "b",
             const routing_settings &Settings = {}) {
  return routeRead(groupAt(Start), Read, {}, Zone, Settings, Start);
}

} // namespace

Test(routing, a_covered_session_reads_in_its_own_zone) {
  cr_assert(routed(sessionRead(90), "b").Replica == "r2");
  cr_assert(routed(sessionRead(90), "a").Replica == "r1");
}

// Guards against a session that misses its own write: it wrote, moved to
// another instance and reads there, but the replica has not applied the write
// yet.
Test(routing, a_session_ahead_of_the_replicas_waits_or_reads_the_primary) {
  const route Waits = routed(sessionRead(100));
  cr_assert(Waits.Reason == route_reason::ReplicaAfterWait);
  cr_assert(Waits.Wait > milliseconds(0));
  routing_settings Settings;
  Settings.ReplicaWait = milliseconds(0);
  cr_assert(!routed(sessionRead(100), "b", Settings).Replica);
  // The mutation shows that the test detects the failure.
  Settings.MutateIgnoreSession = true;
  cr_assert(routed(sessionRead(100), "b", Settings).Replica.has_value());
}

// Without a valid token, for example because the answer to a write was lost, it
// is unknown what the session has written. Only the primary may serve the read,
// unless the caller declares that it has no session.
Test(routing, a_missing_or_invalid_token_reads_the_primary) {
  read_request Read = sessionRead(90);
  Read.Position.reset();
  for (const session_kind Kind :
       {session_kind::Missing, session_kind::Invalid}) {
    Read.Session = Kind;
    cr_assert(!routed(Read).Replica);
  }
  Read.Session = session_kind::None;
  cr_assert(routed(Read).Replica.has_value());
}

Test(routing, a_token_of_a_lost_branch_reads_the_primary) {
  read_request Read = sessionRead(90);
  Read.Position = group_position{"orders", 7, 90};
  cr_assert(routed(Read).Reason == route_reason::LostBranch);
}

Test(routing, a_read_that_accepts_no_age_reads_the_primary) {
  read_request Read = sessionRead(90);
  Read.MaxAge = milliseconds(0);
  cr_assert(!routed(Read).Replica);
}

// Guards against replicas that still answer after replication has stopped:
// their data becomes older than the read accepts.
Test(routing, a_replica_older_than_declared_is_not_used) {
  read_request Read = sessionRead(90);
  Read.MaxAge = milliseconds(19);
  cr_assert(!routed(Read).Replica);
  Read.MaxAge = milliseconds(20);
  cr_assert(routed(Read).Replica.has_value());
}

// Guards against a replica that was rebuilt empty after routing had seen it at
// position 90, and that answers from position 3. The state in the answer, not
// the one that routing used, decides whether the answer is returned.
Test(routing, an_answer_is_checked_by_its_own_state) {
  const group_view View = groupAt(Start);
  const endpoint_state State = stateOf("r1", endpoint_role::Replica, 90);
  const read_request Read = sessionRead(90);
  cr_assert(isFreshEnough(View, State, 90, Read, {}, Start));
  cr_assert(!isFreshEnough(View, State, 3, Read, {}, Start));
  const endpoint_state Older = stateOf("r1", endpoint_role::Replica, 90, 0);
  cr_assert(!isFreshEnough(View, Older, 90, Read, {}, Start));
}

Test(routing, a_busy_or_failing_replica_is_passed_over) {
  const group_view View = groupAt(Start);
  const auto RoutedWith = [&](std::vector<endpoint_load> Loads) {
    return routeRead(View, sessionRead(90), Loads, "c", {}, Start).Replica;
  };
  cr_assert(RoutedWith({{"r1", 5, false}, {"r2", 0, false}}) == "r2");
  cr_assert(RoutedWith({{"r1", 5, false}, {"r2", 0, true}}) == "r1");
}
