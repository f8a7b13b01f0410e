#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"

#include <vector>

/// Which endpoint should serve a statement. Decisions without I/O.
namespace redwinggw::session {

/// What is known of one endpoint that may serve.
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
  /// Smoothed time of a statement; 0: none yet.
  double LatencyMs = 0;
  /// Consecutive failures and the time of the last one.
  unsigned Failures = 0;
  base::instant LastFailure;
  /// It probably has not got what the read needs.
  bool ProbablyLags = false;
};

struct choice_limits {
  /// Latency assumed of an endpoint that has not answered yet.
  double UnknownLatencyMs = 30;
  /// What setting up a connection costs a statement and the endpoint.
  double ConnectMs = 12;
  /// What a round trip to another zone adds, and what its bytes cost.
  double CrossZoneMs = 3;
  /// Reads that may go to a replica go to the primary only when that is this
  /// much faster: writes can go nowhere else.
  double PrimaryPenaltyMs = 60;
  /// The same for a replica that probably trails: a wrong guess costs a round
  /// trip, and the primary is the last to be filled up with reads.
  double LaggingPenaltyMs = 90;
  /// Pause after the first failure; doubled by each further one.
  base::milliseconds FailurePause{100};
  base::milliseconds LongestPause{2000};
};

/// Expected time until the endpoint has answered, in milliseconds, with what
/// speaks against it as further milliseconds.
double expectedMs(const choice_candidate &Candidate,
                  const choice_limits &Limits);

/// The candidates in the order in which they should be tried. Those that
/// failed lately come last, so that the last good one is never lost.
std::vector<choice_candidate> rank(std::vector<choice_candidate> Candidates,
                                   const choice_limits &Limits,
                                   base::instant Now);

} // namespace redwinggw::session
