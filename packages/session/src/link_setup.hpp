#pragma once

#include "redwinggw/session/endpoint_pool.hpp"

#include <functional>

/// Brings a shared connection into the state that a session expects.
namespace redwinggw::session {

/// Brings the \p Wanted values into force on \p Link, resetting it if another
/// session's values would remain. False if the connection can no longer be
/// used; nothing of the session's work has run then. Does nothing if statements
/// are forwarded: each one carries the values.
base::task<bool> prepareLink(pooled_link &Link, const session_values &Wanted,
                             base::instant Deadline);

/// Whether a lease has been valid ever since it was obtained.
using lease_check = std::function<bool(const primary_lease &)>;

/// Sets up \p Link as \p Statement needs it and runs the statement there.
/// Outcome NotSent: nothing of the caller's has run, since the set-up failed or
/// the lease was not valid any more. Precondition: \p Link is a connection of
/// this instance.
base::task<exchange> runOnLink(pooled_link &Link,
                               const link_statement &Statement,
                               const lease_check &StillHolds,
                               base::instant Deadline);

/// Whether the success of a begin may have been that of an earlier one.
bool isDoubtfulBegin(const pooled_link &Link, const link_statement &Statement,
                     const exchange &Done);

} // namespace redwinggw::session
