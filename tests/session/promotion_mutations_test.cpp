#include "promotion_search.hpp"

#include "criterion_test.hpp"

using namespace redwinggw::promotion_model;

/// The search of promotion_model.hpp finds a broken rule when a guard is left
/// out.
namespace {

bool breaks(setting Setting, fault Rule = fault::TwoPrimaries) {
  constexpr std::size_t MaxStates = 600'000;
  Setting.Rule = Rule;
  return searchAll(Setting, MaxStates).Broken != fault::None;
}

setting oneService() {
  setting Setting;
  Setting.Delays = 1;
  Setting.InstanceFaults = 0;
  return Setting;
}

setting twoServices() {
  setting Setting = oneService();
  Setting.Services = 2;
  Setting.DatabaseFaults = 0;
  Setting.Abandons = 0;
  return Setting;
}

} // namespace

// Guards against a target that only the orderer's memory has.
Test(promotion_mutations, needs_the_record_of_the_target) {
  setting Setting = oneService();
  Setting.Guards.RecordsTarget = false;
  cr_assert(breaks(Setting));
}

// Guards against a resumed move that orders another target.
Test(promotion_mutations, needs_the_target_of_a_resumed_move) {
  setting Setting = oneService();
  Setting.Guards.ResumesTarget = false;
  cr_assert(breaks(Setting));
}

// Guards against a record that a change of orderer does not refuse.
Test(promotion_mutations, needs_the_check_of_the_orderers_row) {
  setting Setting = twoServices();
  Setting.Guards.RecordChecksOrderer = false;
  cr_assert(breaks(Setting, fault::OldToken));
}

// Guards against an acknowledgement while an own order is in flight.
Test(promotion_mutations, needs_the_end_of_an_order_before_acknowledging) {
  setting Setting = twoServices();
  Setting.Guards.InFlightWithholds = false;
  cr_assert(breaks(Setting, fault::OldToken));
}

// Guards against an acknowledgement while an order of another service is in
// flight.
Test(promotion_mutations, needs_the_end_of_orders_of_all_services) {
  setting Setting = twoServices();
  Setting.Guards.WithholdsAllServices = false;
  cr_assert(breaks(Setting, fault::OldToken));
}

// Guards against an acknowledgement between the record and its order.
Test(promotion_mutations, needs_to_count_an_order_from_its_record) {
  setting Setting = twoServices();
  Setting.Guards.InFlightFromRecord = false;
  cr_assert(breaks(Setting, fault::OldToken));
}

// Guards against an epoch of another service taken for an acknowledgement.
Test(promotion_mutations, needs_acknowledgements_by_service) {
  setting Setting = twoServices();
  Setting.Guards.AcknowledgesByService = false;
  cr_assert(breaks(Setting));
}

// Guards against a target that is replaced while its order may arrive.
Test(promotion_mutations, needs_the_settle_time) {
  setting Setting = oneService();
  Setting.Guards.Settles = false;
  cr_assert(breaks(Setting));
}

// Guards against a move that forgets the orders of the move before.
Test(promotion_mutations, needs_the_settle_time_of_the_move_before) {
  setting Setting = oneService();
  Setting.Moves = 2;
  Setting.Takeovers = 0;
  Setting.Abandons = 0;
  Setting.Guards.SettlesEarlierMoves = false;
  cr_assert(breaks(Setting));
}

// Guards against an accepted order that is taken for one that has taken effect.
Test(promotion_mutations, needs_the_effect_of_accepted_orders) {
  setting Setting = oneService();
  Setting.Guards.SettlesAccepted = false;
  cr_assert(breaks(Setting));
}

// Guards against a role that is taken for a promotion.
Test(promotion_mutations, needs_the_term) {
  setting Setting = oneService();
  Setting.Guards.ChecksTerm = false;
  cr_assert(breaks(Setting));
}

// Guards against orders of two orderers at the same time.
Test(promotion_mutations, needs_turns) {
  setting Setting = oneService();
  Setting.Guards.TakesTurns = false;
  cr_assert(breaks(Setting, fault::OldToken));
}

// Guards against a turn that is counted from a claim before the former
// orderer's.
Test(promotion_mutations, needs_turns_from_the_change_of_orderer) {
  setting Setting = twoServices();
  Setting.Guards.TurnsByOrderer = false;
  cr_assert(breaks(Setting, fault::OldToken));
}

// Guards against an order of a claim from an earlier time as the orderer.
Test(promotion_mutations, needs_the_end_of_former_claims) {
  setting Setting = twoServices();
  Setting.Guards.TasksEndWithTenure = false;
  cr_assert(breaks(Setting, fault::OldToken));
}

// Guards against an instance that takes its name in the orderer's row for a
// turn, though the commit that wrote it was in doubt.
Test(promotion_mutations, needs_the_memory_of_its_commit) {
  setting Setting = oneService();
  Setting.Doubts = 1;
  Setting.DatabaseFaults = 0;
  Setting.Guards.KnowsOwnTenure = false;
  cr_assert(breaks(Setting, fault::OldToken));
}

// Guards against a resumed move that orders anew after a time in which the
// earlier order need not have arrived.
Test(promotion_mutations, needs_more_than_a_short_wait) {
  setting Setting = oneService();
  Setting.Guards.RecordsTarget = false;
  Setting.Guards.ResumesTarget = false;
  Setting.Guards.RecordChecksOrderer = false;
  Setting.Guards.WithholdsAllServices = false;
  Setting.Guards.InFlightFromRecord = false;
  Setting.Guards.Settles = false;
  Setting.Guards.SettlesEarlierMoves = false;
  Setting.Guards.TakesTurns = false;
  cr_assert(breaks(Setting, fault::OldToken));
}
