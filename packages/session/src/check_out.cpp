#include "redwinggw/session/check_out.hpp"

#include <algorithm>

namespace redwinggw::session {
namespace {

using base::instant;
using base::microseconds;
using base::milliseconds;

instant setUpDeadline(const check_out_request &Request) {
  return std::min(Request.Deadline, std::max(Request.SetUpUntil, base::now()));
}

/// When to retry after \p Failure. A statement that has waited in vain shows
/// that the expectation was too short by as much.
milliseconds retryTime(const endpoint_pool &Pool,
                       const check_out_request &Request,
                       acquire_failure Failure, microseconds Waited) {
  switch (Failure) {
  case acquire_failure::NoSlot:
    return std::chrono::ceil<milliseconds>(
        std::max(Waited, Pool.expectedSlot(Request.Level, Request.Customer)));
  case acquire_failure::Exhausted:
    return std::chrono::ceil<milliseconds>(
        std::max(Waited, expectedConnection(Pool.plan(), Request.Customer)));
  case acquire_failure::EndpointRefused:
    return Pool.refusedPause();
  default:
    return milliseconds(0);
  }
}

checked_out failed(const endpoint_pool &Pool, const check_out_request &Request,
                   acquire_failure Failure, instant Since) {
  if (Failure == acquire_failure::Cold)
    return {checked_out_link(), Failure,
            coldRetryAfter(Pool.cold(), cold_use::Single, base::now())};
  // An endpoint that answers nothing is not expected to have anything.
  const bool Known = Pool.policy() == connection_policy::Demand &&
                     !Pool.isEvacuated() && !Pool.isStalled(base::now());
  return {checked_out_link(), Failure,
          Known ? retryTime(Pool, Request, Failure, base::now() - Since)
                : milliseconds(0)};
}

/// First the slot, then the connection; the slot is held while waiting for the
/// connection.
base::task<checked_out> checkOutRecent(pool_ptr Pool,
                                       check_out_request Request) {
  const instant Since = base::now();
  slot_grant Grant = co_await acquireSlot(Pool, Request.Level, Request.Customer,
                                          Request.SlotUntil);
  if (!Grant)
    co_return failed(*Pool, Request, acquire_failure::NoSlot, Since);
  acquired Acquired =
      co_await Pool->acquire(Request.Customer, Request.Values,
                             Request.ConnectionUntil, setUpDeadline(Request));
  if (!Acquired.Link)
    co_return failed(*Pool, Request, Acquired.Failure, Since);
  checked_out_link Link(Pool, std::move(Acquired.Link));
  Link.Grant = std::move(Grant);
  co_return checked_out{std::move(Link)};
}

/// Waits, without a slot, until the customer can get a connection. False if
/// that takes too long.
base::task<bool> awaitChance(pool_ptr Pool, check_out_request Request) {
  while (!Pool->canConnect(Request.Level, Request.Customer)) {
    const bool Expected = co_await Pool->awaitConnection(
        Request.Level, Request.Customer, Request.SlotUntil);
    if (!Expected)
      co_return false;
  }
  co_return true;
}

/// A statement waits for a connection without a slot, so that statements of
/// customers that have one run meanwhile. After a refusal by the endpoint it
/// tries once more, when that may help.
base::task<checked_out> checkOutByDemand(pool_ptr Pool,
                                         check_out_request Request) {
  const instant Since = base::now();
  acquire_failure Lacked = acquire_failure::Exhausted;
  Pool->noteDemand(Request.Customer);
  while (true) {
    const bool Chance = co_await awaitChance(Pool, Request);
    if (!Chance)
      co_return failed(*Pool, Request, Lacked, Since);
    slot_grant Grant = co_await acquireSlot(
        Pool, Request.Level, Request.Customer, Request.SlotUntil);
    if (!Grant) {
      // The connection that this statement was woken for stays idle.
      Pool->wakeNext();
      co_return failed(*Pool, Request, acquire_failure::NoSlot, Since);
    }
    acquired Acquired =
        co_await Pool->acquireByDemand(Request.Level, Request.Customer,
                                       Request.Values, setUpDeadline(Request));
    if (Acquired.Link) {
      checked_out_link Link(Pool, std::move(Acquired.Link));
      Link.Grant = std::move(Grant);
      co_return checked_out{std::move(Link)};
    }
    const bool First = Acquired.Failure == acquire_failure::EndpointRefused &&
                       Lacked != acquire_failure::EndpointRefused;
    if (!First && Acquired.Failure != acquire_failure::MustWait)
      co_return failed(*Pool, Request, Acquired.Failure, Since);
    if (First)
      Lacked = acquire_failure::EndpointRefused;
    Grant.giveBack();
  }
}

} // namespace

base::task<checked_out> checkOut(pool_ptr Pool, check_out_request Request) {
  if (Pool->policy() == connection_policy::Demand)
    co_return co_await checkOutByDemand(std::move(Pool), std::move(Request));
  co_return co_await checkOutRecent(std::move(Pool), std::move(Request));
}

} // namespace redwinggw::session
