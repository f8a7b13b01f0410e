#pragma once

#include "platform_instance_state.hpp"

/// The rows of the fleet in the platform's store.
namespace redwinggw {

/// Reads the rows of the fleet and applies them. Nothing when the store did not
/// answer.
base::task<std::optional<platform::table_rows>>
readFleet(platform_instance_state &State);

} // namespace redwinggw
