#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"

#include <vector>

/// Chooses the endpoint that should serve a statement. Decisions without I/O.
namespace redwinggw::session {

/// What is known about an endpoint that may serve the statement.
struct choice_candidate {
  base::endpoint_name Name;
  bool IsPrimary = false;
  bool SameZone = false;
  bool Draining = false;
  /// The customer has an idle connection to it.
  bool HasIdle = false;
  /// No connection can be opened and none is idle.
  bool Exhausted = false;
  /// Statements of this instance that run or wait there.
  std::size_t Load = 0;
  unsigned Slots = 1;
  /// Smoothed time of a statement; 0 if none has ended here yet.
  double LatencyMs = 0;
  /// Consecutive failures and the time of the last one.
  unsigned Failures = 0;
  base::instant LastFailure;
  /// It has probably not received the log position that the read requires.
  bool ProbablyLags = false;
};

struct choice_limits {
  /// Latency assumed of an endpoint that has not answered yet.
  double UnknownLatencyMs = 30;
  /// What setting up a connection costs a statement and the endpoint.
  double ConnectMs = 12;
  /// What the round trip to another zone adds, and what the traffic costs.
  double CrossZoneMs = 3;
  /// Reads that may go to a replica go to the primary only if that is this much
  /// faster, since writes can go nowhere else.
  double PrimaryPenaltyMs = 60;
  /// The same for a replica that probably lags: a wrong prediction costs a
  /// round trip, and the primary is to be loaded with reads last.
  double LaggingPenaltyMs = 90;
  /// Backoff after the first failure; doubles with each further one.
  base::milliseconds FailurePause{100};
  base::milliseconds LongestPause{2000};
};

/// Expected time until the endpoint has answered, in milliseconds, with
/// penalties as further milliseconds.
double expectedMs(const choice_candidate &Candidate,
                  const choice_limits &Limits);

/// The candidates in the order in which to try them. Draining ones and those
/// that failed recently come last; they are kept, as no better one may be left.
std::vector<choice_candidate> rank(std::vector<choice_candidate> Candidates,
                                   const choice_limits &Limits,
                                   base::instant Now);

} // namespace redwinggw::session
