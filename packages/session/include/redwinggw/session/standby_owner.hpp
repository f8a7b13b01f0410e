#pragma once

#include "redwinggw/session/endpoint_pool.hpp"
#include "redwinggw/session/owner_assignment.hpp"

#include <cstddef>
#include <functional>
#include <string_view>

/// Which of an endpoint's owners runs a statement, and how many connections
/// each instance may hold. Decisions without I/O.
namespace redwinggw::session {

/// What an instance is to the connections of an endpoint.
enum class owner_role {
  Owner,
  Standby,
  /// It connects to the endpoint only if neither owner can be used.
  Other,
};

/// The role of the instance \p Self. Thread safe.
owner_role roleOf(const connection_owners &Owners, std::string_view Self);

/// The connections that an instance in \p Role may hold to an endpoint that
/// accepts \p Accepted, in a fleet of \p Instances. The parts of the owner and
/// of the standby are within what the endpoint accepts. Precondition:
/// \p Instances is not 0. Thread safe.
pool_limits limitsFor(owner_role Role, std::size_t Accepted,
                      std::size_t Instances);

/// The instance that runs statements of \p Self for an endpoint: the owner,
/// else the standby, each unless it is another instance that \p IsUsable
/// rejects. Empty if there is none: \p Self connects to the endpoint itself.
/// Thread safe if \p IsUsable is.
base::instance_name
runnerOf(const connection_owners &Owners, std::string_view Self,
         const std::function<bool(std::string_view Instance)> &IsUsable);

} // namespace redwinggw::session
