// The transition table has more rows than the library's default limit.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30
#define BOOST_MPL_LIMIT_LIST_SIZE 30

#include "redwinggw/data/confirm.hpp"
#include "redwinggw/data/failover.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>

namespace redwinggw::data {
namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

/// \name Taking events in, before the machine looks at them
/// @{
void applyEvent(failover_order &Order, const order_started &Event) {
  Order.Now = Event.Now;
}

void applyEvent(failover_order &, const order_abandoned &) {}

void applyEvent(failover_order &Order, const row_committed &Event) {
  Order.CommitOpen = false;
  Order.Commit = Event.Outcome;
  if (Event.Outcome == commit_outcome::Stored)
    Order.OwnVersion = Event.Version;
}

void applyEvent(failover_order &Order, const row_read &Event) {
  Order.ReadOpen = false;
  Order.RowRead = Event.Row;
  const bool Ours = Event.Row && Event.Row->Record &&
                    Event.Row->Record->Order == Order.Plan.Order;
  if (Ours)
    Order.OwnVersion = Event.Row->Version;
}

void applyEvent(failover_order &Order, const time_passed &Event) {
  Order.Now = std::max(Order.Now, Event.Now);
}

void applyEvent(failover_order &Order, const member_answered &Event) {
  Order.InFlight.erase(Event.Member);
  Order.Refused |= Event.Refused;
  if (!Event.State)
    return;
  const endpoint_state &State = *Event.State;
  const bool Ours = State.Term == Order.Term && State.Order == Order.Plan.Order;
  // A member in a higher term, or in this term by another order, shows that
  // this order is no longer in force.
  Order.Refused |= State.Term >= Order.Term && !Ours;
  if (!Ours)
    return;
  const bool Known =
      std::ranges::find(Order.Sealed, State.Name, &endpoint_state::Name) !=
      Order.Sealed.end();
  if (State.Role == endpoint_role::Sealed && !Known)
    Order.Sealed.push_back(State);
  if (State.Role == endpoint_role::Primary && State.Name == Order.Chosen)
    Order.Promoted = true;
}
/// @}

std::size_t sealedNeeded(const failover_order &Order) {
  // If less than a majority is sealed, an acknowledged write may be only on the
  // unsealed members, and the old primary may go on acknowledging writes with
  // them.
  return Order.Parameters.SealMajority ? majorityOf(Order.Plan.Members.size())
                                       : 1;
}

bool hasMajority(const failover_order &Order) {
  return Order.Sealed.size() >= sealedNeeded(Order);
}

/// A majority without the suspected primary, or all members.
bool hasMajorityWithoutSuspect(const failover_order &Order) {
  const auto Others =
      std::ranges::count_if(Order.Sealed, [&](const endpoint_state &State) {
        return State.Name != Order.Plan.Suspected;
      });
  return Others >= static_cast<std::ptrdiff_t>(sealedNeeded(Order)) ||
         Order.Sealed.size() == Order.Plan.Members.size();
}

bool isExpired(const failover_order &Order) {
  return Order.Now - Order.StepSince >= Order.Parameters.StepTimeout;
}

bool isGraceOver(const failover_order &Order) {
  return Order.Now - Order.StepSince >= Order.Parameters.SealGrace;
}

bool isOwnOrder(const failover_order &Order) {
  return Order.RowRead && Order.RowRead->Record &&
         Order.RowRead->Record->Order == Order.Plan.Order;
}

bool isRowUnchanged(const failover_order &Order) {
  return Order.RowRead && Order.RowRead->Version == Order.Plan.Row.Version;
}

bool isClaimStored(const failover_order &Order) {
  // The answer of a commit can be lost after the commit was stored, and a
  // commit without an answer can still be stored later. Only the row shows
  // which.
  return Order.Commit == commit_outcome::Stored ||
         (Order.Commit == commit_outcome::Unknown &&
          !Order.Parameters.ReadBackOwnOrder);
}

failover_record recordOf(const failover_order &Order, record_state State) {
  return {Order.Term, Order.Plan.Order, Order.Plan.Orderer, State,
          Order.Chosen};
}

std::vector<endpoint_address> othersOf(const failover_order &Order) {
  std::vector<endpoint_address> Others;
  std::ranges::copy_if(Order.Plan.Members, std::back_inserter(Others),
                       [&](const endpoint_address &Member) {
                         return Member.Name != Order.Chosen;
                       });
  return Others;
}

endpoint_address chosenOf(const failover_order &Order) {
  return *std::ranges::find(Order.Plan.Members, Order.Chosen,
                            &endpoint_address::Name);
}

using commands = std::vector<failover_command>;

void claim(failover_order &Order, commands &Out) {
  const versioned_record &Row = Order.Plan.Row;
  const base::term_number Claimed = Row.Record ? Row.Record->Term : 0;
  Order.Term = std::max(Claimed, Order.Plan.SeenTerm) + 1;
  Order.CommitOpen = true;
  // The version check lets only one order win a term: of two instances that
  // read the same row, only one can change it.
  std::optional<std::uint64_t> Check;
  if (Order.Parameters.ConditionalClaim)
    Check = Row.Version;
  Out.emplace_back(commit_row{Check, recordOf(Order, record_state::Ordering)});
}

void readBack(failover_order &Order, commands &Out) {
  if (Order.ReadOpen)
    return;
  Order.ReadOpen = true;
  Out.emplace_back(read_row{});
}

void sealRemaining(failover_order &Order, commands &Out) {
  for (const endpoint_address &Member : Order.Plan.Members) {
    const bool Sealed =
        std::ranges::find(Order.Sealed, Member.Name, &endpoint_state::Name) !=
        Order.Sealed.end();
    if (Sealed || !Order.InFlight.insert(Member.Name).second)
      continue;
    Out.emplace_back(seal_member{Member, Order.Term, Order.Plan.Order});
  }
}

void promoteChosen(failover_order &Order, commands &Out) {
  if (!Order.InFlight.insert(Order.Chosen).second)
    return;
  Out.emplace_back(promote_member{chosenOf(Order), Order.Term, Order.Plan.Order,
                                  othersOf(Order)});
}

void choose(failover_order &Order, commands &Out) {
  // Chosen only once: a second choice in the same term could result in two
  // primaries.
  Order.Chosen = chooseMember(Order.Sealed, Order.Plan.Members.size(),
                              Order.Plan.Suspected, Order.Parameters)
                     .Name;
  Order.InFlight.clear();
  promoteChosen(Order, Out);
}

void record(failover_order &Order, commands &Out) {
  if (Order.CommitOpen)
    return;
  Order.CommitOpen = true;
  // Checked against the version of this order's claim, so that a later order is
  // not overwritten.
  Out.emplace_back(
      commit_row{Order.OwnVersion, recordOf(Order, record_state::Done)});
}

void followAndRecord(failover_order &Order, commands &Out) {
  for (const endpoint_address &Member : othersOf(Order))
    Out.emplace_back(
        follow_member{Member, Order.Term, Order.Plan.Order, chosenOf(Order)});
  record(Order, Out);
}

/// \name Adapters from the free functions above to Boost.MSM
/// @{
template <bool (*Holds)(const failover_order &), bool Wanted = true>
struct when {
  template <typename Event, typename Machine, typename Source, typename Target>
  bool operator()(const Event &, Machine &Fsm, Source &, Target &) const {
    return Holds(Fsm.Order) == Wanted;
  }
};

template <void (*Act)(failover_order &, commands &)> struct then {
  template <typename Event, typename Machine, typename Source, typename Target>
  void operator()(const Event &, Machine &Fsm, Source &, Target &) const {
    Act(Fsm.Order, Fsm.Out);
  }
};

template <failover_step Step> struct in_step : msm::front::state<> {
  template <typename Event, typename Machine>
  void on_entry(const Event &, Machine &Fsm) {
    Fsm.Step = Step;
    Fsm.Order.StepSince = Fsm.Order.Now;
  }
};
/// @}

/// \name Guards that combine the conditions so that at most one row fits
/// @{
bool mayRetry(const failover_order &Order) { return !isExpired(Order); }

bool isOtherOrder(const failover_order &Order) {
  return Order.RowRead && !isOwnOrder(Order) && !isRowUnchanged(Order);
}

bool mayClaimAgain(const failover_order &Order) {
  return !isOwnOrder(Order) && isRowUnchanged(Order);
}

bool isSealedBeforeGrace(const failover_order &Order) {
  return !Order.Refused && hasMajorityWithoutSuspect(Order);
}

bool isSealedAfterGrace(const failover_order &Order) {
  return hasMajority(Order) && isGraceOver(Order);
}

bool maySealMore(const failover_order &Order) {
  return !isSealedAfterGrace(Order) && !isExpired(Order);
}

bool isSealingExpired(const failover_order &Order) {
  return !isSealedAfterGrace(Order) && isExpired(Order);
}

bool isRefused(const failover_order &Order) { return Order.Refused; }

bool isPromoted(const failover_order &Order) {
  return Order.Promoted && !Order.Refused;
}

bool isRecorded(const failover_order &Order) {
  return Order.Commit != commit_outcome::Unknown;
}
/// @}

struct machine_front : msm::front::state_machine_def<machine_front> {
  failover_order Order;
  commands Out;
  failover_step Step = failover_step::Idle;

  using idle = in_step<failover_step::Idle>;
  using claiming = in_step<failover_step::Claiming>;
  using resolving = in_step<failover_step::Resolving>;
  using sealing = in_step<failover_step::Sealing>;
  using promoting = in_step<failover_step::Promoting>;
  using recording = in_step<failover_step::Recording>;
  using done = in_step<failover_step::Done>;
  using superseded = in_step<failover_step::Superseded>;
  using given_up = in_step<failover_step::GivenUp>;
  using initial_state = idle;

  // clang-format off
  struct transition_table : mpl::vector<
    Row<idle, order_started, claiming, then<claim>, none>,

    Row<claiming, row_committed, sealing, then<sealRemaining>, when<isClaimStored>>,
    Row<claiming, row_committed, resolving, then<readBack>, when<isClaimStored, false>>,
    Row<claiming, time_passed, given_up, none, when<isExpired>>,
    Row<claiming, order_abandoned, given_up, none, none>,

    Row<resolving, row_read, sealing, then<sealRemaining>, when<isOwnOrder>>,
    Row<resolving, row_read, claiming, then<claim>, when<mayClaimAgain>>,
    Row<resolving, row_read, superseded, none, when<isOtherOrder>>,
    Row<resolving, time_passed, none, then<readBack>, when<mayRetry>>,
    Row<resolving, time_passed, given_up, none, when<isExpired>>,
    Row<resolving, order_abandoned, given_up, none, none>,

    Row<sealing, member_answered, promoting, then<choose>, when<isSealedBeforeGrace>>,
    Row<sealing, member_answered, superseded, none, when<isRefused>>,
    Row<sealing, time_passed, promoting, then<choose>, when<isSealedAfterGrace>>,
    Row<sealing, time_passed, none, then<sealRemaining>, when<maySealMore>>,
    Row<sealing, time_passed, given_up, none, when<isSealingExpired>>,

    Row<promoting, member_answered, recording, then<followAndRecord>, when<isPromoted>>,
    Row<promoting, member_answered, superseded, none, when<isRefused>>,
    Row<promoting, time_passed, none, then<promoteChosen>, when<mayRetry>>,
    Row<promoting, time_passed, given_up, none, when<isExpired>>,

    Row<recording, row_committed, done, none, when<isRecorded>>,
    Row<recording, time_passed, none, then<record>, when<mayRetry>>,
    Row<recording, time_passed, done, none, when<isExpired>>
  > {};
  // clang-format on

  /// Late answers that the current state does not expect are ignored.
  template <typename Machine, typename Event>
  void no_transition(const Event &, Machine &, int) {}
};

using machine_back = msm::back::state_machine<machine_front>;

} // namespace

struct failover::machine {
  machine_back Back;
};

failover::failover(failover_plan Plan, failover_parameters Parameters)
    : Machine(std::make_unique<machine>()) {
  Machine->Back.Order.Plan = std::move(Plan);
  Machine->Back.Order.Parameters = Parameters;
  Machine->Back.start();
}

failover::failover(failover &&) noexcept = default;
failover &failover::operator=(failover &&) noexcept = default;
failover::~failover() = default;

std::vector<failover_command> failover::process(const failover_event &Event) {
  machine_back &Back = Machine->Back;
  std::visit(
      [&](const auto &Each) {
        applyEvent(Back.Order, Each);
        Back.process_event(Each);
      },
      Event);
  return std::exchange(Back.Out, {});
}

failover_step failover::step() const { return Machine->Back.Step; }

const failover_order &failover::order() const { return Machine->Back.Order; }

} // namespace redwinggw::data
