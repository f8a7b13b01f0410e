#include "redwinggw/data/failover.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::data;
using base::milliseconds;

namespace {

constexpr base::instant Start{milliseconds(10'000)};

endpoint_state state(std::string Name, base::log_position Received,
                     std::vector<history_row> History) {
  endpoint_state State;
  State.Name = std::move(Name);
  State.Role = endpoint_role::Sealed;
  State.Term = 5;
  State.Order = "mine";
  State.Received = Received;
  State.History = std::move(History);
  return State;
}

member_answered sealed(std::string Name, base::log_position Received) {
  member_answered Answer;
  Answer.Member = Name;
  Answer.State = state(std::move(Name), Received, {{1, 0}});
  return Answer;
}

failover newOrder() {
  failover_plan Plan;
  Plan.Order = "mine";
  Plan.Members = {{"a", {}}, {"b", {}}, {"p", {}}};
  Plan.Suspected = "p";
  Plan.SeenTerm = 4;
  Plan.Row.Version = 7;
  failover Order(std::move(Plan), {});
  Order.process(order_started{Start});
  return Order;
}

failover_record record(base::term_number Term, std::string Order,
                       record_state State) {
  return {Term, std::move(Order), "i", State, {}};
}

} // namespace

Test(failover, the_most_advanced_log_is_that_of_the_latest_term) {
  const std::vector<history_row> Old{{1, 0}};
  const std::vector<history_row> New{{1, 0}, {3, 4}};
  struct row {
    std::vector<endpoint_state> Sealed;
    std::string Chosen;
  };
  const std::vector<row> Rows{
      {{state("a", 5, Old), state("b", 6, Old)}, "b"},
      {{state("a", 9, Old), state("b", 5, New)}, "b"},
      // b took over the history row of term 3, but none of that term's entries.
      {{state("a", 9, Old), state("b", 4, New)}, "a"},
      // The suspected primary is left out when the others are a majority.
      {{state("a", 5, Old), state("b", 6, Old), state("p", 9, Old)}, "b"},
      {{state("a", 5, Old), state("p", 9, Old)}, "p"},
  };
  for (const row &Row : Rows)
    cr_assert(chooseMember(Row.Sealed, 3, "p", {}).Name == Row.Chosen);
}

// Guards against two instances that order a promotion in the same term: the
// store accepted the first claim, but its answer was lost. Only the row shows
// whose claim it is.
Test(failover, a_lost_answer_is_resolved_by_reading_back_the_order) {
  struct row {
    versioned_record Read;
    failover_step Step;
  };
  const std::vector<row> Rows{
      {{8, record(5, "mine", record_state::Ordering)}, failover_step::Sealing},
      {{8, record(5, "other", record_state::Ordering)},
       failover_step::Superseded},
      {{7, std::nullopt}, failover_step::Claiming},
  };
  for (const row &Row : Rows) {
    failover Order = newOrder();
    Order.process(row_committed{});
    cr_assert(Order.step() == failover_step::Resolving);
    Order.process(row_read{Row.Read});
    cr_assert(Order.step() == Row.Step);
  }
}

Test(failover, a_promotion_waits_for_a_majority_of_sealed_members) {
  failover Order = newOrder();
  Order.process(row_committed{commit_outcome::Stored, 8});
  cr_assert(Order.process(sealed("a", 3)).empty());
  cr_assert(Order.step() == failover_step::Sealing);
  cr_assert(Order.process(sealed("b", 4)).size() == 1);
  cr_assert(Order.step() == failover_step::Promoting);
  cr_assert(Order.order().Chosen == "b");
}

Test(failover, a_majority_with_the_suspected_primary_waits_for_the_others) {
  failover Order = newOrder();
  Order.process(row_committed{commit_outcome::Stored, 8});
  Order.process(sealed("p", 9));
  Order.process(sealed("a", 3));
  cr_assert(Order.step() == failover_step::Sealing);
  Order.process(time_passed{Start + milliseconds(200)});
  cr_assert(Order.order().Chosen == "p");
}

// While the platform's store is down nothing is promoted, although two
// databases work. The outage is accepted, because a promotion without a claim
// could result in two primaries in one term.
Test(failover, nothing_is_promoted_while_the_store_is_down) {
  failover Order = newOrder();
  Order.process(row_committed{});
  Order.process(row_read{});
  const auto Commands = Order.process(time_passed{Start + milliseconds(1000)});
  cr_assert(Commands.size() == 1);
  cr_assert(std::holds_alternative<read_row>(Commands[0]));
  Order.process(time_passed{Start + milliseconds(3000)});
  cr_assert(Order.step() == failover_step::GivenUp);
}

Test(failover, an_order_of_another_instance_is_left_alone_until_a_timeout) {
  struct row {
    failover_record Record;
    milliseconds Waited;
    bool May;
  };
  const std::vector<row> Rows{
      {record(1, "x", record_state::Done), milliseconds(0), true},
      // Another instance was faster, and this one has not seen the new term
      // yet.
      {record(2, "x", record_state::Done), milliseconds(0), false},
      {record(2, "x", record_state::Done), milliseconds(1000), true},
      {record(2, "x", record_state::Ordering), milliseconds(999), false},
      {record(2, "x", record_state::Ordering), milliseconds(1000), true},
      {record(0, "x", record_state::Ordering), milliseconds(0), true},
  };
  group_view View;
  View.Term = 1;
  View.Primary = "p";
  for (const row &Row : Rows) {
    row_watch Watch{3, Start};
    cr_assert(mayClaim(Watch, {3, Row.Record}, View, {}, {},
                       Start + Row.Waited) == Row.May);
  }
}

Test(failover, a_returning_primary_is_told_to_follow) {
  group_view View;
  std::vector<control::endpoint> Endpoints(2);
  Endpoints[0].Name = "a";
  Endpoints[1].Name = "p";
  setMembers(View, Endpoints);
  endpoint_state Old = state("p", 9, {{1, 0}});
  Old.Role = endpoint_role::Primary;
  Old.Term = 1;
  endpoint_state New = state("a", 8, {{1, 0}, {5, 8}});
  New.Role = endpoint_role::Primary;
  observeState(View, Old, Start);
  cr_assert(membersToReconcile(View).empty());
  observeState(View, New, Start);
  const auto Orders = membersToReconcile(View);
  cr_assert(Orders.size() == 1);
  cr_assert(Orders[0].Member.Name == "p" && Orders[0].Term == 5);
  cr_assert(Orders[0].Order == "mine" && Orders[0].Primary.Name == "a");
}

Test(failover, a_record_survives_serialization) {
  const failover_record Record{4, "o", "i", record_state::Done, "a"};
  cr_assert(parseRecord(toText(Record)).value() == Record);
  cr_assert(parseRecord("{").has_error());
}
