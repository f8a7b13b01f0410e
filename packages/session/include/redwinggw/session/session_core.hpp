#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/metrics.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/session/session.hpp"

#include <functional>
#include <string_view>

/// Serves the statements of callers' sessions: authorizes, admits, routes,
/// repeats what may be repeated, and answers truthfully.
namespace redwinggw::session {

/// Whether an operation is within its customer's rate.
struct admission {
  bool Admitted = false;
  /// Settle has to be told in the end whether it ran.
  bool Counted = false;
  /// Admitted: how long to wait first. Refused: when to come back.
  base::microseconds Wait{0};
};

/// What the core asks of the rest of the process.
struct core_ports {
  std::function<route_table_ptr()> Routes;
  /// Takes one operation of the customer's rate, if there is one within
  /// \p Patience.
  std::function<base::task<admission>(base::customer_name Customer,
                                      unsigned Priority,
                                      base::microseconds Patience)>
      Admit;
  /// Ends an admitted operation that was Counted; what no endpoint has run is
  /// given back to the customer's rate.
  settle_port Settle;
  /// The right to use the service's primary, if this instance has it now.
  std::function<std::optional<primary_lease>(std::string_view Service)>
      PrimaryLease;
  /// Whether the right has held ever since it was given.
  std::function<bool(const primary_lease &)> StillHolds;
  /// Time until the service should have a primary again; nothing when that is
  /// not known.
  std::function<std::optional<base::milliseconds>(std::string_view Service)>
      PrimaryExpected;
  /// A way to the endpoint through the instance that owns its connections;
  /// null when that is this instance, or when the owner cannot be used now.
  /// Unset: there are no owners.
  std::function<std::unique_ptr<forwarding_link>(
      const endpoint_entry &, std::string_view Customer, unsigned Priority)>
      Forward;
  /// A statement met an endpoint that is not the primary any more, or did not
  /// answer.
  std::function<void(std::string_view Endpoint)> NoteEndpointProblem;
};

/// Limits on work for one statement.
struct core_limits {
  /// Tries of one statement. Three endpoints a service, and one more try for a
  /// connection that had been closed unnoticed.
  unsigned MaxTries = 5;
  /// A read that had no answer for this part of its time is tried elsewhere.
  double FirstTryShare = 0.6;
  /// Part of the aimed latency for which a statement waits for something that
  /// is not known to come. Callers count longer holds than a quarter as time
  /// taken from them.
  double PatienceShare = 0.2;
  /// Part of the aimed latency for which a statement waits for its turn on an
  /// endpoint's slots: the rest is for running it.
  double QueueShare = 0.5;
  /// Part of the aimed latency within which a connection has to be set up.
  double SetUpShare = 0.6;
};

/// Bounds the lines about single statements, so that the log costs little
/// under any load. Failures have a budget of their own: they are what somebody
/// asks about later.
struct log_budget {
  /// A second of a full load on one instance has about a hundred statements.
  unsigned ServedPerSecond = 40;
  unsigned FailedPerSecond = 100;
  std::int64_t Second = 0;
  unsigned Served = 0;
  unsigned Failed = 0;
  /// Lines left out since the start.
  std::uint64_t Suppressed = 0;
};

/// Used from one thread. \p Set outlives the core.
struct session_core {
  explicit session_core(endpoint_set &Set) : Set(Set) {}

  endpoint_set &Set;
  core_ports Ports;
  core_limits Limits;
  base::metrics Metrics;
  /// Lines about single statements that may still be written in this second.
  log_budget LogBudget;
  /// The instance leaves: sessions end as soon as they are idle.
  bool Draining = false;
};

/// Authenticates a new session. Fails with NoDatabase or Denied.
std::optional<answer_error> openSession(session_core &Core,
                                        caller_session &Session);

/// Serves one statement. Precondition: no other statement of the session is
/// being served.
base::task<answer> serve(session_core &Core, caller_session &Session,
                         statement Statement, base::instant Arrived);

/// Rolls back and lets go of the session's transaction, if it has one.
base::task<void> endSession(caller_session &Session);

/// Whether the transaction has been idle for longer than the configuration
/// allows.
bool isAbandoned(const session_core &Core, const caller_session &Session,
                 base::instant Now);

/// Rolls back an abandoned transaction; its next statement is answered with
/// Aborted.
base::task<void> abandonTransaction(caller_session &Session);

} // namespace redwinggw::session
