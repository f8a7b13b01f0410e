#include "endpoint/replica.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using data::endpoint_role;

namespace {

standin::log_entry entry(base::term_number Term) { return {Term, {}, {}}; }

/// A verified replica with \p Entries log entries of term 1.
standin::replica replicaWith(std::size_t Entries) {
  standin::replica Replica;
  Replica.Log.assign(Entries, entry(1));
  return Replica;
}

} // namespace

Test(rule_1, a_lower_term_or_another_order_of_the_same_term_is_refused) {
  standin::replica Replica;
  cr_assert(seal(Replica, 3, "a"));
  cr_assert(!seal(Replica, 2, "b"));
  cr_assert(!seal(Replica, 3, "b"));
  cr_assert(!promote(Replica, 2, "b"));
  cr_assert(!promote(Replica, 3, "b"));
  cr_assert(!follow(Replica, 3, "b"));
  cr_assert(Replica.Role == endpoint_role::Sealed);
  cr_assert(promote(Replica, 3, "a"));
  cr_assert(promote(Replica, 3, "a"));
}

// Guards against sealing a promoted primary: the network delivers the seal of
// the same order a second time, after the promotion.
Test(rule_1, a_late_copy_of_the_seal_does_not_stop_the_new_primary) {
  standin::replica Replica = replicaWith(2);
  cr_assert(seal(Replica, 2, "a"));
  cr_assert(promote(Replica, 2, "a"));
  cr_assert(seal(Replica, 2, "a"));
  cr_assert(Replica.Role == endpoint_role::Primary);
  cr_assert(Replica.History.back() == (data::history_row{2, 2}));
}

// Guards against losing an acknowledged write: a replica is sealed for a
// promotion and then accepts log entries from the replaced primary, which
// counts that as a confirmation.
Test(rule_2, a_sealed_replica_takes_no_log_and_confirms_nothing) {
  standin::replica Replica = replicaWith(2);
  cr_assert(confirms(Replica, 1, 2));
  cr_assert(seal(Replica, 2, "a"));
  const standin::replicate_message Late{1, "initial", {{1, 0}},
                                        3, 2,         {entry(1)}};
  cr_assert(!receive(Replica, Late, {}).Accepted);
  cr_assert(Replica.Log.size() == 2);
  cr_assert(!confirms(Replica, 1, 2));
  cr_assert(!confirms(Replica, 2, 2));
}

// Guards against reads that return a lost write: the replaced primary keeps an
// entry that no replica had received when another one was promoted.
Test(rule_3, a_replaced_primary_drops_what_the_new_one_never_had) {
  standin::replica Old = replicaWith(3);
  Old.Role = endpoint_role::Primary;
  Old.Applied = 3;
  cr_assert(follow(Old, 2, "a"));
  cr_assert(stateOf(Old).Received == 0);
  cr_assert(!confirms(Old, 2, 3));
  const standin::replicate_message First{2, "a", {{1, 0}, {2, 2}},
                                         4, 3,   {entry(2)}};
  const auto Outcome = receive(Old, First, {});
  cr_assert(Outcome.Accepted && Outcome.Rebuild);
  cr_assert(Old.Log.size() == 2 && Old.Applied == 0);
  const standin::replicate_message Rest{2, "a", {{1, 0}, {2, 2}},
                                        4, 2,   {entry(2), entry(2)}};
  cr_assert(receive(Old, Rest, {}).Accepted);
  cr_assert(stateOf(Old).Received == 4);
  cr_assert(confirms(Old, 2, 4));
}

Test(rule_3, a_repeated_message_adds_nothing) {
  standin::replica Replica = replicaWith(1);
  const standin::replicate_message Message{1, "initial", {{1, 0}},
                                           3, 1,         {entry(1), entry(1)}};
  cr_assert(receive(Replica, Message, {}).Accepted);
  cr_assert(receive(Replica, Message, {}).Accepted);
  cr_assert(Replica.Log.size() == 3);
}

// Guards against losing an acknowledged write in the second of two failovers: a
// replica follows the new primary but receives nothing from it, and hides the
// entries that it confirmed in the previous term.
Test(rule_3, a_replica_sealed_again_shows_its_whole_log) {
  standin::replica Replica = replicaWith(5);
  cr_assert(follow(Replica, 2, "a"));
  cr_assert(stateOf(Replica).Received == 0);
  cr_assert(seal(Replica, 3, "b"));
  cr_assert(stateOf(Replica).Received == 5);
  cr_assert(stateOf(Replica).History.back().Term == 1);
}
