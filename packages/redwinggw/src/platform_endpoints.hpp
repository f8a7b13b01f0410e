#pragma once

#include "platform_instance_state.hpp"

/// The endpoint list, as instances send it to each other.
namespace redwinggw {

/// The endpoint list, if it is recent.
session::transferred_state endpointsHeld(platform_instance_state &State);
/// Applies what the store reader has read and sent to this instance.
void acceptSharedRead(platform_instance_state &State,
                      const base::instance_name &From,
                      const wire::shared_store_read &Reading);

} // namespace redwinggw
