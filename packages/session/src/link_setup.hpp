#pragma once

#include "redwinggw/session/endpoint_pool.hpp"

#include <functional>

/// Brings a shared connection into the state that a session expects.
namespace redwinggw::session {

/// Makes the values in force on \p Link the \p Wanted ones, resetting it
/// where another session's values would show. False when the connection can
/// no longer be used; nothing of the session's work has run then. On a
/// connection that the endpoint's owner holds this does nothing: each
/// statement carries the values.
base::task<bool> prepareLink(pooled_link &Link, const session_values &Wanted,
                             base::instant Deadline);

/// Whether a right has held ever since it was given.
using lease_check = std::function<bool(const primary_lease &)>;

/// Sets up \p Link as \p Statement needs it and runs the statement there.
/// Outcome NotSent: nothing of the caller's has run, since the setting up
/// failed or the right did not hold any more. Precondition: \p Link is a
/// connection of this instance.
base::task<exchange> runOnLink(pooled_link &Link,
                               const link_statement &Statement,
                               const lease_check &StillHolds,
                               base::instant Deadline);

} // namespace redwinggw::session
