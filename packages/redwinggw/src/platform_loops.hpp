#pragma once

#include "platform_instance_state.hpp"

/// The loops of an instance, and what paces them.
namespace redwinggw {

/// \name Loops, each run as a coroutine until the instance stops
/// @{
/// Creates or reads the fleet's secret, registers this instance, and starts the
/// services that need both; then runs followFleet.
base::task<void> joinFleet(platform_instance_ptr State);
/// Reads the rows of the fleet repeatedly and removes those of dead instances.
base::task<void> followFleet(platform_instance_ptr State);
/// Keeps the operators' configuration up to date, from the store or from
/// another instance.
base::task<void> followConfiguration(platform_instance_ptr State);
/// Keeps the endpoint list up to date, and sends it to the other instances when
/// this one is the store reader.
base::task<void> followEndpoints(platform_instance_ptr State);
/// Probes primaries that may have failed, and replaces those that failed or
/// leave.
base::task<void> monitorPrimaries(platform_instance_ptr State);
/// Acquires, renews and releases the permissions to send to cold endpoints.
base::task<void> followColdEndpoints(platform_instance_ptr State);
/// Checks the contact with the fleet, opens the callers' address, divides
/// connections and closes unused ones.
base::task<void> runPlatformHousekeeping(platform_instance_ptr State);
/// @}

/// Waits for the turn of \p Loop to read the store, see store_pacing.hpp. True:
/// the read must follow at once. False after a short time or when the instance
/// stops: the loop checks again whether it needs a read.
base::task<bool> awaitStoreAttempt(platform_instance_state &State,
                                   control::store_loop Loop);

/// Waits for \p Time plus or minus up to a tenth, so that instances that were
/// started together do not act at the same time.
base::task<void> pauseWithJitter(platform_instance_state &State,
                                 base::milliseconds Time);

} // namespace redwinggw
