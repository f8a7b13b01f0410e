#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/session/directory.hpp"
#include "redwinggw/session/endpoint_link.hpp"
#include "redwinggw/session/endpoint_pool.hpp"
#include "redwinggw/session/primary_claims.hpp"
#include "redwinggw/session/promotion_evidence.hpp"

#include <optional>
#include <string_view>
#include <vector>

/// Decides when and to which endpoint the primary of a service is moved: a move
/// (handover, failover) replaces the primary by another endpoint, which the
/// platform promotes. Decisions without I/O; docs/PLATFORM-ADAPTER.md gives the
/// order of the steps.
namespace redwinggw::session {

/// Why a service needs another primary.
enum class move_cause {
  None,
  /// It has announced that it shuts down.
  Draining,
  /// Its availability zone is evacuated, and an endpoint elsewhere can replace
  /// it.
  Evacuated,
  /// It is no longer listed.
  Missing,
  /// None is known, though replicas are listed.
  Unknown,
  /// It does not answer several instances.
  Failed,
  /// A move was begun, and its orderer is gone or does not finish it.
  Unfinished,
  /// Another endpoint leads a later term than the agreed primary: an order has
  /// taken effect late.
  Superseded,
};

struct handover_limits {
  /// An endpoint is suspected when it has been failing for this long without a
  /// success: longer than a slow statement and setting up a connection again
  /// take.
  base::milliseconds FailingFor{450};
  unsigned FailuresNeeded = 2;
  /// How long instances may report a suspicion after the endpoint can be
  /// reached again: a probe, and the heartbeat with its result.
  base::milliseconds SuspicionClearsWithin{900};
  /// An entry may be missing for a moment while the endpoint registers again.
  base::milliseconds MissingFor{1500};
  /// A primary that this instance has never known may be listed again: longer
  /// than that takes after an outage of the store, with the read of the list.
  base::milliseconds UnknownFor{3500};
  /// Instances that must suspect the primary, or all if there are fewer: one
  /// instance's broken link must not cause a move.
  std::size_t SuspectsNeeded = 2;
  /// An orderer whose last heartbeat is older is considered dead: longer than
  /// it takes to receive heartbeats from all others after a start or a
  /// partition.
  base::milliseconds OrdererGoneFor{700};
  /// How long a move is left to an orderer that is alive.
  base::milliseconds UnfinishedFor{8000};
  /// An instance that does not know of a move may use the old primary for this
  /// long after its last read of the store. Includes a margin for timers.
  base::milliseconds ReadingValidFor{1250};
  /// The same after the last heartbeats of a majority that did not know of the
  /// move. Includes a margin for timers.
  base::milliseconds HeartbeatsValidFor{1250};
  /// How long a replica may take to receive what the old primary had.
  base::milliseconds CatchUpTimeout{1500};
  /// Between the last time at which another instance may have sent an order and
  /// the first order of this one. Orders of two instances must not alternate
  /// within it, and an order that was given up arrives within it if it does at
  /// all.
  base::milliseconds OrdererTurn{3000};
  /// A promotion that the platform has accepted takes effect within this time.
  base::milliseconds PromotionTime{1500};
  /// How long all listed endpoints have to be of an older term than the agreed
  /// one until those of that term are taken for lost: longer than one that
  /// restarts is not listed.
  base::milliseconds TermLostAfter{5000};
};

/// Whether this instance's own statements and probes show that the endpoint may
/// have failed.
bool isSuspect(const endpoint_health &Health, const handover_limits &Limits,
               base::instant Now);

/// Input of the decision to move a primary.
struct handover_view {
  /// The claim on the service's primary, if there ever was one.
  const primary_claims::known *Claim = nullptr;
  /// The endpoint in use as the primary; empty when none is known.
  base::endpoint_name Primary;
  /// Its entry; null when it is not listed.
  const endpoint_entry *Entry = nullptr;
  /// Since when it has not been listed.
  std::optional<base::instant> MissingSince;
  /// Instances that are up, this one included, and how many of them suspect the
  /// primary.
  std::size_t Instances = 1;
  std::size_t Suspects = 0;
  /// Since when no heartbeat of an unfinished move's orderer has arrived.
  std::optional<base::instant> OrdererGoneSince;
  /// The primary's availability zone is evacuated, and the service has
  /// endpoints in zones that are not.
  bool ReplaceableElsewhere = false;
  /// This instance has become the orderer since an unfinished move was claimed,
  /// so that the one that claimed it can order nothing any more.
  bool OrdererReplaced = false;
  /// Another endpoint has been seen to lead a later term than the agreed one.
  bool Superseded = false;
  /// Since when a current list has named endpoints of the service and no
  /// primary, and nothing else has named one.
  std::optional<base::instant> UnknownSince;
};

/// Since when the orderer of a service's newest claim has not been heard.
struct orderer_silence {
  std::uint64_t Epoch = 0;
  base::instant Since;
};

/// Updates \p Silence at \p Now for the claim of \p Epoch. \p IsUp: its orderer
/// is heard. Silence from before the claim says nothing about its orderer:
/// another instance ordered then. Thread safe.
void noteOrderer(std::optional<orderer_silence> &Silence, std::uint64_t Epoch,
                 bool IsUp, base::instant Now);

move_cause causeToMove(const handover_view &View, const handover_limits &Limits,
                       base::instant Now);

/// How many instances have to suspect a primary if \p Instances are up. Thread
/// safe.
std::size_t suspectsNeeded(const handover_limits &Limits,
                           std::size_t Instances);

/// What to do about a primary that instances suspect and that answers this one.
enum class suspicion_verdict { Wait, Trust, Replace };

/// \p Suspects of \p Instances suspect it now, \p Answering after its answer.
/// The suspicions may be older than the end of a partition, so they get time to
/// clear before a primary that serves is given up. Thread safe.
suspicion_verdict judgeSuspicion(std::size_t Suspects, std::size_t Instances,
                                 base::milliseconds Answering,
                                 const handover_limits &Limits);

/// The acknowledgements of a move.
struct move_acknowledgements {
  base::instant ClaimedAt;
  bool All = false;
  /// Since when at least half of the instances have acknowledged. From then on
  /// any majority contains an instance that announces the move to the rest.
  std::optional<base::instant> HalfSince;
};

/// Whether no instance can use the old primary any more, so that another
/// endpoint may be promoted.
bool mayPromote(const move_acknowledgements &Acknowledged,
                const handover_limits &Limits, base::instant Now);

/// Whether the old primary may stay in use because no endpoint can replace it.
/// True if \p Old says that it leads the newest term, and if no promotion
/// can have been ordered. \p MayBeOrdered: a promotion may have been ordered in
/// this move, and may still take effect. Then both primaries would acknowledge
/// writes, since an old primary reports the primary role until it is in contact
/// with the new one.
bool mayKeepOldPrimary(const promotion_start &Old, bool MayBeOrdered);

/// The name of \p Cause in logs. Thread safe.
std::string_view moveCauseName(move_cause Cause);

} // namespace redwinggw::session
