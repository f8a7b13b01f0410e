#pragma once

#include "redwinggw/base/time.hpp"

#include <optional>
#include <random>
#include <string>

namespace redwinggw::standin {

/// How databases misbehave when they answer; shares of the answers. The
/// statement has run, except when it is refused.
struct answer_faults {
  /// Refuses the statement as busy, without running it.
  double Refused = 0;
  /// Sends the answer twice, the second time up to MaxDelay later.
  double Repeated = 0;
  base::milliseconds MaxDelay{50};
  /// Closes the connection after a part of the answer, at any byte.
  double Cut = 0;
  /// Sends nothing, and leaves the connection open.
  double Silent = 0;
};

/// What happens to one answer.
struct answer_plan {
  /// Number of its first bytes that are sent before the connection is closed.
  std::optional<std::size_t> CutAfter;
  /// When the answer is sent again.
  std::optional<base::milliseconds> RepeatAfter;
  bool Silent = false;
};

/// Whether a statement is refused.
bool drawRefusal(const answer_faults &Faults, std::mt19937_64 &Random);

/// Precondition: \p Size is not 0.
answer_plan drawPlan(const answer_faults &Faults, std::size_t Size,
                     std::mt19937_64 &Random);

} // namespace redwinggw::standin
