#pragma once

#include "redwinggw/session/leased_link.hpp"

#include "redwinggw/session/session_core.hpp"

/// What the parts of the session core share.
namespace redwinggw::session {

/// A statement on its way, with what was decided about it.
struct request {
  const statement &Statement;
  const route &Route;
  base::instant Arrived;
  base::instant Deadline;
  /// What is run: for prepared statements the operand it was prepared with.
  const prepared_statement *Prepared = nullptr;
  bool Writes = false;
  /// An endpoint has run something of it, or may have.
  bool Ran = false;
  unsigned Tries = 0;
  /// Endpoints that did not serve it.
  std::vector<base::endpoint_name> Tried;
  /// The owner of an endpoint could not help: go there without it.
  bool Direct = false;
  /// The instance that ran the last try for this one; empty: none.
  base::instance_name Via;
  /// Until when it waits for a primary; set when the waiting begins.
  std::optional<base::instant> PrimaryWaitDeadline;
  /// What the last try went by: whether it used the primary, under which
  /// agreement, and the point that a replica had to prove.
  bool OnPrimary = false;
  std::uint64_t Epoch = 0;
  std::optional<log_point> Required;
  /// Why the last try did not serve it; for logs and refusals.
  std::string LastProblem;
};

/// An endpoint's connection to run on, and what it is trusted for.
struct placement {
  leased_link Link;
  /// Set when the endpoint is used as the primary.
  std::optional<primary_lease> PrimaryLease;
  /// The point that the endpoint must have.
  std::optional<required_point> Required;
  /// It belongs to a transaction that has begun on this connection.
  bool InTransaction = false;
  /// Its answer is waited for until then.
  base::instant TryDeadline;
  /// Why the endpoint's owner did not run the statement.
  forwarding_failure Failure = forwarding_failure::None;
  /// When the owner sent the statement to the endpoint, as it tells.
  std::optional<base::instant> RanSince;
};

/// The point that the placement's endpoint has to prove.
inline std::optional<log_point> pointOf(const placement &Placement) {
  if (!Placement.Required)
    return std::nullopt;
  return Placement.Required->Point;
}

/// Finds an endpoint and a connection for \p Request, waiting where that can
/// help. \p NeedsPrimary: writes and transactions that may write.
base::task<std::optional<placement>> findPlacement(session_core &Core,
                                                   caller_session &Session,
                                                   request &Request,
                                                   bool NeedsPrimary);

/// Until when to wait for something that is not known to come: longer holds
/// keep callers from trying elsewhere.
base::instant patienceDeadline(const session_core &Core,
                               const request &Request);

/// Until when to wait for a turn on an endpoint's slots: it comes, unlike what
/// patienceDeadline is for, and later the answer would be late.
base::instant queueDeadline(const session_core &Core, const request &Request);

/// Runs the caller's statement on the placement's connection, set up for the
/// session.
base::task<exchange> runOn(session_core &Core, caller_session &Session,
                           request &Request, placement &Placement);

/// Runs \p Statement on the placement's connection or through the endpoint's
/// owner, noting for how long the endpoint leaves it unanswered.
base::task<exchange> runOnPlacement(session_core &Core, request &Request,
                                    placement &Placement,
                                    link_statement Statement);

/// Takes in what an exchange tells about the endpoint, and a commit's
/// position. Closes or gives back the connection unless \p Keep.
void settle(session_core &Core, caller_session &Session, request &Request,
            placement &Placement, const exchange &Exchange, bool Keep);

/// Whether another try can help: not when the last one found no connection in
/// the time for which it is worth to wait.
bool mayRetry(const session_core &Core, const request &Request,
              const placement &Last);

/// Why no endpoint could serve the statement, and when to come back.
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

/// Writes the line about an answer, within its bounds, and counts it.
void recordAnswer(session_core &Core, const caller_session &Session,
                  const request &Request, const answer &Answer);

/// Writes a line, within its bounds, about a passed-on statement that was not
/// answered, and counts it.
void recordForwarded(session_core &Core, const forwarding_request &Request,
                     const forwarding_reply &Reply, base::microseconds Took);

answer makeError(answer_code Code, std::string Reason);
answer makeError(answer_error Error);

} // namespace redwinggw::session
