#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/data/group_view.hpp"

#include <optional>
#include <string_view>
#include <vector>

/// Finds out whether a group's primary has failed, from probes, real traffic
/// and what the other instances see. Decisions without I/O.
namespace redwinggw::data {

struct detector_parameters {
  /// The primary is suspected after failures for so long without a success.
  base::milliseconds UnresponsiveTimeout{500};
  /// Failed questions that this takes at least; the second one goes over a
  /// fresh connection, so one silent connection moves nothing.
  unsigned MinFailures = 2;
  /// No primary in the highest term for so long: whoever made that term is
  /// taken to have died midway.
  base::milliseconds NoPrimaryTimeout{1000};
  /// The primary is ahead of its replicas and none of them advanced for so
  /// long: it is cut off from them.
  base::milliseconds StallTimeout{800};
  /// A report of another instance counts for so long.
  base::milliseconds MaxReportAge{1000};
};

/// Why this instance suspects a primary.
enum class suspicion_cause {
  None,
  /// Probes and traffic fail.
  Unresponsive,
  /// The group is in a term without a primary.
  NoPrimary,
  /// Its replicas receive nothing from it.
  ReplicationStalled,
};

/// What one instance tells the others about a group that it suspects. Groups
/// that are not listed in its report are not suspected by it.
struct suspicion {
  base::group_name Group;
  base::term_number Term = 0;

  friend bool operator==(const suspicion &, const suspicion &) = default;
};

/// The last report of another instance.
struct peer_report {
  base::instance_name Instance;
  /// Time since it was received.
  base::milliseconds Age{0};
  std::vector<suspicion> Suspicions;
};

/// What the detector remembers of one group besides its view.
struct detector_state {
  base::term_number Term = 0;
  /// Since when the highest term has had no primary.
  std::optional<base::instant> NoPrimarySince;
  /// Last success of traffic to the primary.
  base::instant LastSuccess;
  /// Majority of received positions among the replicas, and when it last
  /// advanced or the primary was last not ahead of it.
  base::log_position Received = 0;
  base::instant ProgressAt;
};

/// Brings \p State up to date with the view. Call after each change of the
/// view and before suspicionOf.
void observeGroup(detector_state &State, const group_view &View,
                  base::instant Now);

/// Notes that traffic to the primary succeeded. Failures of traffic go to
/// observeFailure of the view.
void noteSuccess(detector_state &State, base::instant At);

/// Whether this instance suspects the primary, and why.
suspicion_cause suspicionOf(const detector_state &State, const group_view &View,
                            const detector_parameters &Parameters,
                            base::instant Now);

/// Whether enough instances share the suspicion of \p Own: a majority of this
/// one and those that reported lately, and at least two of more than two. So
/// one instance's broken link moves nothing.
bool isSuspectedByQuorum(const suspicion &Own,
                         const std::vector<peer_report> &Reports,
                         const detector_parameters &Parameters);

} // namespace redwinggw::data
