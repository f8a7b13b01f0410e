#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/membership.hpp"

#include <optional>
#include <string_view>

/// Whether this instance may serve with the configuration that it has.
///
/// The danger: an instance that cannot read the store serves a customer whose
/// key was withdrawn meanwhile. The opposite danger: the store is down for
/// all, nothing can have changed, and the fleet refuses everything.
///
/// 1. Proof. An own read, or one relayed by a heard instance, that shows our
///    version as the head proves that nothing newer was accepted before that
///    read. Its time is taken as early as it can have been: relays count from
///    the sending of the heartbeat that they echo. So whoever serves with
///    proof stops MaxAge after an acceptance at the latest.
/// 2. Majorities. An acceptance is confirmed to the operator only after a
///    majority of the instances told that it knows the new head version
///    (majorityKnows). An instance without proof goes on only while it hears a
///    majority, and none of it knows a head above our version. Two
///    majorities share an instance; what that one says after the confirmation
///    names the new head. What we go by is at most ContactTimeout old. So
///    whoever serves without proof stops ContactTimeout after the confirmation
///    at the latest.
/// 3. Instances that have not read the store since they started know nothing
///    and count as not heard; they do not serve either.
///
/// Assumption: between two readings of the platform's list fewer instances
/// change than the two majorities have in common.
namespace redwinggw::control {

enum class config_freshness {
  Current,  ///< the configuration was the head at most MaxAge ago
  Outage,   ///< nobody sees the store and nothing can have been accepted
  Isolated, ///< something may have been accepted: serve nothing
};
std::string_view configFreshnessName(config_freshness Freshness);

struct config_freshness_limits {
  /// Withdrawals must stop in under 3 s; what remains is for their way.
  base::milliseconds MaxAge{2000};
  /// Switched off by tests only.
  bool RequireMajority = true;
  bool StopOnHigherHead = true;
};

/// What the decision keeps. Not thread safe.
struct config_freshness_state {
  config_freshness_limits Limits;
  /// Everything accepted before this is in force here.
  std::optional<base::instant> CurrentAsOf;
  /// Version in force; 0 before the first one was read.
  base::config_version Version = 0;
};

/// Judges at \p Now. \p Version is the one in force here. Call it at least
/// each tenth of MaxAge, and before answering on the strength of it.
config_freshness evaluateConfigFreshness(config_freshness_state &State,
                                         const membership &Membership,
                                         base::config_version Version,
                                         base::instant Now);

} // namespace redwinggw::control
