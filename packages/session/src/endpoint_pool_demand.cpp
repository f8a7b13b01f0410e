#include "redwinggw/session/endpoint_pool.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

/// The pool with connection_policy::Demand: connection_plan.hpp decides.
namespace redwinggw::session {

using base::instant;
using base::microseconds;

void endpoint_pool::noteDemand(std::string_view Customer) {
  session::noteDemand(Plan, Customer, base::now());
}

connection_decision endpoint_pool::decide(slot_level Level,
                                          std::string_view Customer) const {
  connection_room Room;
  Room.Open = Open;
  Room.Limit = Limits.Connections;
  Room.Slots = Entry.Slots;
  Room.Refused = wasRefused(Limits.FullPause);
  Room.MayOpen = !Room.Refused && mayOpen();
  return decideConnection(Plan, Room, Customer, Level, base::now());
}

bool endpoint_pool::canConnect(slot_level Level,
                               std::string_view Customer) const {
  // An evacuated endpoint's statements are woken to be refused.
  return Evacuated || hasIdle(Customer) ||
         decide(Level, Customer).Step != connection_step::Wait;
}

base::task<acquired>
endpoint_pool::acquireByDemand(slot_level Level, base::customer_name Customer,
                               session_values Values, instant Deadline) {
  if (Evacuated)
    co_return acquired{nullptr, acquire_failure::Exhausted};
  while (link_handle Link = takeIdle(Customer, Values)) {
    if (Link->Link->isUsable())
      co_return acquired{std::move(Link)};
    --useOf(Customer).InUse;
    --Open;
  }
  const connection_decision Decision = decide(Level, Customer);
  if (Decision.Step == connection_step::Wait)
    co_return acquired{nullptr, acquire_failure::MustWait};
  if (Decision.Step == connection_step::Replace)
    closeOneOf(Decision.Victim);
  co_return co_await connect(std::move(Customer), Deadline);
}

base::task<bool> endpoint_pool::awaitConnection(slot_level Level,
                                                base::customer_name Customer,
                                                instant Until) {
  const instant Now = base::now();
  // No event shows that the endpoint may accept connections again.
  const instant Accepted = RefusedAt.value_or(Until) + Limits.FullPause;
  const bool InTime = Now + expectedConnection(Plan, Customer) <= Until;
  if (!InTime || DemandWaiters.size() >= MaxWaiting || isStalled(Now))
    co_return false;
  const std::uint64_t Id = Waiters.nextNumber();
  const auto After =
      std::ranges::upper_bound(DemandWaiters, Level, {}, &demand_waiter::Level);
  DemandWaiters.insert(After, {Id, Customer, Level});
  ++useOf(Customer).Waiting;
  const bool Woken = co_await Waiters.wait(
      Id, Accepted > Now ? std::min(Until, Accepted) : Until);
  --useOf(Customer).Waiting;
  if (!Woken)
    std::erase_if(DemandWaiters,
                  [&](const demand_waiter &Waiter) { return Waiter.Id == Id; });
  if (Evacuated)
    wakeNext();
  co_return Woken || base::now() < Until;
}

/// Wakes the first statement that can connect now. Customers are looked at
/// once for each level, however many of their statements wait.
void endpoint_pool::wakeByDemand() {
  std::set<std::pair<slot_level, std::string_view>> Seen;
  for (auto At = DemandWaiters.begin(); At != DemandWaiters.end();) {
    const bool First = Seen.emplace(At->Level, At->Customer).second;
    if (!First || !canConnect(At->Level, At->Customer)) {
      ++At;
      continue;
    }
    const bool Woken = Waiters.wake(At->Id);
    Seen.clear();
    At = DemandWaiters.erase(At);
    if (Woken)
      return;
  }
}

void endpoint_pool::closeUnusedByDemand(instant Now) {
  const auto IsKept = [&](const pooled_link &Link) {
    const customer_use &Use = useOf(Link.Customer);
    return Use.Idle == 1 && Open <= Limits.SteadyConnections &&
           Now - Link.UsedAt <=
               std::min<microseconds>(Limits.IdleTime, keptFor(Use, Now));
  };
  for (auto At = Idle.end(); At != Idle.begin();) {
    --At;
    if (!isOverdue(**At, Now) || IsKept(**At))
      continue;
    countEvicted(**At, reasonNow());
    At = Idle.erase(At);
  }
}

} // namespace redwinggw::session
