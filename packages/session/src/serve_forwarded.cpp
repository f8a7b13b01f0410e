#include "redwinggw/session/forwarding_server.hpp"

#include "core_parts.hpp"
#include "link_setup.hpp"

#include <algorithm>

namespace redwinggw::session {
namespace {

using base::instant;

forwarding_failure failureOf(acquire_failure Failure) {
  return Failure == acquire_failure::Exhausted
             ? forwarding_failure::NoConnection
             : forwarding_failure::EndpointLost;
}

bool mayUse(const session_core &Core, const link_statement &Statement) {
  return !Statement.PrimaryLease ||
         Core.Ports.StillHolds(*Statement.PrimaryLease);
}

/// Gets a slot for the next statement of the transaction on the pinned
/// connection. Without one the transaction cannot go on: its connection is
/// closed, which rolls back.
base::task<forwarding_failure> continuePinned(pinned_link &Pinned,
                                              const forwarding_request &Request,
                                              instant Arrived) {
  const bool Same = Pinned.Link.Pool->entry().Name == Request.Endpoint &&
                    Pinned.Link.Link->Customer == Request.Customer;
  // Closing the connection rolls back, and sends the endpoint nothing.
  if (Pinned.Link.Pool->isEvacuated()) {
    Pinned.Link = checked_out_link();
    co_return forwarding_failure::Refused;
  }
  // A rollback needs no slot.
  if (Same && Request.Statement.Action == link_action::Rollback)
    co_return forwarding_failure::None;
  if (Same) {
    slot_grant Grant =
        co_await acquireSlot(Pinned.Link.Pool, slot_level::InTransaction,
                             Request.Customer, Arrived + Request.TimeLeft);
    if (Grant) {
      Pinned.Link.Grant = std::move(Grant);
      co_return forwarding_failure::None;
    }
  }
  Pinned.Link = checked_out_link();
  co_return forwarding_failure::NoConnection;
}

/// Gets a slot, and a connection unless one is pinned.
base::task<forwarding_failure> pinLink(session_core &Core, pinned_link &Pinned,
                                       const forwarding_request &Request,
                                       instant Arrived) {
  if (Pinned.Link)
    co_return co_await continuePinned(Pinned, Request, Arrived);
  // A transaction can be rolled back on its own connection only.
  if (Request.Statement.Action == link_action::Rollback)
    co_return forwarding_failure::Refused;
  const pool_ptr Pool = poolOf(Core.Set, Request.Endpoint);
  if (Pool == nullptr || !mayUse(Core, Request.Statement))
    co_return forwarding_failure::Refused;
  const session_values Values =
      Request.Statement.Values.value_or(session_values());
  const instant WaitUntil = Arrived + Request.SlotWait;
  const bool Begins = Request.Statement.Action != link_action::Caller;
  if (refusesAsCold(Core, *Pool, Begins ? cold_use::Begin : cold_use::Single,
                    WaitUntil))
    co_return forwarding_failure::NoConnection;
  slot_grant Grant = co_await acquireSlot(Pool, levelOf(Request.Priority),
                                          Request.Customer, WaitUntil);
  if (!Grant)
    co_return forwarding_failure::NoConnection;
  acquired Acquired = co_await Pool->acquire(
      Request.Customer, Values, WaitUntil, Arrived + Request.TimeLeft);
  if (!Acquired.Link)
    co_return failureOf(Acquired.Failure);
  Pinned.Link = checked_out_link(Pool, std::move(Acquired.Link));
  Pinned.Link.Grant = std::move(Grant);
  co_return forwarding_failure::None;
}

/// Records whether the endpoint answered, and returns the connection to its
/// pool when the transaction has ended.
void settlePinned(pinned_link &Pinned, const forwarding_reply &Reply) {
  const exchange &Exchange = Reply.Exchange;
  endpoint_pool &Pool = *Pinned.Link.Pool;
  if (Exchange.Outcome == exchange_outcome::Answered) {
    Pool.noteSuccess(Exchange.SentAt, base::now());
    if (Exchange.Answer.State == transaction_state::Idle)
      Pinned.Link.release();
    return;
  }
  // A lease that was lost during the set-up is not the endpoint's failure, nor
  // a statement that was held back since the endpoint is cold.
  if (Reply.Failure == forwarding_failure::None) {
    Pool.noteFailure(base::now());
    Pool.closeIdle();
  }
  Pinned.Link = checked_out_link();
}

std::uint16_t loadOf(session_core &Core, const base::endpoint_name &Name) {
  const pool_ptr Pool = poolOf(Core.Set, Name);
  constexpr std::size_t Most = UINT16_MAX;
  return Pool == nullptr ? 0
                         : static_cast<std::uint16_t>(
                               std::min(Pool->load(base::now()), Most));
}

} // namespace

base::task<forwarding_reply> serveForwarded(session_core &Core,
                                            pinned_link &Pinned,
                                            forwarding_request Request) {
  const instant Arrived = base::now();
  forwarding_reply Reply;
  Reply.Failure = co_await pinLink(Core, Pinned, Request, Arrived);
  if (Reply.Failure == forwarding_failure::None) {
    const pool_ptr Pool = Pinned.Link.Pool;
    const instant Sent = base::now();
    Pool->noteSent(Sent);
    Reply.Exchange =
        co_await runOnLink(*Pinned.Link.Link, Request.Statement,
                           Core.Ports.StillHolds, Arrived + Request.TimeLeft);
    Pool->noteEnded(Sent);
    Reply.Ran = std::chrono::ceil<base::milliseconds>(base::now() - Sent);
    Pinned.Link.Grant = slot_grant();
    if (!mayUse(Core, Request.Statement) &&
        Reply.Exchange.Outcome == exchange_outcome::NotSent)
      Reply.Failure = forwarding_failure::Refused;
    else if (isHeldBack(*Pool, Reply.Exchange))
      Reply.Failure = forwarding_failure::NoConnection;
    settlePinned(Pinned, Reply);
  }
  Reply.Load = loadOf(Core, Request.Endpoint);
  recordForwarded(Core, Request, Reply, base::now() - Arrived);
  co_return Reply;
}

} // namespace redwinggw::session
