#include "promotion_steps.hpp"

#include "redwinggw/session/handover.hpp"
#include "redwinggw/session/promotion_order.hpp"

#include <algorithm>
#include <optional>

namespace redwinggw::promotion_model {
namespace {

using session::order_decision;
using session::order_step;
using session::order_view;

std::string nameOf(number Database) {
  return Database == NoDatabase ? std::string() : std::to_string(Database);
}

number databaseOf(const std::string &Name) {
  return static_cast<number>(std::stoi(Name));
}

bool isCurrent(const state &State, number Orderer, number Service) {
  return State.Instances[Orderer].Known[Service].Epoch ==
         State.Orderers[Orderer].Tasks[Service].Epoch;
}

std::vector<session::log_holder> holdersOf(const service &Service,
                                           number Primary) {
  constexpr base::log_position Position = 10;
  std::vector<session::log_holder> Holders;
  for (number At = 0; At < DatabaseCount; ++At) {
    const database &Database = Service.Databases[At];
    session::log_holder Holder;
    Holder.Name = nameOf(At);
    Holder.Eligible = At != Primary;
    if (Database.Condition == condition::Running) {
      Holder.Received =
          session::log_point{Database.Term, Database.Term == 0 ? 0 : Position};
      Holder.Term = Database.Term;
      Holder.Leads = Database.Leads;
    }
    Holders.push_back(std::move(Holder));
  }
  return Holders;
}

order_view viewOf(const setting &Setting, const state &State, number Orderer,
                  number Service) {
  const claim &Known = State.Instances[Orderer].Known[Service];
  const task &Task = State.Orderers[Orderer].Tasks[Service];
  order_view View;
  View.Holders = holdersOf(State.Services[Service], Known.Primary);
  View.Rule.SynchronousReplicas = Setting.SynchronousReplicas;
  View.Rule.AgreedTerm = Known.Term;
  View.Primary = nameOf(Known.Primary);
  View.Target = nameOf(Task.Target);
  View.OrdersSettled = Task.Unsettled == 0 || !Setting.Guards.Settles;
  View.MayKeepPrimary = true;
  const bool NoneOrdered = Task.Target == NoDatabase;
  if (NoneOrdered && !Setting.Guards.SettlesEarlierMoves)
    View.OrdersSettled = true;
  // The product without targets knows only that the move was resumed.
  const bool NoTargets =
      !Setting.Guards.RecordsTarget && !Setting.Guards.ResumesTarget;
  if (NoTargets && Task.Resumed)
    View.Target.reset();
  return View;
}

void finish(state &State, number Orderer, number Service, number Primary,
            number Term) {
  State.Orderers[Orderer].Tasks[Service].Step = task_step::Finishing;
  claim &Known = State.Instances[Orderer].Known[Service];
  Known.Moving = false;
  Known.Primary = Primary;
  Known.Term = std::max(Known.Term, Term);
}

bool isStale(const setting &Setting, const service &Service, number Target,
             const task &Task, number AgreedTerm) {
  const bool New = Target != Task.Target;
  return New && Setting.SynchronousReplicas == 0 &&
         Service.Databases[Target].Term < AgreedTerm;
}

void addRecord(collector &Collector, number Orderer, number Service,
               const order_decision &Decision) {
  const state &State = Collector.State;
  const guards &Guards = Collector.Setting.Guards;
  const orderer &Self = State.Orderers[Orderer];
  const task &Task = Self.Tasks[Service];
  const service &Row = State.Services[Service];
  const bool Unchanged =
      Row.Row.Epoch == Task.Epoch && !Task.Former &&
      (!Guards.RecordChecksOrderer || State.RowVersion == Self.RowVersion);
  const bool MayOrder = !Guards.TakesTurns || Self.Turn == turn::Taken ||
                        (Self.Turn == turn::Waiting && Self.TurnWaitsFor == 0);
  if (Unchanged && !MayOrder)
    return;
  const number Target = databaseOf(Decision.Endpoint);
  auto &Next =
      add(Collector, Unchanged ? "record" : "record refused", Orderer, Target);
  task &NextTask = Next.Orderers[Orderer].Tasks[Service];
  if (!Unchanged) {
    NextTask = {};
    return;
  }
  if (isStale(Collector.Setting, Row, Target, Task,
              State.Instances[Orderer].Known[Service].Term))
    Next.Broken = fault::StaleTarget;
  Next.Orderers[Orderer].Turn = turn::Taken;
  Next.Orderers[Orderer].TurnWaitsFor = 0;
  if (Task.Target != Target && Guards.RecordsTarget) {
    ++Next.StoreVersion;
    Next.Services[Service].Row.Epoch = Next.StoreVersion;
    Next.Services[Service].RowTarget = Target;
    Next.Instances[Orderer].Known[Service].Epoch = Next.StoreVersion;
    NextTask.Epoch = Next.StoreVersion;
  }
  if (Guards.RecordsTarget)
    NextTask.Target = Target;
  NextTask.Ordered = Target;
  NextTask.StartNewest = static_cast<number>(Decision.Start.Newest);
  NextTask.StartLed = Decision.Start.Led;
  NextTask.Step = task_step::Recorded;
  if (Next.DoubtsLeft == 0)
    return;
  state Doubt = Next;
  --Doubt.DoubtsLeft;
  Doubt.Instances[Orderer] = State.Instances[Orderer];
  Doubt.Orderers[Orderer].Tasks[Service] = {};
  add(Collector, "record in doubt", Orderer, Target, true) = Doubt;
}

/// A primary by its role alone.
std::optional<number> roleOfAnother(const service &Service, number Primary) {
  for (number At = 0; At < DatabaseCount; ++At)
    if (At != Primary && Service.Databases[At].Leads &&
        Service.Databases[At].Condition == condition::Running)
      return At;
  return std::nullopt;
}

void addDecision(collector &Collector, number Orderer, number Service) {
  const state &State = Collector.State;
  if (!isHere(State, Orderer))
    return;
  const auto View = viewOf(Collector.Setting, State, Orderer, Service);
  auto Decision = session::decideOrder(View);
  const number Primary = State.Instances[Orderer].Known[Service].Primary;
  const auto Role = roleOfAnother(State.Services[Service], Primary);
  if (!Collector.Setting.Guards.ChecksTerm && Role)
    Decision = {order_step::Adopt, nameOf(*Role), Decision.Start};
  switch (Decision.Step) {
  case order_step::Wait:
    return;
  case order_step::Adopt:
  case order_step::Keep: {
    const number Endpoint = databaseOf(Decision.Endpoint);
    const bool Adopts = Decision.Step == order_step::Adopt;
    auto &Next = add(Collector, Adopts ? "adopt" : "keep", Orderer, Endpoint);
    finish(Next, Orderer, Service, Endpoint,
           State.Services[Service].Databases[Endpoint].Term);
    return;
  }
  case order_step::Order:
    addRecord(Collector, Orderer, Service, Decision);
    return;
  }
}

void addSend(collector &Collector, number Orderer, number Service) {
  const state &State = Collector.State;
  const orderer &Self = State.Orderers[Orderer];
  if (State.Instances[Orderer].Contact == contact::Crashed)
    return;
  const task &Task = Self.Tasks[Service];
  if (!State.Instances[Orderer].Lease || Task.Former ||
      !isCurrent(State, Orderer, Service)) {
    auto &Next = add(Collector, "not sent", Orderer, Service);
    Next.Orderers[Orderer].Tasks[Service] = {};
    return;
  }
  const auto Free =
      std::ranges::find(State.Orders, order_kind::Free, &order::Kind);
  if (Free == State.Orders.end())
    return;
  const auto Slot = Free - State.Orders.begin();
  auto &Next = add(Collector, "send", Orderer, Task.Ordered);
  for (const order &Order : State.Orders)
    if (Order.Kind != order_kind::Free && !Order.Late &&
        Order.Sender != Orderer && Order.Token < Self.Token)
      Next.Broken = fault::NoTurn;
  Next.Orders[static_cast<std::size_t>(Slot)] = {
      order_kind::Awaited, Service, Task.Ordered, Orderer, Self.Token, false};
  Next.Orderers[Orderer].Tasks[Service].Step = task_step::InFlight;
}

/// The order has been accepted: waits until its target leads.
void addEffect(collector &Collector, number Orderer, number Service) {
  const state &State = Collector.State;
  if (!isHere(State, Orderer))
    return;
  const task &Task = State.Orderers[Orderer].Tasks[Service];
  const database &Target = State.Services[Service].Databases[Task.Ordered];
  const bool Pending =
      std::ranges::any_of(State.Orders, [&](const order &Order) {
        return Order.Kind == order_kind::Pending && Order.Sender == Orderer &&
               Order.Service == Service;
      });
  session::endpoint_status Status;
  Status.Role = Target.Leads ? session::endpoint_role::Primary
                             : session::endpoint_role::Replica;
  Status.Term = Target.Term;
  const session::promotion_start Start{Task.StartNewest, Task.StartLed};
  session::order_times Times;
  Times.Accepted = base::instant(std::chrono::seconds(1));
  const auto Asked = Times.Accepted + base::milliseconds(Pending ? 0 : 1);
  if (Target.Condition == condition::Running &&
      hasTakenEffect(Start, Status, Asked, Times)) {
    auto &Next = add(Collector, "promoted", Orderer, Task.Ordered);
    finish(Next, Orderer, Service, Task.Ordered, Target.Term);
  } else if (!Pending) {
    auto &Next = add(Collector, "not promoted", Orderer, Task.Ordered);
    Next.Orderers[Orderer].Tasks[Service].Step = task_step::Deciding;
  }
  if (Pending && Target.Condition != condition::Running) {
    auto &Next = add(Collector, "silent target", Orderer, Task.Ordered);
    auto &NextTask = Next.Orderers[Orderer].Tasks[Service];
    NextTask.Step = task_step::Deciding;
    NextTask.Unsettled = unsettledOrders(Collector.Setting, Next, Service);
  }
}

void addRowOfEnd(collector &Collector, number Orderer, number Service) {
  const state &State = Collector.State;
  if (State.Instances[Orderer].Contact != contact::Up)
    return;
  const task &Task = State.Orderers[Orderer].Tasks[Service];
  const bool Unchanged = State.Services[Service].Row.Epoch == Task.Epoch;
  auto &Next = add(Collector, Unchanged ? "row of end" : "row of end refused",
                   Orderer, Service);
  if (Unchanged) {
    service &Row = Next.Services[Service];
    claim &Known = Next.Instances[Orderer].Known[Service];
    ++Next.StoreVersion;
    Known.Epoch = Next.StoreVersion;
    Row.Row = Known;
    Row.Row.Orderer = Orderer;
    Row.RowTarget = NoDatabase;
  }
  Next.Orderers[Orderer].Tasks[Service] = {};
  if (!Unchanged || Next.DoubtsLeft == 0)
    return;
  state Doubt = Next;
  --Doubt.DoubtsLeft;
  Doubt.Instances[Orderer] = State.Instances[Orderer];
  add(Collector, "end in doubt", Orderer, Service, true) = Doubt;
}

void addAbandon(collector &Collector, number Orderer, number Service) {
  if (Collector.State.AbandonsLeft == 0)
    return;
  auto &Next = add(Collector, "abandon", Orderer, Service, true);
  --Next.AbandonsLeft;
  Next.Orderers[Orderer].Tasks[Service] = {};
}

} // namespace

void addTaskSteps(collector &Collector, number Orderer, number Service) {
  if (Collector.State.Instances[Orderer].Contact == contact::Crashed)
    return;
  switch (Collector.State.Orderers[Orderer].Tasks[Service].Step) {
  case task_step::Idle:
    addClaim(Collector, Orderer, Service);
    return;
  case task_step::Claimed:
    addAcknowledged(Collector, Orderer, Service);
    return;
  case task_step::Deciding:
    addDecision(Collector, Orderer, Service);
    addAbandon(Collector, Orderer, Service);
    return;
  case task_step::Recorded:
    addSend(Collector, Orderer, Service);
    return;
  case task_step::InFlight:
    // Its order's steps are the platform's.
    return;
  case task_step::Accepted:
    addEffect(Collector, Orderer, Service);
    addAbandon(Collector, Orderer, Service);
    return;
  case task_step::Finishing:
    addRowOfEnd(Collector, Orderer, Service);
    return;
  }
}

} // namespace redwinggw::promotion_model
