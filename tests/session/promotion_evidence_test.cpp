#include "redwinggw/session/promotion_evidence.hpp"

#include <algorithm>
#include <functional>
#include <string_view>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;

namespace {

log_holder holder(std::string Name, std::optional<log_point> Received,
                  bool Draining = false) {
  return {std::move(Name), true, Draining, Received};
}

log_holder oldPrimary(std::optional<log_point> Received) {
  return {"p", false, false, Received};
}

/// The name of the chosen endpoint; empty when there is none.
std::string_view chosen(const std::vector<log_holder> &Holders,
                        const promotion_rule &Rule) {
  const auto *Target = chooseTarget(Holders, Rule);
  return Target == nullptr ? std::string_view() : Target->Name;
}

} // namespace

// Guards against the promotion of a lagging replica while a draining one has
// every acknowledged commit.
Test(promotion_evidence, prefers_the_log_to_an_endpoint_that_stays) {
  const std::vector<log_holder> Holders{oldPrimary({}),
                                        holder("lags", {{3, 10}}),
                                        holder("drains", {{3, 12}}, true)};
  cr_assert(chosen(Holders, {1, {}}) == "drains");
  cr_assert(chosen(Holders, {0, {}}) == "drains");
}

// Guards against two moves in a row where an endpoint that stays has
// everything.
Test(promotion_evidence, prefers_a_complete_endpoint_that_stays) {
  std::vector<log_holder> Holders{oldPrimary({{3, 12}}),
                                  holder("stays", {{3, 12}}),
                                  holder("drains", {{3, 14}}, true)};
  cr_assert(chosen(Holders, {0, log_point{3, 12}}) == "stays");
  cr_assert(chosen(Holders, {0, log_point{3, 13}}) == "drains");
  cr_assert(chosen(Holders, {0, log_point{3, 15}}).empty());
  Holders[2].Received = {{3, 12}};
  cr_assert(chosen(Holders, {1, {}}) == "stays");
}

// Guards against a silent replica that is taken for one without commits.
Test(promotion_evidence, does_not_take_silence_for_an_empty_log) {
  std::vector<log_holder> Holders{oldPrimary({}), holder("a", {{3, 10}}),
                                  holder("b", {})};
  cr_assert(chosen(Holders, {1, {}}).empty());
  cr_assert(chosen(Holders, {2, {}}) == "a");
  // Without synchronous replicas an answer of the other one proves nothing.
  cr_assert(chosen(Holders, {0, {}}) == "a");
  // The old primary has answered, and the candidate has all of its log.
  Holders[0].Received = {{3, 10}};
  cr_assert(chosen(Holders, {1, {}}) == "a");
  Holders[0].Received = {{3, 11}};
  cr_assert(chosen(Holders, {1, {}}).empty());
}

// Guards against a replica in an evacuated zone that is no candidate and whose
// log is therefore not considered.
Test(promotion_evidence, counts_endpoints_that_may_not_be_promoted) {
  std::vector<log_holder> Holders{oldPrimary({}), holder("a", {{3, 10}}),
                                  holder("b", {{3, 12}})};
  Holders[2].Eligible = false;
  cr_assert(chosen(Holders, {1, {}}).empty());
  Holders[2].Received = {{3, 10}};
  cr_assert(chosen(Holders, {1, {}}) == "a");
}

namespace {

/// A group in which the primary has committed Positions[0] entries and replica
/// N has received Positions[N].
struct group_case {
  std::vector<unsigned> Positions;
  unsigned Silent = 0;
  unsigned Draining = 0;
  unsigned SynchronousReplicas = 1;
};

/// The last position that can have been acknowledged.
unsigned acknowledged(const group_case &Case) {
  std::vector<unsigned> Replicas(Case.Positions.begin() + 1,
                                 Case.Positions.end());
  std::ranges::sort(Replicas, std::greater{});
  return Replicas.at(Case.SynchronousReplicas - 1);
}

std::vector<log_holder> holdersOf(const group_case &Case) {
  std::vector<log_holder> Holders;
  for (unsigned Index = 0; Index < Case.Positions.size(); ++Index) {
    const bool Silent = (Case.Silent >> Index & 1U) != 0;
    log_holder Holder;
    Holder.Name = std::to_string(Index);
    Holder.Eligible = Index != 0;
    Holder.Draining = (Case.Draining >> Index & 1U) != 0;
    if (!Silent)
      Holder.Received = log_point{3, Case.Positions[Index]};
    Holders.push_back(Holder);
  }
  return Holders;
}

void check(const group_case &Case) {
  const auto Holders = holdersOf(Case);
  const auto *Target = chooseTarget(Holders, {Case.SynchronousReplicas, {}});
  const log_point Acknowledged{3, acknowledged(Case)};
  cr_assert(Target == nullptr || Target->Received >= Acknowledged);
  const auto Silent = std::ranges::count_if(
      Holders, [](const log_holder &Holder) { return !Holder.Received; });
  const bool OldSilent = !Holders.front().Received;
  const bool ManyAnswer = OldSilent && Silent <= Case.SynchronousReplicas &&
                          static_cast<std::size_t>(Silent) < Holders.size();
  cr_assert(Target != nullptr || !ManyAnswer);
}

/// Calls \p Check with each way to fill \p Positions from \p Index on.
void forEachPosition(std::vector<unsigned> &Positions, std::size_t Index,
                     const std::function<void()> &Check) {
  if (Index == Positions.size()) {
    Check();
    return;
  }
  constexpr unsigned MaxPosition = 3;
  const unsigned Last = Index == 0 ? MaxPosition : Positions[0];
  for (unsigned Position = 0; Position <= Last; ++Position) {
    Positions[Index] = Position;
    forEachPosition(Positions, Index + 1, Check);
  }
}

void checkGroupsOf(std::size_t Count, unsigned SynchronousReplicas) {
  group_case Case;
  Case.Positions.resize(Count);
  Case.SynchronousReplicas = SynchronousReplicas;
  forEachPosition(Case.Positions, 0, [&] {
    for (Case.Silent = 0; Case.Silent >> Count == 0; ++Case.Silent)
      for (Case.Draining = 0; Case.Draining >> Count == 0; ++Case.Draining)
        check(Case);
  });
}

} // namespace

// Guards against a target that lacks an acknowledged commit, and against a
// group that waits though enough endpoints have answered: all positions, silent
// and draining ones.
Test(promotion_evidence, covers_every_acknowledged_commit) {
  checkGroupsOf(3, 1);
  checkGroupsOf(3, 2);
  checkGroupsOf(4, 1);
  checkGroupsOf(4, 2);
}

namespace {

endpoint_status status(endpoint_role Role, base::term_number Term) {
  endpoint_status Status;
  Status.Role = Role;
  Status.Term = Term;
  return Status;
}

log_holder leads(std::string Name, base::term_number Term) {
  log_holder Holder = holder(std::move(Name), {{Term, 10}});
  Holder.Term = Term;
  Holder.Leads = true;
  return Holder;
}

constexpr base::milliseconds PromotionTime{100};
const base::instant Accepted{std::chrono::seconds(100)};

bool isPromoted(const promotion_start &Start, base::term_number Term,
                base::milliseconds Since,
                base::instant EarlierOrdersUntil = {}) {
  return hasTakenEffect(Start, status(endpoint_role::Primary, Term),
                        Accepted + Since,
                        {Accepted, EarlierOrdersUntil, PromotionTime});
}

} // namespace

// Guards against the role of a former primary, which keeps it until it learns
// of its successor, being taken for the end of its promotion.
Test(promotion_evidence, does_not_take_a_former_role_for_a_promotion) {
  const base::milliseconds Long = 10 * PromotionTime;
  const std::vector<log_holder> Holders{leads("former", 1), leads("later", 2)};
  const promotion_start Start = startOf(Holders, Holders[0], 0);
  cr_assert(!isPromoted(Start, 1, Long));
  cr_assert(!isPromoted(Start, 2, Long));
  cr_assert(isPromoted(Start, 3, {}));
  cr_assert(!hasTakenEffect(Start, status(endpoint_role::Replica, 3),
                            Accepted + Long, {Accepted, {}, PromotionTime}));
}

// Guards against endless waiting for a new term where an earlier order has
// promoted the target already, so that another one has no effect.
Test(promotion_evidence, accepts_a_target_that_leads_already) {
  const std::vector<log_holder> Holders{leads("former", 1), leads("later", 2)};
  const promotion_start Start = startOf(Holders, Holders[1], 0);
  cr_assert(!isPromoted(Start, 2, PromotionTime));
  cr_assert(isPromoted(Start, 2, PromotionTime + base::milliseconds(1)));
  cr_assert(isPromoted(Start, 3, {}));
}

// Guards against a target that an earlier order has promoted, and that is used
// though another earlier order is about to replace it.
Test(promotion_evidence, waits_for_the_effect_of_earlier_orders) {
  const std::vector<log_holder> Holders{leads("former", 1), leads("later", 2)};
  const promotion_start Start = startOf(Holders, Holders[1], 0);
  const base::instant Until = Accepted + PromotionTime;
  cr_assert(!isPromoted(Start, 3, base::milliseconds(50), Until));
  cr_assert(isPromoted(Start, 3, PromotionTime, Until));
}

// Guards against a log with commits that were given up: they would be back
// after reads that did not see them.
Test(promotion_evidence, leaves_out_logs_of_an_older_term) {
  const std::vector<log_holder> Holders{oldPrimary({}), leads("former", 1),
                                        holder("b", {})};
  cr_assert(chosen(Holders, {0, {}, 0}) == "former");
  cr_assert(chosen(Holders, {0, {}, 2}).empty());
  cr_assert(!startOf(Holders, Holders[1], 2).Led);
}

// Guards against a service without a primary for good after the endpoints of
// the agreed term were lost, and against giving them up while one may come
// back.
Test(promotion_evidence, takes_a_term_for_lost_only_when_none_may_have_it) {
  const auto IsLost = [](const log_holder &Old, const log_holder &Other,
                         bool Listed) {
    return isTermLost({Old, Other}, 2, "p", Listed);
  };
  cr_assert(IsLost(oldPrimary({}), leads("former", 1), false));
  cr_assert(!IsLost(oldPrimary({}), leads("former", 1), true));
  cr_assert(!IsLost(oldPrimary({}), leads("other", 2), false));
  cr_assert(!IsLost(oldPrimary({}), holder("silent", {}), false));
  // It was started again without its log.
  cr_assert(IsLost(oldPrimary({{0, 0}}), leads("former", 1), true));
}
