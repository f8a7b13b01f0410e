#pragma once

#include "platform_instance_state.hpp"

/// Demotes endpoints that were replaced as the primary and have not learned of
/// it.
namespace redwinggw {

/// Tells listed endpoints that report the primary role, and are not the agreed
/// primary of their service, to follow if they lead an older term than it. Such
/// an endpoint still runs writes, and could not be promoted for as long as it
/// keeps its branch of the log. One that leads a later term is noted: an order
/// has taken effect after the agreement. Does nothing unless this instance is
/// the store reader. Precondition: a configuration is in force.
void demoteFormerPrimaries(const platform_instance_ptr &State);

} // namespace redwinggw
