#pragma once

#include "redwinggw/base/task.hpp"
#include "redwinggw/session/cold_rates.hpp"

namespace redwinggw::session {

/// Waits until \p Until for a token for a request, which must be sent at once;
/// at most for longestTokenWait unless it is of an open transaction. None if
/// there is none in time; returns at once if that can be foreseen.
base::task<token> awaitToken(cold_rate_ptr Rate, cold_use Use,
                             base::instant Until);

} // namespace redwinggw::session
