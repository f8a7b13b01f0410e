#pragma once

#include "platform_instance_state.hpp"

/// The operators' configuration and evacuations, as instances get them from
/// each other.
namespace redwinggw {

/// The configuration in force, as changes where the requester has a version
/// that is still known here.
session::transferred_state
configurationHeld(platform_instance_state &State,
                  const session::transfer_request &Request);
/// Applies the evacuations that \p From, "store" or an instance, reports.
void acceptEvacuations(platform_instance_state &State,
                       session::evacuations Read, std::string_view From);

} // namespace redwinggw
