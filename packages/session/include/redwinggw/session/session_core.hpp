#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/metrics.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/session/session.hpp"

#include <functional>
#include <string_view>

/// Serves the statements of callers' sessions: authorizes, admits and routes
/// them, retries those that may be retried, and never reports an outcome that
/// is not certain.
namespace redwinggw::session {

/// The admission decision for one operation, by its customer's rate.
struct admission {
  bool Admitted = false;
  /// The operation was charged to the rate: Settle must be called once it is
  /// known whether it ran.
  bool Counted = false;
  /// Admitted: how long to wait first. Refused: when to retry.
  base::microseconds Wait{0};
  /// Refused: whether the customer is over its rate, and not within it as far
  /// as this instance can tell.
  bool RateKnown = true;
};

/// Callbacks into the rest of the process.
struct core_ports {
  std::function<route_table_ptr()> Routes;
  /// Takes a token for one operation from the customer's rate, if there is one
  /// within \p Patience.
  std::function<base::task<admission>(base::customer_name Customer,
                                      unsigned Priority,
                                      base::microseconds Patience)>
      Admit;
  /// Ends an admitted operation that was Counted; one that no endpoint has run
  /// is refunded to the customer's rate.
  settle_port Settle;
  /// The lease on the service's primary, if this instance holds it now.
  std::function<std::optional<primary_lease>(std::string_view Service)>
      PrimaryLease;
  /// Whether PrimaryLease would return the same lease again now: the same
  /// endpoint with the same epoch.
  std::function<bool(const primary_lease &)> StillHolds;
  /// Time until the service should have a primary again; nothing if that is not
  /// known.
  std::function<std::optional<base::milliseconds>(std::string_view Service)>
      PrimaryExpected;
  /// A link that forwards to the instance that owns the endpoint's connections;
  /// null if that is this instance, or if the owner cannot be used now. Unset:
  /// there are no owners.
  std::function<std::unique_ptr<forwarding_link>(
      const endpoint_entry &, std::string_view Customer, unsigned Priority)>
      Forward;
  /// An endpoint turned out not to be the primary any more, or did not answer a
  /// statement.
  std::function<void(std::string_view Endpoint)> NoteEndpointProblem;
};

/// Limits on work for one statement.
struct core_limits {
  /// Attempts for one statement; a search that found no connection counts as
  /// one too. A service has three endpoints, and one more attempt is for a
  /// connection that had been closed unnoticed.
  unsigned MaxTries = 5;
  /// A read without an answer for this fraction of its time is retried
  /// elsewhere.
  double FirstTryShare = 0.6;
  /// Fraction of the target latency for which a statement waits for a token, a
  /// primary or a connection, which may not become available at all. Below a
  /// quarter, since callers count a longer wait as lost time.
  double PatienceShare = 0.2;
  /// Fraction of the target latency for which a statement waits for one of an
  /// endpoint's slots: the rest is for running it.
  double QueueShare = 0.5;
  /// Fraction of the target latency within which a connection has to be set up.
  double SetUpShare = 0.6;
  /// Endpoints have standby owners: a statement whose owner is lost is
  /// forwarded again, if it may be retried, before this instance connects to
  /// the endpoint itself.
  bool StandbyOwners = false;
};

/// Limits the log lines about single statements, so that the log costs little
/// under any load. Failures have a budget of their own, since they are what is
/// looked up later.
struct log_budget {
  /// Fewer than the hundred or so statements that an instance serves in a
  /// second at full load; the rest is counted in Suppressed.
  unsigned ServedPerSecond = 40;
  unsigned FailedPerSecond = 100;
  std::int64_t Second = 0;
  unsigned Served = 0;
  unsigned Failed = 0;
  /// Lines suppressed since the start.
  std::uint64_t Suppressed = 0;
};

/// Used from one thread. \p Set outlives the core.
struct session_core {
  explicit session_core(endpoint_set &Set) : Set(Set) {}

  endpoint_set &Set;
  core_ports Ports;
  core_limits Limits;
  zone_regions Regions;
  base::metrics Metrics;
  log_budget LogBudget;
  /// The instance shuts down: sessions end as soon as they are idle.
  bool Draining = false;
};

/// Authenticates a new session. Fails with NoDatabase or Denied.
std::optional<answer_error> openSession(session_core &Core,
                                        caller_session &Session);

/// Serves one statement. Precondition: no other statement of the session is
/// being served.
base::task<answer> serve(session_core &Core, caller_session &Session,
                         statement Statement, base::instant Arrived);

/// Rolls back and drops the session's transaction, if it has one.
base::task<void> endSession(caller_session &Session);

/// Whether the transaction has been idle for longer than the configuration
/// allows.
bool isAbandoned(const session_core &Core, const caller_session &Session,
                 base::instant Now);

/// Rolls back an abandoned transaction; its next statement is answered with
/// Aborted.
base::task<void> abandonTransaction(caller_session &Session);

} // namespace redwinggw::session
