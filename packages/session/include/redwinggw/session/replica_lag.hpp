#pragma once

#include "redwinggw/base/time.hpp"
#include "redwinggw/session/log_point.hpp"

#include <optional>

/// Estimates how far a replica lags behind its primary, from its answers.
/// Decisions without I/O.
///
/// A read that a replica refuses because of its lag costs a round trip and a
/// slot. The required position is often recent: a session's own commit of a
/// moment ago, which the replica has a tenth of a second later. And a replica
/// that is far behind stays so for seconds.
namespace redwinggw::session {

/// The log position that a read requires, and when the primary was known to
/// have it.
struct required_point {
  log_point Point;
  base::instant Since;
};

struct lag_limits {
  /// Backoff after the first refusal; doubles with each further one.
  base::milliseconds FirstPause{50};
  base::milliseconds LongestPause{1600};
  /// Longest lag that counts as typical; a longer one is a fault, which the
  /// backoff covers.
  base::milliseconds MaxTypicalLag{400};
  /// Fraction of the typical lag that is dropped with each read that was
  /// served. A larger one sends reads to lagging replicas sooner, more of which
  /// are refused; with these rates about one prediction in fifty is wrong.
  double DecayRate = 0.003;
  /// Fraction of the difference that is added for a read that was refused.
  double LearningRate = 0.5;
};

/// What is known about one replica. Not thread safe.
struct replica_lag {
  lag_limits Limits;
  /// The highest position that it was seen to have.
  log_point Reached;
  /// Consecutive refusals, and the time of the last one.
  unsigned Refusals = 0;
  base::instant LastRefusalAt;
  /// Positions more recent than this have probably not arrived yet.
  double TypicalLagMs = 0;
};

/// An answer showed that the replica has \p Point.
void noteReached(replica_lag &Lag, log_point Point);

/// It served a read that required a position.
void noteServed(replica_lag &Lag);

/// It refused a read that requires \p Required, because of its lag.
void noteLagging(replica_lag &Lag, const required_point &Required,
                 base::instant Now);

/// Whether it would probably refuse a read that requires \p Required.
bool probablyLags(const replica_lag &Lag, const required_point &Required,
                  base::instant Now);

} // namespace redwinggw::session
