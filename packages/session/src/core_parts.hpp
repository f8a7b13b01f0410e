#pragma once

#include "redwinggw/session/checked_out_link.hpp"

#include "redwinggw/session/session_core.hpp"

/// Declarations shared by the source files of the session core, which serve a
/// statement in this order: session_core.cpp authorizes and admits it;
/// single_statement.cpp or transaction.cpp repeats attempts; placement.cpp
/// chooses an endpoint and a connection; try_statement.cpp runs one attempt and
/// records what it shows; answer_record.cpp logs the answer.
/// serve_forwarded.cpp runs an attempt that another instance forwarded.
namespace redwinggw::session {

/// A statement being served, with what was decided about it.
struct request {
  const statement &Statement;
  const route &Route;
  base::instant Arrived;
  base::instant Deadline;
  /// Set for Execute: the prepared statement that is run.
  const prepared_statement *Prepared = nullptr;
  bool Writes = false;
  /// By the configuration in force when it arrived.
  home_rule Homes;
  /// An endpoint has run something of it, or may have.
  bool Ran = false;
  unsigned Tries = 0;
  /// Endpoints that were tried, the latest one last.
  std::vector<base::endpoint_name> Tried;
  /// The endpoint's owner could not be used: connect to the endpoint directly.
  bool Direct = false;
  /// The instance to which the last attempt was forwarded; empty if none.
  base::instance_name Via;
  /// Until when it waits for a primary; set when the wait begins.
  std::optional<base::instant> PrimaryWaitDeadline;
  /// Basis of the last attempt: whether it used the primary, the epoch of the
  /// primary's claim, and the log position that a replica had to have.
  bool OnPrimary = false;
  std::uint64_t Epoch = 0;
  std::optional<log_point> Required;
  /// Endpoints that could serve it, at the last choice.
  std::size_t Candidates = 0;
  /// Why the last attempt did not serve it; for logs and refusals.
  std::string LastProblem;
  /// When what the last attempt lacked is expected; zero if that is not known.
  base::milliseconds RetryAfter{0};
};

/// The connection on which a statement runs, and the conditions under which its
/// endpoint may serve it.
struct placement {
  checked_out_link Link;
  /// Set when the endpoint is used as the primary.
  std::optional<primary_lease> PrimaryLease;
  /// The log position that the endpoint must have.
  std::optional<required_point> Required;
  /// It belongs to a transaction that has begun on this connection.
  bool InTransaction = false;
  /// Deadline of this attempt.
  base::instant TryDeadline;
  /// Why the statement was not run by the endpoint's owner, or, where nothing
  /// was forwarded, NoConnection if it got no slot here.
  forwarding_failure Failure = forwarding_failure::None;
  /// The owner answered that it sent nothing to the endpoint, or this instance
  /// held the statement back; the request's LastProblem then says why.
  bool SentNothing = false;
  /// When the owner sent the statement to the endpoint, by its report.
  std::optional<base::instant> RanSince;
};

/// The log position that the placement's endpoint must have.
inline std::optional<log_point> pointOf(const placement &Placement) {
  if (!Placement.Required)
    return std::nullopt;
  return Placement.Required->Point;
}

/// Whether a statement at \p Pool's endpoint, which may be cold, would not get
/// a token before \p Until. Counts it then.
bool refusesAsCold(session_core &Core, const endpoint_pool &Pool, cold_use Use,
                   base::instant Until);

/// Whether a statement was not sent since the endpoint is cold, which is no
/// failure of the endpoint.
bool isHeldBack(const endpoint_pool &Pool, const exchange &Exchange);

/// Finds an endpoint and a connection for \p Request, waiting if that can help.
/// \p NeedsPrimary: only the primary may serve it.
base::task<std::optional<placement>> findPlacement(session_core &Core,
                                                   caller_session &Session,
                                                   request &Request,
                                                   bool NeedsPrimary);

/// Until when to wait for a primary or a connection, which may not become
/// available at all: a longer wait keeps the caller from trying elsewhere.
base::instant patienceDeadline(const session_core &Core,
                               const request &Request);

/// Until when to wait for one of an endpoint's slots. This is later than
/// patienceDeadline, since a slot does become free; after it the answer would
/// be late.
base::instant queueDeadline(const session_core &Core, const request &Request);

/// Runs the caller's statement on the placement's connection, set up for the
/// session.
base::task<exchange> runOn(session_core &Core, caller_session &Session,
                           request &Request, placement &Placement);

/// Runs \p Statement on the placement's connection or through the endpoint's
/// owner, recording how long the endpoint leaves it unanswered.
base::task<exchange> runOnPlacement(session_core &Core, request &Request,
                                    placement &Placement,
                                    link_statement Statement);

/// Records what an exchange shows about the endpoint, and a commit's position.
/// Closes the connection or returns it to its pool unless \p Keep.
void settle(session_core &Core, caller_session &Session, request &Request,
            placement &Placement, const exchange &Exchange, bool Keep);

/// Whether another attempt can help: not if the last one got no connection
/// within the time that is worth waiting.
bool mayRetry(const session_core &Core, const request &Request,
              const placement &Last);

/// Whether trying another endpoint can help a statement that lacked a slot or a
/// connection, by the time at which one is expected.
bool mayTryElsewhere(const session_core &Core, const request &Request);

/// Why no endpoint could serve the statement, and when to retry.
answer_error refusal(const session_core &Core, const request &Request);

base::task<answer> serveSingle(session_core &Core, caller_session &Session,
                               request &Request);
base::task<answer> serveInTransaction(session_core &Core,
                                      caller_session &Session,
                                      request &Request);
base::task<answer> serveCommit(session_core &Core, caller_session &Session,
                               request &Request);
base::task<void> rollback(caller_session &Session);

base::task<void> pauseFor(session_core &Core, base::microseconds Time);

/// Writes the log line about an answer, within the log budget, and counts it.
void recordAnswer(session_core &Core, const caller_session &Session,
                  const request &Request, const answer &Answer);

/// Counts a forwarded statement and, if it was not answered, writes a log line
/// about it, within the log budget.
void recordForwarded(session_core &Core, const forwarding_request &Request,
                     const forwarding_reply &Reply, base::microseconds Took);

answer makeError(answer_code Code, std::string Reason);
answer makeError(answer_error Error);

} // namespace redwinggw::session
