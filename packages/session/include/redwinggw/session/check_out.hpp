#pragma once

#include "redwinggw/session/checked_out_link.hpp"

/// Gets a slot and a connection of an endpoint for one statement.
namespace redwinggw::session {

struct check_out_request {
  slot_level Level = slot_level::Normal;
  base::customer_name Customer;
  session_values Values;
  /// Until when to wait for a slot. With connection_policy::Demand also for a
  /// connection, since it is known when one is expected.
  base::instant SlotUntil;
  /// Until when to wait for a connection with connection_policy::Recent.
  base::instant ConnectionUntil;
  /// Until when a connection may be set up; when this has passed, only without
  /// waiting, and never after Deadline.
  base::instant SetUpUntil;
  base::instant Deadline;
};

/// A connection with its slot, or why there is none. Nothing has run then.
struct checked_out {
  checked_out_link Link;
  acquire_failure Failure = acquire_failure::NoSlot;
  /// With connection_policy::Demand: when a slot or a connection is expected;
  /// zero if that is not known.
  base::milliseconds RetryAfter{0};
};

base::task<checked_out> checkOut(pool_ptr Pool, check_out_request Request);

} // namespace redwinggw::session
