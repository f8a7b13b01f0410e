#include "redwinggw/session/promotion_order.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;

namespace {

constexpr base::log_position Position = 10;

log_holder replica(std::string Name, base::term_number Term) {
  log_holder Holder{std::move(Name), true, false, log_point{Term, Position}};
  Holder.Term = Term;
  return Holder;
}

log_holder leader(std::string Name, base::term_number Term) {
  log_holder Holder = replica(std::move(Name), Term);
  Holder.Leads = true;
  return Holder;
}

log_holder silent(std::string Name) {
  return {std::move(Name), true, false, {}};
}

/// A holder that may not be promoted: the old primary, or one in an evacuated
/// zone.
log_holder ineligible(log_holder Holder) {
  Holder.Eligible = false;
  return Holder;
}

/// Nothing was ordered; the primary p of term 1 answers nobody, and its
/// replicas are complete.
order_view firstOrder() {
  order_view View;
  View.Holders = {ineligible(silent("p")), replica("a", 1), replica("b", 1)};
  View.Rule.AgreedTerm = 1;
  View.Primary = "p";
  View.Target = "";
  View.OrdersSettled = true;
  return View;
}

/// The promotion of b was ordered, and the order may still arrive.
order_view unsettledOrder() {
  order_view View = firstOrder();
  View.Target = "b";
  View.OrdersSettled = false;
  return View;
}

bool decides(const order_view &View, order_step Step, std::string_view Name) {
  const auto Decision = decideOrder(View);
  return Decision.Step == Step && Decision.Endpoint == Name;
}

bool waits(const order_view &View) {
  return decides(View, order_step::Wait, "");
}

} // namespace

// Guards against logs in which steps cannot be told apart.
Test(promotion_order, names_the_steps) {
  cr_assert(orderStepName(order_step::Wait) == "wait");
  cr_assert(orderStepName(order_step::Adopt) == "adopt");
  cr_assert(orderStepName(order_step::Keep) == "keep");
  cr_assert(orderStepName(order_step::Order) == "order");
}

// Guards against a first order for anything but the chosen replica.
Test(promotion_order, orders_a_replica) {
  for (const unsigned SynchronousReplicas : {0U, 1U}) {
    order_view View = firstOrder();
    View.Rule.SynchronousReplicas = SynchronousReplicas;
    cr_assert(decides(View, order_step::Order, "a"));
    View.Holders[1].Received = log_point{1, Position - 1};
    cr_assert(decides(View, order_step::Order, "b"));
  }
}

// Guards against the promotion of a replica that may lack acknowledged commits.
Test(promotion_order, waits_for_evidence) {
  order_view View = firstOrder();
  View.Rule.SynchronousReplicas = 1;
  View.Holders[2] = silent("b");
  cr_assert(waits(View));
  View.Rule.SynchronousReplicas = 0;
  cr_assert(decides(View, order_step::Order, "a"));
  View.Rule.Needed = log_point{1, Position + 1};
  cr_assert(waits(View));
}

// Guards against the promotion of a log that was given up with an earlier
// promotion.
Test(promotion_order, leaves_out_older_terms) {
  order_view View = firstOrder();
  View.Rule.AgreedTerm = 2;
  cr_assert(waits(View));
  View.Holders[2] = replica("b", 2);
  cr_assert(decides(View, order_step::Order, "b"));
}

// Guards against two targets of one move, whose orders arrive in any order.
Test(promotion_order, orders_the_recorded_target_again) {
  order_view View = unsettledOrder();
  cr_assert(decides(View, order_step::Order, "b"));
  View.OrdersSettled = true;
  cr_assert(decides(View, order_step::Order, "b"));
}

// Guards against a resumed move that waits for what the old primary received
// after its target was ordered.
Test(promotion_order, does_not_measure_the_target_by_later_entries) {
  order_view View = unsettledOrder();
  View.Rule.Needed = log_point{1, Position + 1};
  cr_assert(decides(View, order_step::Order, "b"));
}

// Guards against another target while an order for a silent one may arrive.
Test(promotion_order, waits_for_orders_for_a_silent_target) {
  order_view View = unsettledOrder();
  View.Holders[2] = silent("b");
  cr_assert(waits(View));
  View.OrdersSettled = true;
  cr_assert(decides(View, order_step::Order, "a"));
}

// Guards against a service without a primary for good after its target was
// removed.
Test(promotion_order, replaces_an_unlisted_target) {
  order_view View = unsettledOrder();
  View.Holders.pop_back();
  cr_assert(waits(View));
  View.OrdersSettled = true;
  cr_assert(decides(View, order_step::Order, "a"));
}

// Guards against orders for a target in an evacuated zone.
Test(promotion_order, replaces_an_evacuated_target) {
  order_view View = unsettledOrder();
  View.Holders[2].Eligible = false;
  cr_assert(waits(View));
  View.OrdersSettled = true;
  cr_assert(decides(View, order_step::Order, "a"));
}

// Guards against the promotion of a target that has lost its log since it was
// recorded.
Test(promotion_order, replaces_a_target_without_its_log) {
  order_view View = unsettledOrder();
  View.Holders[2].Received = log_point{0, 0};
  View.Holders[2].Term = 0;
  cr_assert(waits(View));
  View.OrdersSettled = true;
  cr_assert(decides(View, order_step::Order, "a"));
  // With synchronous replicas the positions tell.
  View.Rule.SynchronousReplicas = 1;
  View.Holders[0] = ineligible(leader("p", 1));
  cr_assert(decides(View, order_step::Order, "a"));
}

// Guards against endless orders for a target that the platform refuses.
Test(promotion_order, replaces_a_refused_target_that_does_not_answer) {
  order_view View = unsettledOrder();
  View.Holders[2] = silent("b");
  // A refusal is an answer, after which nothing is under way.
  View.OrdersSettled = true;
  cr_assert(decides(View, order_step::Order, "a"));
  View.Holders[1] = silent("a");
  cr_assert(waits(View));
}

// Guards against another order after an earlier one has taken effect.
Test(promotion_order, adopts_the_promoted_target) {
  order_view View = unsettledOrder();
  View.Holders[2] = leader("b", 2);
  cr_assert(decides(View, order_step::Adopt, "b"));
  cr_assert(decideOrder(View).Start.Newest == 2);
  // Also where the commit of its promotion is all that it has.
  View.Holders[2].Eligible = false;
  cr_assert(decides(View, order_step::Adopt, "b"));
}

// Guards against agreeing on an endpoint that the order for another one is
// about to replace.
Test(promotion_order, adopts_another_endpoint_only_when_orders_have_settled) {
  order_view View = unsettledOrder();
  View.Holders[1] = leader("a", 2);
  cr_assert(decides(View, order_step::Order, "b"));
  View.Holders[2] = silent("b");
  cr_assert(waits(View));
  View.OrdersSettled = true;
  cr_assert(decides(View, order_step::Adopt, "a"));
}

// Guards against adopting the earlier one of two that were promoted.
Test(promotion_order, adopts_the_latest_term) {
  order_view View = firstOrder();
  View.Holders[1] = leader("a", 2);
  View.Holders[2] = leader("b", 3);
  cr_assert(decides(View, order_step::Adopt, "b"));
}

// Guards against adopting an endpoint that was replaced by one that does not
// answer.
Test(promotion_order, does_not_adopt_a_replaced_endpoint) {
  order_view View = firstOrder();
  View.Holders[1] = leader("a", 2);
  View.Holders[2] = replica("b", 3);
  cr_assert(decides(View, order_step::Order, "b"));
  cr_assert(decideOrder(View).Start.Newest == 3);
}

// Guards against the role of the old primary, or of one before it, being taken
// for a promotion.
Test(promotion_order, does_not_adopt_an_agreed_or_older_term) {
  order_view View = firstOrder();
  View.Rule.AgreedTerm = 2;
  View.Holders[0] = ineligible(leader("p", 2));
  View.Holders[1] = leader("a", 1);
  View.Holders[2] = silent("b");
  cr_assert(waits(View));
}

// Guards against a first move in which the primary is taken for a promoted one,
// since no term is agreed on.
Test(promotion_order, adopts_nothing_without_an_agreed_term) {
  order_view View = firstOrder();
  View.Rule.AgreedTerm = 0;
  View.Holders[0] = ineligible(leader("p", 1));
  cr_assert(decides(View, order_step::Order, "a"));
  View = unsettledOrder();
  View.Rule.AgreedTerm = 0;
  View.Holders[2] = leader("b", 2);
  cr_assert(decides(View, order_step::Order, "b"));
  cr_assert(decideOrder(View).Start.Led);
}

// Guards against keeping a primary that an unknown order may replace.
Test(promotion_order, waits_for_orders_for_an_unknown_target) {
  order_view View = unsettledOrder();
  View.Target.reset();
  View.Holders[0] = ineligible(leader("p", 1));
  View.MayKeepPrimary = true;
  cr_assert(waits(View));
  View.Holders[1] = leader("a", 2);
  cr_assert(waits(View));
  View.OrdersSettled = true;
  cr_assert(decides(View, order_step::Adopt, "a"));
  View.Holders[1] = replica("a", 1);
  cr_assert(decides(View, order_step::Order, "a"));
}

// Guards against a service without a primary although the old one serves.
Test(promotion_order, keeps_the_primary_when_nothing_can_replace_it) {
  order_view View = firstOrder();
  View.Holders = {ineligible(leader("p", 1)), silent("a"), silent("b")};
  cr_assert(waits(View));
  View.MayKeepPrimary = true;
  cr_assert(decides(View, order_step::Keep, "p"));
  // A newer term is known, so it was replaced.
  View.Rule.AgreedTerm = 2;
  cr_assert(waits(View));
}

// Guards against keeping the old primary without an order after another one was
// ordered.
Test(promotion_order, orders_the_old_primary_after_an_order) {
  order_view View = unsettledOrder();
  View.Holders = {ineligible(leader("p", 1)), silent("a"), silent("b")};
  View.MayKeepPrimary = true;
  cr_assert(waits(View));
  View.OrdersSettled = true;
  cr_assert(decides(View, order_step::Order, "p"));
  View.Target.reset();
  cr_assert(decides(View, order_step::Order, "p"));
}

// Guards against replacing the old primary while an order for it may arrive.
Test(promotion_order, orders_the_old_primary_again) {
  order_view View = unsettledOrder();
  View.Target = "p";
  View.Holders[0] = ineligible(leader("p", 1));
  cr_assert(decides(View, order_step::Order, "p"));
  View.Holders[0] = ineligible(silent("p"));
  cr_assert(waits(View));
  // It was replaced by an order after the settle time.
  View.Holders[0] = ineligible(replica("p", 2));
  View.Holders[1] = leader("a", 2);
  cr_assert(waits(View));
  View.OrdersSettled = true;
  cr_assert(decides(View, order_step::Adopt, "a"));
}

// Guards against a new primary that an order of the move before replaces again.
Test(promotion_order, waits_for_orders_of_the_move_before) {
  order_view View = firstOrder();
  View.OrdersSettled = false;
  cr_assert(waits(View));
  View.Holders[1] = leader("a", 2);
  cr_assert(waits(View));
  View.OrdersSettled = true;
  cr_assert(decides(View, order_step::Adopt, "a"));
  // Those orders are for the old primary and cannot replace it.
  View = firstOrder();
  View.OrdersSettled = false;
  View.Holders[0] = ineligible(leader("p", 1));
  cr_assert(waits(View));
  View.MayKeepPrimary = true;
  cr_assert(decides(View, order_step::Keep, "p"));
  // One of them promoted it again, after an order that came late.
  View.Holders[0] = ineligible(leader("p", 2));
  cr_assert(decides(View, order_step::Adopt, "p"));
}

// Guards against a service without a primary for good after its primary has
// restarted under another name, while drained replicas do not answer any more.
Test(promotion_order, keeps_a_primary_that_restarted_under_another_name) {
  order_view View = firstOrder();
  View.Rule.SynchronousReplicas = 1;
  log_holder Restarted = leader("q", 1);
  Restarted.HasPrimaryLog = true;
  View.Holders = {Restarted, replica("a", 1), ineligible(silent("c")),
                  ineligible(silent("d"))};
  cr_assert(waits(View));
  View.MayKeepPrimary = true;
  cr_assert(decides(View, order_step::Keep, "q"));
  // Another endpoint has led since.
  View.Holders[1] = replica("a", 2);
  cr_assert(waits(View));
}
