#include "promotion_steps.hpp"

#include <algorithm>

namespace redwinggw::promotion_model {
namespace {

/// Whether another instance than the row's orderer may begin the move again
/// without a fault: the orderer is gone, or has given it up.
bool isAbandoned(const state &State, number Service) {
  const number Former = State.Services[Service].Row.Orderer;
  return Former >= OrdererCount ||
         State.Instances[Former].Contact != contact::Up ||
         State.Orderers[Former].Tasks[Service].Step == task_step::Idle;
}

void writeClaim(const setting &Setting, state &State, number Orderer,
                number Service) {
  service &Row = State.Services[Service];
  claim &Known = State.Instances[Orderer].Known[Service];
  orderer &Self = State.Orderers[Orderer];
  const bool Resumed = Row.Row.Moving;
  if (!Resumed || !Setting.Guards.ResumesTarget)
    Row.RowTarget = NoDatabase;
  ++State.StoreVersion;
  Row.Row = {State.StoreVersion, true, Known.Primary, Orderer, Known.Term};
  Known = Row.Row;
  Known.Orderer = 0;
  const bool Remembers = Self.RowVersion == State.RowVersion;
  if (State.RowOrderer == Orderer && !Remembers &&
      !Setting.Guards.KnowsOwnTenure)
    Self.Turn = turn::Taken;
  else if (State.RowOrderer != Orderer || !Remembers) {
    State.RowOrderer = Orderer;
    ++State.RowToken;
    Self.Turn = turn::NotBegun;
    Self.TurnWaitsFor = 0;
    Self.HeldSince = State.StoreVersion;
    for (task &Other : Self.Tasks)
      Other.Former =
          Other.Step != task_step::Idle && Setting.Guards.TasksEndWithTenure;
  }
  State.RowVersion = State.StoreVersion;
  Self.RowVersion = State.StoreVersion;
  Self.Token = State.RowToken;
  task &Task = Self.Tasks[Service];
  Task = {};
  Task.Step = task_step::Claimed;
  Task.Epoch = State.StoreVersion;
  Task.Target = Row.RowTarget;
  Task.Resumed = Resumed;
}

bool hasAcknowledged(const setting &Setting, const state &State,
                     number Instance, number Service, number Epoch) {
  const auto &Known = State.Instances[Instance].Known;
  if (Setting.Guards.AcknowledgesByService)
    return Known[Service].Epoch >= Epoch;
  return std::ranges::max(Known, {}, &claim::Epoch).Epoch >= Epoch;
}

} // namespace

bool isHere(const state &State, number Orderer) {
  return State.Instances[Orderer].Contact == contact::Up &&
         State.Instances[Orderer].Lease;
}

void addClaim(collector &Collector, number Orderer, number Service) {
  // The instances are alike: the first to claim is called 0.
  const bool First = Collector.State.RowToken == 0;
  if (!isHere(Collector.State, Orderer) || (First && Orderer != 0))
    return;
  state Read = Collector.State;
  learnRows(Collector.Setting, Read, Orderer);
  const service &Row = Read.Services[Service];
  const claim &Known = Read.Instances[Orderer].Known[Service];
  // A claim that this instance does not accept yet.
  if (Known.Epoch < Row.Row.Epoch)
    return;
  const bool Resumes = Known.Moving;
  const bool Free =
      Resumes && (Row.Row.Orderer == Orderer || isAbandoned(Read, Service));
  const bool Leaves = Orderer != 0 && Read.RowOrderer != Orderer &&
                      Read.Instances[0].Contact == contact::Up;
  if (Resumes && Collector.Setting.LeavesLostMoves && Leaves)
    return;
  // The agreed primary was replaced by a late order.
  const bool Replaced =
      !Resumes && Read.LateUsed && Row.Leader != Known.Primary;
  if (!Resumes && !Replaced && Row.MovesLeft == 0)
    return;
  if (Resumes && !Free && Read.TakeoversLeft == 0)
    return;
  state &Next = add(Collector, Resumes ? "resume" : "claim", Orderer, Service,
                    !Free && !Replaced);
  Next = Read;
  if (!Resumes && !Replaced)
    --Next.Services[Service].MovesLeft;
  if (Resumes && !Free)
    --Next.TakeoversLeft;
  const instance Before = Next.Instances[Orderer];
  const orderer Self = Next.Orderers[Orderer];
  writeClaim(Collector.Setting, Next, Orderer, Service);
  if (Next.DoubtsLeft == 0)
    return;
  state Doubt = Next;
  --Doubt.DoubtsLeft;
  Doubt.Instances[Orderer] = Before;
  Doubt.Orderers[Orderer] = Self;
  add(Collector, "claim in doubt", Orderer, Service, true) = Doubt;
}

void addAcknowledged(collector &Collector, number Orderer, number Service) {
  const state &State = Collector.State;
  const number Epoch = State.Orderers[Orderer].Tasks[Service].Epoch;
  std::size_t Count = 0;
  bool RestHasNoLease = true;
  number Term = 0;
  for (number At = 0; At < InstanceCount; ++At) {
    const instance &Instance = State.Instances[At];
    if (hasAcknowledged(Collector.Setting, State, At, Service, Epoch)) {
      ++Count;
      Term = std::max(Term, Instance.Known[Service].Term);
    } else if (Instance.Lease) {
      RestHasNoLease = false;
    }
  }
  const bool Enough =
      Count == InstanceCount || (2 * Count >= InstanceCount && RestHasNoLease);
  if (!Enough || State.Instances[Orderer].Contact != contact::Up)
    return;
  auto &Next = add(Collector, "acknowledged", Orderer, Service);
  orderer &Self = Next.Orderers[Orderer];
  Next.Instances[Orderer].Known[Service].Term = Term;
  Self.Tasks[Service].Step = task_step::Deciding;
  Self.Tasks[Service].Unsettled =
      unsettledOrders(Collector.Setting, Next, Service);
  // Acknowledgements of a claim from before the former orderer's time say
  // nothing about its orders.
  if (Self.Turn == turn::NotBegun &&
      (Epoch >= Self.HeldSince || !Collector.Setting.Guards.TurnsByOrderer)) {
    Self.Turn = turn::Waiting;
    Self.TurnWaitsFor = unsettledOrders(Collector.Setting, Next, MaxServices);
  }
}

} // namespace redwinggw::promotion_model
