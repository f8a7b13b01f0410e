#pragma once

#include "redwinggw/base/ids.hpp"

#include <compare>

/// Positions in a database group's log.
namespace redwinggw::session {

/// The log entry \p Position written in \p Term. Ordered by term first: a later
/// term's log contains all that survived of the earlier ones.
struct log_point {
  base::term_number Term = 0;
  base::log_position Position = 0;

  friend auto operator<=>(const log_point &, const log_point &) = default;
};

} // namespace redwinggw::session
