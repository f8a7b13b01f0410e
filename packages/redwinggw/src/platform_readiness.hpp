#pragma once

#include "platform_instance_state.hpp"

/// Whether an instance may serve callers, and the ports through which it does.
namespace redwinggw {

/// Whether this instance has been unable to use primaries for CutOffAfter.
bool isCutOff(const platform_instance_state &State);
/// Whether the balancer may send callers to this instance.
bool isReady(const platform_instance_state &State);

/// The ports of the session core.
session::core_ports sessionCorePorts(platform_instance_state &State);

} // namespace redwinggw
