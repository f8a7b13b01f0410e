#include "promotion_steps.hpp"

#include <algorithm>

namespace redwinggw::promotion_model {
namespace {

void addDatabaseFaults(collector &Collector, number Service, number At) {
  if (Collector.State.DatabaseFaultsLeft == 0)
    return;
  for (const condition Condition : {condition::Dark, condition::Down}) {
    const bool Dark = Condition == condition::Dark;
    auto &Next = add(Collector, Dark ? "dark" : "down", Service, At, true);
    --Next.DatabaseFaultsLeft;
    Next.Services[Service].Databases[At].Condition = Condition;
  }
}

void addReturn(collector &Collector, number Service, number At) {
  const service &Former = Collector.State.Services[Service];
  const bool WasDown = Former.Databases[At].Condition == condition::Down;
  database &Database =
      add(Collector, "returns", Service, At).Services[Service].Databases[At];
  Database.Condition = condition::Running;
  const bool Leader = Former.Leader == At;
  Database.Leads = Leader || (Database.Leads && !WasDown);
  if (!WasDown || Leader)
    return;
  database &Empty = add(Collector, "returns empty", Service, At)
                        .Services[Service]
                        .Databases[At];
  Empty = {0, false, condition::Running};
}

/// The platform receives the order. False when it refuses it.
bool receive(state &State, const order &Order) {
  const bool Old =
      Order.Token < State.SeenToken ||
      (Order.Token == State.SeenToken && Order.Sender != State.SeenOrderer);
  if (Old && !State.LateUsed)
    State.Broken = fault::OldToken;
  State.SeenToken = std::max(State.SeenToken, Order.Token);
  State.SeenOrderer = Order.Sender;
  const service &Service = State.Services[Order.Service];
  return Service.Databases[Order.Target].Condition != condition::Down;
}

void promote(service &Service, number Target) {
  database &Database = Service.Databases[Target];
  if (Service.Leader == Target || Database.Condition == condition::Down)
    return;
  Service.Leader = Target;
  ++Service.LeaderTerm;
  Database.Term = Service.LeaderTerm;
  Database.Leads = true;
}

void endAwaited(state &State, const order &Order, task_step Step) {
  task &Task = State.Orderers[Order.Sender].Tasks[Order.Service];
  if (State.Instances[Order.Sender].Known[Order.Service].Epoch == Task.Epoch)
    Task.Step = Step;
  else
    Task = {};
}

void addAwaitedSteps(collector &Collector, std::size_t At) {
  const order Order = Collector.State.Orders[At];
  state Next = Collector.State;
  if (receive(Next, Order)) {
    Next.Orders[At].Kind = order_kind::Pending;
    endAwaited(Next, Order, task_step::Accepted);
    add(Collector, "accepted", Order.Sender, Order.Target) = Next;
  } else {
    removeOrder(Next, At);
    endAwaited(Next, Order, task_step::Deciding);
    add(Collector, "refused", Order.Sender, Order.Target) = Next;
  }
  if (Collector.State.DelaysLeft == 0)
    return;
  state &Unknown =
      add(Collector, "no answer", Order.Sender, Order.Target, true);
  --Unknown.DelaysLeft;
  Unknown.Orders[At].Kind = order_kind::Orphan;
  endAwaited(Unknown, Order, task_step::Deciding);
  task &Task = Unknown.Orderers[Order.Sender].Tasks[Order.Service];
  if (Task.Step == task_step::Deciding)
    Task.Unsettled = unsettledOrders(Collector.Setting, Unknown, Order.Service);
}

} // namespace

void removeOrder(state &State, std::size_t At) {
  State.Orders[At] = {};
  const auto Others = static_cast<number>(~(1U << At));
  for (orderer &Orderer : State.Orderers) {
    Orderer.TurnWaitsFor &= Others;
    for (task &Task : Orderer.Tasks)
      Task.Unsettled &= Others;
  }
}

number unsettledOrders(const setting &Setting, const state &State,
                       number Service) {
  unsigned Orders = 0;
  for (std::size_t At = 0; At < MaxOrders; ++At) {
    const order &Order = State.Orders[At];
    const bool Of = Service == MaxServices || Order.Service == Service;
    const bool Accepted = Order.Kind == order_kind::Pending;
    if (Order.Kind != order_kind::Free && !Order.Late && Of &&
        (!Accepted || Setting.Guards.SettlesAccepted))
      Orders |= 1U << At;
  }
  return static_cast<number>(Orders);
}

void addDatabaseSteps(collector &Collector, number Service, number At) {
  const service &Former = Collector.State.Services[Service];
  const database &Database = Former.Databases[At];
  if (Database.Condition != condition::Running) {
    addReturn(Collector, Service, At);
    return;
  }
  addDatabaseFaults(Collector, Service, At);
  const bool Follows =
      Former.Leader != At &&
      Former.Databases[Former.Leader].Condition == condition::Running &&
      (Database.Leads || Database.Term != Former.LeaderTerm);
  if (Follows)
    add(Collector, "follows", Service, At).Services[Service].Databases[At] = {
        Former.LeaderTerm, false, condition::Running};
}

void addOrderSteps(collector &Collector, std::size_t At) {
  const order Order = Collector.State.Orders[At];
  if (Order.Kind == order_kind::Free)
    return;
  if (Order.Kind == order_kind::Awaited) {
    addAwaitedSteps(Collector, At);
    return;
  }
  auto &Effect = add(Collector, "takes effect", Order.Sender, Order.Target);
  if (Order.Kind == order_kind::Orphan)
    receive(Effect, Order);
  promote(Effect.Services[Order.Service], Order.Target);
  removeOrder(Effect, At);
  if (Order.Kind != order_kind::Orphan)
    return;
  removeOrder(add(Collector, "is lost", Order.Sender, Order.Target), At);
  if (Order.Late || Collector.State.LatesLeft == 0)
    return;
  auto &Late = add(Collector, "is late", Order.Sender, Order.Target, true);
  removeOrder(Late, At);
  Late.Orders[At] = Order;
  Late.Orders[At].Late = true;
  Late.LateUsed = true;
  --Late.LatesLeft;
}

} // namespace redwinggw::promotion_model
