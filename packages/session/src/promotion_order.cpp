#include "redwinggw/session/promotion_order.hpp"

#include "redwinggw/session/handover.hpp"

#include <algorithm>
#include <array>

namespace redwinggw::session {
namespace {

constexpr std::array StepNames = std::to_array<base::enum_name<order_step>>({
    {order_step::Wait, "wait"},
    {order_step::Adopt, "adopt"},
    {order_step::Keep, "keep"},
    {order_step::Order, "order"},
});

const log_holder *findHolder(const order_view &View,
                             const base::endpoint_name &Name) {
  const auto Found = std::ranges::find(View.Holders, Name, &log_holder::Name);
  return Found == View.Holders.end() || !Found->Received ? nullptr : &*Found;
}

/// The endpoint that leads a later term than the agreed one, and the latest of
/// these. Null when none does.
const log_holder *promotedSince(const order_view &View) {
  const auto Term = [](const log_holder &Holder) {
    return Holder.Leads ? Holder.Term : 0;
  };
  const auto Latest = std::ranges::max_element(View.Holders, {}, Term);
  // Without an agreed term the old primary is not told apart.
  const bool Found = View.Rule.AgreedTerm != 0 &&
                     Latest != View.Holders.end() &&
                     Term(*Latest) > View.Rule.AgreedTerm;
  // An endpoint of a still later term follows one that does not answer.
  return Found && startOf(View.Holders, *Latest, View.Rule.AgreedTerm).Led
             ? &*Latest
             : nullptr;
}

order_decision decisionFor(const order_view &View, order_step Step,
                           const log_holder &Holder) {
  return {Step, Holder.Name,
          startOf(View.Holders, Holder, View.Rule.AgreedTerm)};
}

/// Whether \p Holder is the primary that is being replaced, perhaps under
/// another name.
bool isOldPrimary(const order_view &View, const log_holder &Holder) {
  return Holder.Name == View.Primary || Holder.HasPrimaryLog;
}

/// The old primary, if it has answered and leads the newest term: no commit
/// that it has acknowledged is missing in its log. Null otherwise.
const log_holder *leadingOldPrimary(const order_view &View) {
  const auto Found =
      std::ranges::find_if(View.Holders, [&](const log_holder &Holder) {
        return isOldPrimary(View, Holder) && Holder.Received &&
               startOf(View.Holders, Holder, View.Rule.AgreedTerm).Led;
      });
  return Found == View.Holders.end() ? nullptr : &*Found;
}

/// Whether the promotion of the recorded target may be ordered again.
bool isStillTarget(const order_view &View, const log_holder &Target) {
  if (isOldPrimary(View, Target) &&
      startOf(View.Holders, Target, View.Rule.AgreedTerm).Led)
    return true;
  // Earlier orders may have been carried out, whatever it has received since.
  promotion_rule Rule = View.Rule;
  Rule.Needed.reset();
  return isAcceptable(View.Holders, Target, Rule);
}

} // namespace

std::string_view orderStepName(order_step Step) {
  return base::nameOf(StepNames, Step);
}

order_decision decideOrder(const order_view &View) {
  const bool NoneOrdered = View.Target && View.Target->empty();
  // Orders that have not settled are for the target, or for the primary if they
  // were sent in the move before.
  const auto Ordered = NoneOrdered ? View.Primary : View.Target;
  const log_holder *Promoted = promotedSince(View);
  if (Promoted != nullptr && (View.OrdersSettled || Ordered == Promoted->Name))
    return decisionFor(View, order_step::Adopt, *Promoted);
  const log_holder *Target =
      NoneOrdered || !View.Target ? nullptr : findHolder(View, *View.Target);
  if (Target != nullptr && isStillTarget(View, *Target))
    return decisionFor(View, order_step::Order, *Target);
  if (!NoneOrdered && !View.OrdersSettled)
    return {};
  const log_holder *Chosen =
      View.OrdersSettled ? chooseTarget(View.Holders, View.Rule) : nullptr;
  if (Chosen != nullptr)
    return decisionFor(View, order_step::Order, *Chosen);
  const log_holder *Old = leadingOldPrimary(View);
  if (Old == nullptr || !View.MayKeepPrimary)
    return {};
  const auto Start = startOf(View.Holders, *Old, View.Rule.AgreedTerm);
  const bool MayKeep = mayKeepOldPrimary(Start, !NoneOrdered);
  return {MayKeep ? order_step::Keep : order_step::Order, Old->Name, Start};
}

} // namespace redwinggw::session
