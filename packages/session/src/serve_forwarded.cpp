#include "redwinggw/session/forwarding_server.hpp"

#include "core_parts.hpp"
#include "link_setup.hpp"

#include "redwinggw/session/check_out.hpp"

#include <algorithm>

namespace redwinggw::session {
namespace {

using base::instant;

owner_lack lackOf(acquire_failure Failure) {
  switch (Failure) {
  case acquire_failure::NoSlot:
    return owner_lack::Slot;
  case acquire_failure::Exhausted:
    return owner_lack::Connection;
  case acquire_failure::EndpointRefused:
    return owner_lack::Acceptance;
  case acquire_failure::Cold:
    return owner_lack::ColdToken;
  default:
    return owner_lack::Endpoint;
  }
}

forwarding_failure failureOf(acquire_failure Failure) {
  return Failure == acquire_failure::Exhausted ||
                 Failure == acquire_failure::EndpointRefused ||
                 Failure == acquire_failure::NoSlot ||
                 Failure == acquire_failure::Cold
             ? forwarding_failure::NoConnection
             : forwarding_failure::EndpointLost;
}

bool mayUse(const session_core &Core, const link_statement &Statement) {
  return !Statement.PrimaryLease ||
         Core.Ports.StillHolds(*Statement.PrimaryLease);
}

/// What a statement that needs a connection is for.
cold_use useOf(const link_statement &Statement) {
  return Statement.Action == link_action::Caller ? cold_use::Single
                                                 : cold_use::Begin;
}

void noteHeldBack(forwarding_reply &Reply, const endpoint_pool &Pool,
                  cold_use Use) {
  Reply.Failure = forwarding_failure::NoConnection;
  Reply.Lack = owner_lack::ColdToken;
  Reply.RetryAfter = coldRetryAfter(Pool.cold(), Use, base::now());
}

/// Whether a connection is pinned with a slot, and if not, why.
struct pin_result {
  forwarding_failure Failure = forwarding_failure::None;
  owner_lack Lack = owner_lack::None;
  base::milliseconds RetryAfter{0};
};

/// Gets a slot for the next statement of the transaction on the pinned
/// connection. Without one the transaction cannot go on: its connection is
/// closed, which rolls back.
base::task<pin_result> continuePinned(pinned_link &Pinned,
                                      const forwarding_request &Request,
                                      instant Arrived) {
  const pin_result Refused{forwarding_failure::Refused};
  const bool Same = Pinned.Link.Pool->entry().Name == Request.Endpoint &&
                    Pinned.Link.Link->Customer == Request.Customer;
  // Closing the connection rolls back, and sends the endpoint nothing.
  if (Pinned.Link.Pool->isEvacuated()) {
    Pinned.Link = checked_out_link();
    co_return Refused;
  }
  // A rollback needs no slot.
  if (Same && Request.Statement.Action == link_action::Rollback)
    co_return pin_result();
  if (Same) {
    slot_grant Grant =
        co_await acquireSlot(Pinned.Link.Pool, slot_level::InTransaction,
                             Request.Customer, Arrived + Request.TimeLeft);
    if (Grant) {
      Pinned.Link.Grant = std::move(Grant);
      co_return pin_result();
    }
  }
  Pinned.Link = checked_out_link();
  const pin_result NotPinned{forwarding_failure::NoConnection,
                             Same ? owner_lack::Slot : owner_lack::None};
  co_return NotPinned;
}

/// Gets a slot, and a connection unless one is pinned.
base::task<pin_result> pinLink(session_core &Core, pinned_link &Pinned,
                               const forwarding_request &Request,
                               instant Arrived) {
  const pin_result Refused{forwarding_failure::Refused};
  if (Pinned.Link)
    co_return co_await continuePinned(Pinned, Request, Arrived);
  // A transaction can be rolled back on its own connection only.
  if (Request.Statement.Action == link_action::Rollback)
    co_return Refused;
  const pool_ptr Pool = poolOf(Core.Set, Request.Endpoint);
  if (Pool == nullptr || !mayUse(Core, Request.Statement))
    co_return Refused;
  const instant WaitUntil = Arrived + Request.SlotWait;
  const cold_use Use = useOf(Request.Statement);
  if (refusesAsCold(Core, *Pool, Use, WaitUntil)) {
    const pin_result Failed{forwarding_failure::NoConnection,
                            owner_lack::ColdToken,
                            coldRetryAfter(Pool->cold(), Use, base::now())};
    co_return Failed;
  }
  check_out_request Wanted;
  Wanted.Level = levelOf(Request.Priority);
  Wanted.Customer = Request.Customer;
  Wanted.Values = Request.Statement.Values.value_or(session_values());
  Wanted.SlotUntil = Arrived + Request.SlotWait;
  Wanted.ConnectionUntil = Wanted.SlotUntil;
  Wanted.SetUpUntil = Arrived + Request.TimeLeft;
  Wanted.Deadline = Wanted.SetUpUntil;
  checked_out Out = co_await checkOut(Pool, std::move(Wanted));
  if (!Out.Link) {
    const pin_result Failed{failureOf(Out.Failure), lackOf(Out.Failure),
                            Out.RetryAfter};
    co_return Failed;
  }
  Pinned.Link = std::move(Out.Link);
  co_return pin_result();
}

/// Records whether the endpoint answered, and returns the connection to its
/// pool when the transaction has ended.
void settlePinned(pinned_link &Pinned, const forwarding_reply &Reply,
                  bool Trusted) {
  const exchange &Exchange = Reply.Exchange;
  endpoint_pool &Pool = *Pinned.Link.Pool;
  if (Exchange.Outcome == exchange_outcome::Answered) {
    Pool.noteSuccess(Exchange.SentAt, base::now());
    if (Exchange.Answer.State != transaction_state::Idle)
      return;
    if (Trusted)
      Pinned.Link.release();
    Pinned.Link = checked_out_link();
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
  const pool_ptr Pool = findPool(Core.Set, Name);
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
  const pin_result Pin = co_await pinLink(Core, Pinned, Request, Arrived);
  Reply.Failure = Pin.Failure;
  Reply.Lack = Pin.Lack;
  Reply.RetryAfter = Pin.RetryAfter;
  if (Reply.Failure == forwarding_failure::None) {
    const pool_ptr Pool = Pinned.Link.Pool;
    const instant Sent = base::now();
    Pool->noteSent(Sent);
    Reply.Exchange =
        co_await runOnLink(*Pinned.Link.Link, Request.Statement,
                           Core.Ports.StillHolds, Arrived + Request.TimeLeft);
    Pool->noteEnded(Sent);
    if (Pool->repeatsAnswers() &&
        isDoubtfulBegin(*Pinned.Link.Link, Request.Statement, Reply.Exchange)) {
      Reply.Exchange = exchange();
      Reply.Failure = forwarding_failure::NoConnection;
    }
    Reply.Ran = std::chrono::ceil<base::milliseconds>(base::now() - Sent);
    Pinned.Link.Grant = slot_grant();
    if (!mayUse(Core, Request.Statement) &&
        Reply.Exchange.Outcome == exchange_outcome::NotSent)
      Reply.Failure = forwarding_failure::Refused;
    else if (isHeldBack(*Pool, Reply.Exchange))
      noteHeldBack(Reply, *Pool, useOf(Request.Statement));
    settlePinned(Pinned, Reply, mayUse(Core, Request.Statement));
  }
  Reply.Load = loadOf(Core, Request.Endpoint);
  recordForwarded(Core, Request, Reply, base::now() - Arrived);
  co_return Reply;
}

} // namespace redwinggw::session
