#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/data/group_view.hpp"

#include <optional>
#include <string_view>
#include <vector>

/// Failure detector for a group's primary. Uses probes, regular traffic and the
/// reports of the other instances. Decisions without I/O.
namespace redwinggw::data {

struct detector_parameters {
  /// The primary is suspected after this long with failures and no success.
  base::milliseconds UnresponsiveTimeout{500};
  /// Minimum number of failed status requests. The second one uses a new
  /// connection, so that one dead connection alone causes no suspicion.
  unsigned MinFailures = 2;
  /// The highest term has had no primary for this long: the instance that began
  /// the term is presumed to have died during its failover.
  base::milliseconds NoPrimaryTimeout{1000};
  /// The primary has been ahead of its replicas and the position received by a
  /// majority has not advanced for this long: the primary is cut off from its
  /// replicas.
  base::milliseconds StallTimeout{800};
  /// Reports of other instances that are older than this are ignored.
  base::milliseconds MaxReportAge{1000};
};

/// Why this instance suspects a primary.
enum class suspicion_cause {
  None,
  /// Probes and traffic to the primary fail.
  Unresponsive,
  /// The group's highest term has no primary.
  NoPrimary,
  /// The replicas receive nothing from the primary.
  ReplicationStalled,
};

/// A group that an instance suspects, as it reports it to the others. An
/// instance does not suspect the groups that its report leaves out.
struct suspicion {
  base::group_name Group;
  base::term_number Term = 0;

  friend bool operator==(const suspicion &, const suspicion &) = default;
};

/// The latest report of another instance.
struct peer_report {
  base::instance_name Instance;
  /// Time since the report was received.
  base::milliseconds Age{0};
  std::vector<suspicion> Suspicions;
};

/// The detector's state for one group, in addition to the group's view.
struct detector_state {
  base::term_number Term = 0;
  /// Time since which the highest term has had no primary.
  std::optional<base::instant> NoPrimarySince;
  /// Time of the last successful request to the primary.
  base::instant LastSuccess;
  /// Highest position received by enough replicas for a majority, and the time
  /// when it last advanced or the primary was last not ahead of it.
  base::log_position Received = 0;
  base::instant ProgressAt;
};

/// Updates \p State from the view. Call after each change of the view and
/// before suspicionOf.
void observeGroup(detector_state &State, const group_view &View,
                  base::instant Now);

/// Notes a successful request to the primary. Failed requests are passed to
/// observeFailure of the view.
void noteSuccess(detector_state &State, base::instant At);

/// Whether this instance suspects the primary, and why.
suspicion_cause suspicionOf(const detector_state &State, const group_view &View,
                            const detector_parameters &Parameters,
                            base::instant Now);

/// Whether enough instances share the suspicion \p Own: a majority of this
/// instance and those with recent reports, and at least two instances if there
/// are more than two. One instance's broken link thus causes no failover.
bool isSuspectedByQuorum(const suspicion &Own,
                         const std::vector<peer_report> &Reports,
                         const detector_parameters &Parameters);

} // namespace redwinggw::data
