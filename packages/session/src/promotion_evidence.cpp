#include "redwinggw/session/promotion_evidence.hpp"

#include <algorithm>
#include <ranges>
#include <tuple>

namespace redwinggw::session {
namespace {

bool mayHoldMore(const log_holder &Holder, const log_point &Than) {
  return Holder.Received ? *Holder.Received > Than : !Holder.Covered;
}

} // namespace

bool holdsAcknowledged(const std::vector<log_holder> &Holders,
                       const log_holder &Target, unsigned SynchronousReplicas) {
  const auto Ahead =
      std::ranges::count_if(Holders, [&](const log_holder &Holder) {
        return Holder.Name != Target.Name &&
               mayHoldMore(Holder, Target.Received.value());
      });
  return static_cast<std::size_t>(Ahead) <= SynchronousReplicas;
}

bool isAcceptable(const std::vector<log_holder> &Holders,
                  const log_holder &Holder, const promotion_rule &Rule) {
  if (!Holder.Eligible || !Holder.Received)
    return false;
  if (Rule.Needed && *Holder.Received < *Rule.Needed)
    return false;
  // The proof covers the commits of all terms.
  return Rule.SynchronousReplicas == 0
             ? Holder.Term >= Rule.AgreedTerm
             : holdsAcknowledged(Holders, Holder, Rule.SynchronousReplicas);
}

const log_holder *chooseTarget(const std::vector<log_holder> &Holders,
                               const promotion_rule &Rule) {
  // Where acceptable endpoints need not hold all that was acknowledged, each
  // missing entry may be a lost commit.
  const bool AllComplete = Rule.SynchronousReplicas != 0 || Rule.Needed;
  const auto Rank = [&](const log_holder *Holder) {
    const bool Stays = !Holder->Draining;
    return std::tuple(AllComplete && Stays, *Holder->Received, Stays);
  };
  auto Acceptable =
      Holders | std::views::filter([&](const log_holder &Holder) {
        return isAcceptable(Holders, Holder, Rule);
      }) |
      std::views::transform([](const log_holder &Holder) { return &Holder; });
  const auto Best = std::ranges::max_element(Acceptable, std::less{}, Rank);
  return Best == Acceptable.end() ? nullptr : *Best;
}

promotion_start startOf(const std::vector<log_holder> &Holders,
                        const log_holder &Target,
                        base::term_number AgreedTerm) {
  promotion_start Start;
  Start.Newest = AgreedTerm;
  for (const log_holder &Holder : Holders)
    Start.Newest = std::max(Start.Newest, Holder.Term);
  Start.Led = Target.Leads && Target.Term == Start.Newest;
  return Start;
}

bool isTermLost(const std::vector<log_holder> &Holders,
                base::term_number AgreedTerm,
                const base::endpoint_name &Primary, bool Listed) {
  const auto MayBeOfIt = [&](const log_holder &Holder) {
    const bool Counts = Holder.Eligible || (Holder.Name == Primary && Listed);
    return Counts && (!Holder.Received || Holder.Term >= AgreedTerm);
  };
  return std::ranges::any_of(Holders, &log_holder::Eligible) &&
         std::ranges::none_of(Holders, MayBeOfIt);
}

bool hasTakenEffect(const promotion_start &Start, const endpoint_status &Status,
                    base::instant Asked, const order_times &Times) {
  if (Status.Role != endpoint_role::Primary || Asked < Times.EarlierOrdersUntil)
    return false;
  return Status.Term > Start.Newest ||
         (Start.Led && Status.Term == Start.Newest &&
          Asked > Times.Accepted + Times.PromotionTime);
}

std::string describe(const std::vector<log_holder> &Holders) {
  std::string Text;
  for (const log_holder &Holder : Holders) {
    Text += Text.empty() ? "" : ", ";
    Text += Holder.Name.empty() ? "unknown" : Holder.Name;
    Text += Holder.Received
                ? " " + std::to_string(Holder.Received->Term) + "." +
                      std::to_string(Holder.Received->Position)
                : std::string(" silent");
    if (Holder.Received)
      Text += std::string(Holder.Leads ? " leads" : " follows") + " term " +
              std::to_string(Holder.Term);
    Text += Holder.Draining ? " draining" : "";
    Text += Holder.Covered ? " covered" : "";
  }
  return Text;
}

} // namespace redwinggw::session
