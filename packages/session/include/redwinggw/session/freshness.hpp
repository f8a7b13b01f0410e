#pragma once

#include "redwinggw/base/time.hpp"
#include "redwinggw/session/log_point.hpp"
#include "redwinggw/session/replica_lag.hpp"

#include <deque>
#include <optional>

/// The log position that a read must include, derived from primaries' answers.
namespace redwinggw::session {

/// A primary's position in an answer to a statement that was sent at SentAt:
/// it covers every commit acknowledged before that moment.
struct freshness_sample {
  base::instant SentAt;
  log_point Point;
};

struct freshness_limits {
  /// Samples older than the largest staleness bound are of no use.
  base::milliseconds KeepFor{10'000};
  /// Closer samples are merged; this bounds their number.
  base::milliseconds Spacing{25};
};

/// Recent log positions of one service's primary, oldest first. Not thread
/// safe.
struct freshness {
  freshness_limits Limits;
  std::deque<freshness_sample> Samples;
};

/// Adds a sample. Precondition: the primary was valid both when the statement
/// was sent and when its answer arrived.
void addSample(freshness &Freshness, freshness_sample Sample,
               base::instant Now);

/// The lowest sampled position that covers all commits acknowledged until
/// \p Staleness before \p Now. Nothing if no sample is recent enough: only the
/// primary can serve then.
std::optional<required_point> requiredPoint(const freshness &Freshness,
                                            base::milliseconds Staleness,
                                            base::instant Now);

/// Discards all samples: the primary was replaced or cannot be trusted.
void clearSamples(freshness &Freshness);

} // namespace redwinggw::session
