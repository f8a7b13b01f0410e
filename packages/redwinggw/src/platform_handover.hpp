#pragma once

#include "platform_heartbeats.hpp"

#include "redwinggw/session/handover.hpp"

namespace redwinggw {

/// What this instance knows of the primary of \p Service, by the reports of the
/// others. Used from one thread.
session::handover_view viewOf(platform_instance_state &State,
                              const primary_reports &Reports,
                              const base::service_name &Service);

} // namespace redwinggw
