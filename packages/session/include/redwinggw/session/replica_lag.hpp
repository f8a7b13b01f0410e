#pragma once

#include "redwinggw/base/time.hpp"
#include "redwinggw/session/log_point.hpp"

#include <optional>

/// How far a replica trails its primary, learned from its answers. Decisions
/// without I/O.
///
/// A read that a replica refuses as trailing costs a round trip and a turn on
/// its slots. What is asked for is often young: a session's own commit of a
/// moment ago, which the replica has a tenth of a second later. And a replica
/// that is far behind stays so for seconds.
namespace redwinggw::session {

/// The point that a read needs, and when the primary was known to have it.
struct required_point {
  log_point Point;
  base::instant Since;
};

struct lag_limits {
  /// Pause after the first refusal; doubled by each further one.
  base::milliseconds FirstPause{50};
  base::milliseconds LongestPause{1600};
  /// Longest lag that is taken for the usual one; what is longer is a trouble,
  /// and the pauses answer it.
  base::milliseconds MaxTypicalLag{400};
  /// Part of the usual lag that is forgotten with each read that was served,
  /// and part of the difference that is learned from one that was refused:
  /// about one guess in fifty is then wrong.
  double DecayRate = 0.003;
  double LearningRate = 0.5;
};

/// What is known of one replica. Not thread safe.
struct replica_lag {
  lag_limits Limits;
  /// The furthest point that it was seen to have.
  log_point Reached;
  /// Refusals in a row, and the time of the last one.
  unsigned Refusals = 0;
  base::instant LastRefusalAt;
  /// Points younger than this are probably not there yet.
  double TypicalLagMs = 0;
};

/// An answer showed that the replica has \p Point.
void noteReached(replica_lag &Lag, log_point Point);

/// It served a read that needed a point.
void noteServed(replica_lag &Lag);

/// It refused a read that needed \p Required as trailing.
void noteLagging(replica_lag &Lag, const required_point &Required,
                 base::instant Now);

/// Whether it would probably refuse a read that needs \p Required.
bool probablyLags(const replica_lag &Lag, const required_point &Required,
                  base::instant Now);

} // namespace redwinggw::session
