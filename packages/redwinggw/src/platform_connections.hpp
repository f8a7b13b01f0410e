#pragma once

#include "platform_instance_state.hpp"

/// Connections to endpoints: who owns them, and how many each instance may
/// hold.
namespace redwinggw {

/// Starts to run statements that other instances forward, and to forward own
/// ones.
void startForwarding(platform_instance_state &State, const std::string &Secret);
/// Recomputes which instance owns each endpoint's connections, how many this
/// instance may hold, and which endpoints are evacuated.
void divideConnections(platform_instance_state &State);
/// Sets the limits of a pool, as divideConnections does for all of them.
void configurePool(platform_instance_state &State,
                   session::endpoint_pool &Pool);
/// The same for a new pool, which may be used at once.
void configureNewPool(platform_instance_state &State,
                      session::endpoint_pool &Pool);
/// The bound on requests to cold endpoints; nothing if there is none.
std::optional<session::cold_limits> coldLimits(const settings &Settings);
/// Whether this instance owns the connections to \p Endpoint.
bool isOwn(const platform_instance_state &State, std::string_view Endpoint);
/// A link to an endpoint through the instance that owns its connections, or
/// through the standby owner while the owner cannot be used; null when this
/// instance is the one to use, or when neither can be used now.
std::unique_ptr<session::forwarding_link>
forwardingLinkTo(platform_instance_state &State,
                 const session::endpoint_entry &Entry,
                 std::string_view Customer, unsigned Priority);

} // namespace redwinggw
