#include "redwinggw/session/relay_host.hpp"

#include "core_parts.hpp"
#include "link_setup.hpp"

#include <algorithm>

namespace redwinggw::session {
namespace {

using base::instant;

relay_failure failureOf(acquire_failure Failure) {
  return Failure == acquire_failure::Exhausted ? relay_failure::NoConnection
                                               : relay_failure::EndpointLost;
}

bool mayUse(const session_core &Core, const link_statement &Statement) {
  return !Statement.Right || Core.Ports.StillHolds(*Statement.Right);
}

/// Gives the transaction that has the lease a turn for its next statement. One
/// that finds none cannot go on: its connection is closed, which rolls back.
base::task<relay_failure> continueLease(relay_lease &Lease,
                                        const relay_request &Request,
                                        instant Arrived) {
  const bool Same = Lease.Link.Pool->entry().Name == Request.Endpoint &&
                    Lease.Link.Link->Customer == Request.Customer;
  // A rollback needs no slot.
  if (Same && Request.Statement.Action == link_action::Rollback)
    co_return relay_failure::None;
  if (Same) {
    slot_pass Pass =
        co_await takeTurn(Lease.Link.Pool, slot_level::Begun, Request.Customer,
                          Arrived + Request.TimeLeft);
    if (Pass) {
      Lease.Link.Pass = std::move(Pass);
      co_return relay_failure::None;
    }
  }
  Lease.Link = leased_link();
  co_return relay_failure::NoConnection;
}

/// Gives the lease a turn, and a connection unless it has one.
base::task<relay_failure> lease(session_core &Core, relay_lease &Lease,
                                const relay_request &Request, instant Arrived) {
  if (Lease.Link)
    co_return co_await continueLease(Lease, Request, Arrived);
  // Only the transaction's own connection can go on with it.
  if (Request.Statement.Action == link_action::Rollback)
    co_return relay_failure::Refused;
  const pool_ptr Pool = poolOf(Core.Set, Request.Endpoint);
  if (Pool == nullptr || !mayUse(Core, Request.Statement))
    co_return relay_failure::Refused;
  const session_values Values =
      Request.Statement.Values.value_or(session_values());
  const instant WaitUntil = Arrived + Request.Patience;
  slot_pass Pass = co_await takeTurn(Pool, levelOf(Request.Priority),
                                     Request.Customer, WaitUntil);
  if (!Pass)
    co_return relay_failure::NoConnection;
  acquired Acquired = co_await Pool->acquire(
      Request.Customer, Values, WaitUntil, Arrived + Request.TimeLeft);
  if (!Acquired.Link)
    co_return failureOf(Acquired.Failure);
  Lease.Link = leased_link(Pool, std::move(Acquired.Link));
  Lease.Link.Pass = std::move(Pass);
  co_return relay_failure::None;
}

/// Takes in how the endpoint did, and ends the lease with the transaction.
void settleLease(relay_lease &Lease, const relay_reply &Reply) {
  const exchange &Exchange = Reply.Exchange;
  endpoint_pool &Pool = *Lease.Link.Pool;
  if (Exchange.Outcome == exchange_outcome::Answered) {
    Pool.noteSuccess(Exchange.SentAt, base::now());
    if (Exchange.Answer.State == transaction_state::Idle)
      Lease.Link.giveBack();
    return;
  }
  // A right that was lost during the set-up is not the endpoint's failure.
  if (Reply.Failure != relay_failure::Refused) {
    Pool.noteFailure(base::now());
    Pool.closeIdle();
  }
  Lease.Link = leased_link();
}

std::uint16_t loadOf(session_core &Core, const base::endpoint_name &Name) {
  const pool_ptr Pool = poolOf(Core.Set, Name);
  constexpr std::size_t Most = UINT16_MAX;
  return Pool == nullptr ? 0
                         : static_cast<std::uint16_t>(
                               std::min(Pool->load(base::now()), Most));
}

} // namespace

base::task<relay_reply> serveRelayed(session_core &Core, relay_lease &Lease,
                                     relay_request Request) {
  const instant Arrived = base::now();
  relay_reply Reply;
  Reply.Failure = co_await lease(Core, Lease, Request, Arrived);
  if (Reply.Failure == relay_failure::None) {
    const pool_ptr Pool = Lease.Link.Pool;
    const instant Sent = base::now();
    Pool->noteSent(Sent);
    Reply.Exchange =
        co_await runOnLink(*Lease.Link.Link, Request.Statement,
                           Core.Ports.StillHolds, Arrived + Request.TimeLeft);
    Pool->noteEnded(Sent);
    Reply.Ran = std::chrono::ceil<base::milliseconds>(base::now() - Sent);
    Lease.Link.Pass = slot_pass();
    if (!mayUse(Core, Request.Statement) &&
        Reply.Exchange.Outcome == exchange_outcome::NotSent)
      Reply.Failure = relay_failure::Refused;
    settleLease(Lease, Reply);
  }
  Reply.Load = loadOf(Core, Request.Endpoint);
  recordRelayed(Core, Request, Reply, base::now() - Arrived);
  co_return Reply;
}

} // namespace redwinggw::session
