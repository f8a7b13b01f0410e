#pragma once

#include "redwinggw/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

/// Limits the reads of an instance that the store does not answer. Decisions
/// without I/O.
///
/// The load that this is for: the store is down, or rejects a part of a large
/// fleet, for seconds. If each loop of each instance retried on its own, a
/// hundred instances would send a thousand requests a second that nobody
/// answers. The first answer to any loop ends the limit for all of them.
namespace redwinggw::control {

/// The loops of an instance that read the store.
enum class store_loop : std::uint8_t { Fleet, Endpoints, Configuration };
constexpr std::size_t StoreLoops = 3;

/// A loop that waits for its turn.
struct waiting_loop {
  std::optional<base::instant> Since;
  /// When it last asked for its turn; it has given up if that is long ago.
  base::instant AskedAt;
};

/// Not thread safe.
struct store_pacing {
  /// Whether the last request was answered.
  bool Answers = true;
  std::optional<base::instant> AttemptedAt;
  std::array<waiting_loop, StoreLoops> Waiting;
};

/// The interval between attempts of an instance without a majority. The store
/// may be the only way for it to learn of a promotion, so it is short.
constexpr base::milliseconds IsolatedRetryInterval{250};

/// The same for an instance that relays connect with a majority, and that
/// therefore gets changes from the others.
constexpr base::milliseconds ConnectedRetryInterval{1000};

/// A loop that has not asked for this long does not wait any more.
constexpr base::milliseconds GaveUpAfter{500};

/// Whether \p Loop may read the store at \p Now, which counts as an attempt
/// then. Always while the store answers, else once in the interval for all
/// loops together, the one that has waited longest first. \p Connected:
/// heartbeats through relays connect this instance with a majority.
bool tryAttempt(store_pacing &Pacing, store_loop Loop, bool Connected,
                base::instant Now);

} // namespace redwinggw::control
