#include "redwinggw/data/confirm.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::data;

namespace {

constexpr base::instant Start{base::milliseconds(1000)};
constexpr base::instant Later = Start + base::milliseconds(5);

endpoint_state replica(std::string Name, base::term_number Term,
                       base::log_position Received) {
  endpoint_state State;
  State.Name = std::move(Name);
  State.Role = endpoint_role::Replica;
  State.Term = Term;
  State.Received = Received;
  State.History = {{Term, 0}};
  return State;
}

/// A group of p, a and b whose primary p is known in term 1.
confirm_state group(confirm_parameters Parameters = {}) {
  confirm_state State;
  State.Parameters = Parameters;
  setConfirmMembers(State, {"a", "b", "p"});
  endpoint_state Primary = replica("p", 1, 9);
  Primary.Role = endpoint_role::Primary;
  onConfirmAnswer(State, Primary, {}, Start);
  return State;
}

confirm_waiter waiter(base::log_position Position, confirm_kind Kind) {
  return {0, 1, Position, Kind, Start};
}

bool isDone(const confirm_actions &Actions, std::uint64_t Id) {
  return std::ranges::any_of(Actions.Finished, [&](const auto &Finished) {
    return Finished.Id == Id && Finished.Outcome.has_value();
  });
}

bool isDoneAtOnce(confirm_state &State, confirm_waiter &Waiter) {
  const confirm_actions Actions = addWaiter(State, Waiter);
  return isDone(Actions, Waiter.Id);
}

} // namespace

Test(confirm, concurrent_requests_share_one_query_to_each_replica) {
  confirm_state State = group();
  confirm_waiter First = waiter(5, confirm_kind::Replicated);
  confirm_waiter Second = waiter(6, confirm_kind::Replicated);
  cr_assert(addWaiter(State, First).Queries.size() == 2);
  cr_assert(addWaiter(State, Second).Queries.empty());
  const auto Actions = onConfirmAnswer(State, replica("a", 1, 6),
                                       confirm_query_kind::Wait, Later);
  cr_assert(isDone(Actions, First.Id) && isDone(Actions, Second.Id));
}

// Guards against an acknowledged write that the next primary lacks: a replica
// in another term seemed to confirm it, but its position counted entries of
// another branch.
Test(confirm, a_position_of_another_term_confirms_nothing) {
  confirm_state State = group();
  onConfirmAnswer(State, replica("a", 0, 8), {}, Later);
  confirm_waiter Write = waiter(5, confirm_kind::Replicated);
  cr_assert(!isDoneAtOnce(State, Write));
  confirm_state Broken = group({.CheckTerm = false});
  onConfirmAnswer(Broken, replica("a", 0, 8), {}, Later);
  cr_assert(isDoneAtOnce(Broken, Write));
}

// The same failure, with a replica that was just told to follow the new term
// and still has entries of a lost branch beyond the end of the new primary's
// log.
Test(confirm, a_replica_without_the_terms_history_confirms_nothing) {
  confirm_state State = group();
  endpoint_state JustTold = replica("a", 1, 8);
  JustTold.History = {{0, 0}};
  confirm_waiter Write = waiter(5, confirm_kind::Replicated);
  addWaiter(State, Write);
  cr_assert(
      !isDone(onConfirmAnswer(State, JustTold, confirm_query_kind::Wait, Later),
              Write.Id));
}

// Guards against a stale read after another caller's write was acknowledged: a
// replaced primary answered, and a replica's answer from before the request was
// taken as proof that the primary was still in place.
Test(confirm, a_read_needs_a_query_sent_after_it_arrived) {
  confirm_state State = group();
  const base::instant Before = Start - base::milliseconds(1);
  onConfirmAnswer(State, replica("a", 1, 9), {}, Before);
  confirm_waiter Write = waiter(5, confirm_kind::Replicated);
  cr_assert(isDoneAtOnce(State, Write));
  confirm_waiter Read = waiter(5, confirm_kind::ReplicatedAndCurrent);
  const auto Asked = addWaiter(State, Read);
  cr_assert(!isDone(Asked, Read.Id) && Asked.Queries.size() == 3);
  const auto Answer = onConfirmAnswer(State, replica("b", 1, 9),
                                      confirm_query_kind::Current, Start);
  cr_assert(isDone(Answer, Read.Id));
}

Test(confirm, a_higher_term_ends_the_wait_at_once) {
  confirm_state State = group();
  confirm_waiter Write = waiter(5, confirm_kind::Replicated);
  addWaiter(State, Write);
  const auto Actions = onConfirmAnswer(State, replica("a", 2, 9),
                                       confirm_query_kind::Wait, Later);
  cr_assert(Actions.Finished.size() == 1);
  cr_assert(kindOf(Actions.Finished[0].Outcome.error()) ==
            base::errc::TermReplaced);
}

Test(confirm, a_failed_query_is_sent_again_after_a_delay) {
  confirm_state State = group();
  confirm_waiter Write = waiter(5, confirm_kind::Replicated);
  addWaiter(State, Write);
  const auto Actions = onConfirmFailure(State, "b", confirm_query_kind::Wait);
  cr_assert(Actions.Queries.size() == 1);
  cr_assert(Actions.Queries[0].Member == "b" && Actions.Queries[0].Delayed);
}
