#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/session/directory.hpp"
#include "redwinggw/session/endpoint_link.hpp"
#include "redwinggw/session/endpoint_pool.hpp"
#include "redwinggw/session/primary_claims.hpp"

#include <optional>
#include <string_view>
#include <vector>

/// When and to which endpoint the primary of a service is moved. Decisions
/// without I/O; docs/PLATFORM-ADAPTER.md gives the order of the steps.
namespace redwinggw::session {

/// Why a service needs another primary.
enum class move_cause {
  None,
  /// It has announced that it leaves.
  Draining,
  /// It is no longer listed.
  Missing,
  /// It does not answer several instances.
  Failed,
  /// A move was begun, and its orderer is gone.
  Unfinished,
};

struct handover_limits {
  /// Failures without a success for so long make a suspicion: longer than a
  /// statement that is slow and a connection that is set up again.
  base::milliseconds SilentFor{450};
  unsigned FailuresNeeded = 2;
  /// An entry may be missing for a moment while the endpoint writes it anew.
  base::milliseconds MissingFor{1500};
  /// Instances that must suspect the primary, or all where there are fewer:
  /// one instance's broken link moves nothing.
  std::size_t SuspectsNeeded = 2;
  /// An orderer that is not heard for so long is taken to have died: longer
  /// than it takes to hear all others after a start or a partition.
  base::milliseconds OrdererGoneFor{700};
  /// A move of a live orderer is left alone for so long.
  base::milliseconds UnfinishedFor{8000};
  /// An instance that does not acknowledge a move goes on with the old primary
  /// for as long as its last reading of the store counts, or for as long as
  /// the last heartbeats of a majority count that did not know of the move.
  /// Both with some room for timers.
  base::milliseconds ReadingValidFor{1250};
  base::milliseconds HeartbeatsValidFor{1250};
  /// A replica is given so long to receive what the old primary had.
  base::milliseconds CatchUpTimeout{1500};
};

/// Whether this instance's own statements and probes speak against the
/// endpoint.
bool isSuspect(const endpoint_health &Health, const handover_limits &Limits,
               base::instant Now);

/// What the decision to move a primary goes by.
struct handover_view {
  /// The agreement, if there ever was one.
  const primary_claims::known *Claim = nullptr;
  /// The endpoint in use as the primary; empty when none is known.
  base::endpoint_name Primary;
  /// Its entry; null when it is not listed.
  const endpoint_entry *Entry = nullptr;
  /// Since when it has not been listed.
  std::optional<base::instant> MissingSince;
  /// Instances that are up, this one included, and those that suspect.
  std::size_t Instances = 1;
  std::size_t Suspects = 0;
  /// Since when the orderer of an unfinished move has not been heard.
  std::optional<base::instant> OrdererGoneSince;
};

move_cause causeToMove(const handover_view &View, const handover_limits &Limits,
                       base::instant Now);

/// Who has acknowledged a move, and since when.
struct move_acknowledgements {
  base::instant ClaimedAt;
  bool All = false;
  /// Since when at least half of the instances have: the others are too few to
  /// be a majority without one of these, which would tell them.
  std::optional<base::instant> HalfSince;
};

/// Whether nobody can use the old primary any more.
bool mayPromote(const move_acknowledgements &Acknowledged,
                const handover_limits &Limits, base::instant Now);

/// An endpoint that could become the primary.
struct move_candidate {
  base::endpoint_name Name;
  bool Draining = false;
  log_point Received;
};

/// The most advanced candidate, a draining one only where there is no other.
/// Null when there is none. With \p Needed only one that has received it.
const move_candidate *
chooseTarget(const std::vector<move_candidate> &Candidates,
             std::optional<log_point> Needed);

/// Whether the old primary may go on because nobody can take over: it leads
/// still, by its last answer \p Old, and no promotion can have been ordered.
/// \p Resumed: the move was begun by an earlier claim, whose order may take
/// effect even now. An old primary that went on then would acknowledge writes
/// beside the new one; it leads in its own eyes until it reaches that one.
bool mayKeepOldPrimary(const std::optional<endpoint_status> &Old, bool Resumed);

/// The name of \p Cause in logs. Thread safe.
std::string_view moveCauseName(move_cause Cause);

} // namespace redwinggw::session
