#include "promotion_steps.hpp"

#include "redwinggw/session/primary_claims.hpp"

#include <algorithm>

namespace redwinggw::promotion_model {
namespace {

session::primary_claim claimOf(const claim &Claim) {
  return {"s", Claim.Epoch, std::to_string(Claim.Primary), Claim.Moving, {},
          0,   Claim.Term};
}

claim claimOf(const session::primary_claim &Claim) {
  return {static_cast<number>(Claim.Epoch), Claim.Moving,
          static_cast<number>(std::stoi(Claim.Primary)), 0,
          static_cast<number>(Claim.Term)};
}

bool sameClaim(const claim &Left, const claim &Right) {
  return Left.Epoch == Right.Epoch && Left.Moving == Right.Moving &&
         Left.Term == Right.Term && Left.Primary == Right.Primary;
}

bool sameClaims(const instance &Left, const instance &Right) {
  return std::ranges::equal(Left.Known, Right.Known, sameClaim);
}

void learnFrom(const setting &Setting, state &State, number Instance,
               number Other) {
  for (number Service = 0; Service < Setting.Services; ++Service)
    learn(Setting, State, Instance, Service,
          State.Instances[Other].Known[Service]);
}

/// Adds \p Next unless the instance learns nothing by it.
void addLearned(collector &Collector, std::string_view Name, number Instance,
                number Other, const state &Next) {
  if (!sameClaims(Next.Instances[Instance],
                  Collector.State.Instances[Instance]))
    add(Collector, Name, Instance, Other) = Next;
}

void addRegained(collector &Collector, number Instance) {
  state Next = Collector.State;
  learnRows(Collector.Setting, Next, Instance);
  for (number Service = 0; Service < Collector.Setting.Services; ++Service)
    if (withholdsClaims(Collector.Setting, Next, Instance, Service))
      return;
  Next.Instances[Instance].Lease = true;
  add(Collector, "in contact", Instance, 0) = Next;
}

void crash(state &State, number At) {
  State.Instances[At] = {contact::Crashed, false, {}};
  if (At >= OrdererCount)
    return;
  State.Orderers[At] = {};
  for (order &Order : State.Orders)
    if (Order.Kind == order_kind::Awaited && Order.Sender == At)
      Order.Kind = order_kind::Orphan;
}

} // namespace

bool withholdsClaims(const setting &Setting, const state &State,
                     number Instance, number Service) {
  if (Instance >= OrdererCount || !Setting.Guards.InFlightWithholds)
    return false;
  for (number At = 0; At < Setting.Services; ++At) {
    if (At != Service && !Setting.Guards.WithholdsAllServices)
      continue;
    const task_step Step = State.Orderers[Instance].Tasks[At].Step;
    if (Step == task_step::InFlight ||
        (Step == task_step::Recorded && Setting.Guards.InFlightFromRecord))
      return true;
  }
  return false;
}

void learn(const setting &Setting, state &State, number Instance,
           number Service, const claim &Claim) {
  if (withholdsClaims(Setting, State, Instance, Service))
    return;
  claim &Known = State.Instances[Instance].Known[Service];
  if (sameClaim(Known, Claim))
    return;
  session::primary_claims Claims;
  Claims.Known["s"] = {claimOf(Known), {}};
  applyClaim(Claims, claimOf(Claim), {});
  Known = claimOf(Claims.Known["s"].Claim);
  if (Instance >= OrdererCount)
    return;
  task &Task = State.Orderers[Instance].Tasks[Service];
  if (Task.Step != task_step::InFlight && Task.Step != task_step::Idle &&
      Task.Epoch != Known.Epoch)
    Task = {};
}

void learnRows(const setting &Setting, state &State, number Instance) {
  for (number Service = 0; Service < Setting.Services; ++Service)
    learn(Setting, State, Instance, Service, State.Services[Service].Row);
}

void addInstanceSteps(collector &Collector, number At) {
  const state &State = Collector.State;
  const instance &Instance = State.Instances[At];
  if (Instance.Contact == contact::Crashed) {
    if (Collector.Setting.Restarts)
      add(Collector, "starts again", At, 0, true).Instances[At].Contact =
          contact::Up;
    return;
  }
  if (Instance.Contact == contact::Cut) {
    if (Instance.Lease)
      add(Collector, "lease ends", At, 0).Instances[At].Lease = false;
    add(Collector, "rejoins", At, 0).Instances[At].Contact = contact::Up;
    return;
  }
  if (!Instance.Lease) {
    addRegained(Collector, At);
    return;
  }
  for (number Other = 0; Other < InstanceCount; ++Other) {
    if (Other == At || State.Instances[Other].Contact != contact::Up)
      continue;
    state Next = State;
    learnFrom(Collector.Setting, Next, At, Other);
    addLearned(Collector, "hears", At, Other, Next);
  }
  state Next = State;
  learnRows(Collector.Setting, Next, At);
  addLearned(Collector, "reads rows", At, 0, Next);
}

void addInstanceFaults(collector &Collector) {
  const state &State = Collector.State;
  if (State.InstanceFaultsLeft == 0)
    return;
  for (number At = 0; At < InstanceCount; ++At) {
    if (State.Instances[At].Contact != contact::Up)
      continue;
    auto &Cut = add(Collector, "cut off", At, 0, true);
    --Cut.InstanceFaultsLeft;
    Cut.Instances[At].Contact = contact::Cut;
    auto &Crashed = add(Collector, "crash", At, 0, true);
    --Crashed.InstanceFaultsLeft;
    crash(Crashed, At);
  }
}

} // namespace redwinggw::promotion_model
