#pragma once

#include "redwinggw/base/time.hpp"

#include <optional>

/// Limits the reads of an instance that the store does not answer. Decisions
/// without I/O.
///
/// The load that this is for: the store is down, or rejects a part of a large
/// fleet, for seconds. If each loop of each instance retried on its own, a
/// hundred instances would send a thousand requests a second that nobody
/// answers. The first answer to any loop ends the limit for all of them.
namespace redwinggw::control {

/// Not thread safe.
struct store_pacing {
  /// Whether the last request was answered.
  bool Answers = true;
  std::optional<base::instant> AttemptedAt;
};

/// The interval between attempts of an instance without a majority. The store
/// may be the only way for it to learn of a promotion, so it is short.
constexpr base::milliseconds IsolatedRetryInterval{250};

/// The same for an instance that relays connect with a majority, and that
/// therefore gets changes from the others. A configuration must be in force
/// within seconds of its acknowledgement, also where only this instance's
/// attempts show that the store is back.
constexpr base::milliseconds ConnectedRetryInterval{1000};

/// Whether a loop may read the store at \p Now: always while the store answers,
/// else once in the interval for all loops together. \p Connected: heartbeats
/// through relays connect this instance with a majority.
bool mayAttempt(const store_pacing &Pacing, bool Connected, base::instant Now);

} // namespace redwinggw::control
