#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/membership.hpp"

#include <optional>
#include <string_view>

/// Decides whether this instance's configuration is fresh enough to serve with.
///
/// Two failures are to be avoided: an instance that cannot read the store goes
/// on serving a customer whose key has been withdrawn meanwhile; and the whole
/// fleet refuses all requests during an outage of the store, although nothing
/// can have been changed.
///
/// 1. Proof by a read. An own read, or one reported by an instance in contact,
///    that shows our version as the head proves that nothing newer was accepted
///    before that read. The earliest possible time of the read is used:
///    reported reads are dated from the sending of the heartbeat that the
///    report echoes. So an instance that serves on such a proof stops at most
///    MaxAge after an acceptance.
/// 2. Majorities. An acceptance is confirmed to the operator only after a
///    majority of the instances has reported that it knows the new head version
///    (majorityKnows). An instance without a recent proof goes on serving only
///    while it is in contact with a majority, none of which knows a head above
///    our version. Two majorities share an instance; what that one reports
///    after the confirmation names the new head. The reports used here are at
///    most ContactTimeout old. So an instance that serves without a proof stops
///    at most ContactTimeout after the confirmation.
/// 3. Instances that have not read the store since their start know nothing:
///    they do not count as in contact, and they do not serve either.
///
/// Assumption: between two reads of the platform's list so few instances join
/// or leave that a majority by the old list and one by the new list still share
/// an instance.
namespace redwinggw::control {

enum class config_freshness {
  /// The configuration was the head at most MaxAge ago.
  Current,
  /// No recent read of the store is known. This instance is in contact with a
  /// majority and knows no higher head, so no newer version can have been
  /// confirmed to an operator for longer than ContactTimeout.
  Outage,
  /// A newer version may have been accepted, or is known: serve nothing. Also
  /// for an instance in contact with a majority, if it knows a higher head.
  Isolated,
};
std::string_view configFreshnessName(config_freshness Freshness);

struct config_freshness_limits {
  /// A withdrawn key must stop working in under 3 s; the rest of that time is
  /// for the withdrawal to spread.
  base::milliseconds MaxAge{2000};
  /// Only tests switch these off.
  bool RequireMajority = true;
  bool StopOnHigherHead = true;
};

/// State kept between evaluations. Not thread safe.
struct config_freshness_state {
  config_freshness_limits Limits;
  /// Everything accepted before this time is in force here.
  std::optional<base::instant> CurrentAsOf;
  /// Version in force; 0 before the first one was read.
  base::config_version Version = 0;
};

/// The freshness at \p Now. \p Version is the one in force here. Call it at
/// least every tenth of MaxAge, and again before an answer that depends on it.
config_freshness evaluateConfigFreshness(config_freshness_state &State,
                                         const membership &Membership,
                                         base::config_version Version,
                                         base::instant Now);

} // namespace redwinggw::control
