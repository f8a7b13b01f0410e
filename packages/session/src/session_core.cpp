#include "redwinggw/session/session_core.hpp"

#include "core_parts.hpp"
#include "link_setup.hpp"

namespace redwinggw::session {
namespace {

using base::instant;

answer done(const caller_session &Session) {
  answer Answer;
  Answer.State = stateOf(Session);
  return Answer;
}

/// Determines the customer whose key the session presented, by the
/// configuration in force: a key that was withdrawn since is denied.
std::optional<answer_error> authorize(const route_table &Table,
                                      const route &Route,
                                      caller_session &Session) {
  const base::customer_name *Customer = findCustomer(Table, Session.Key);
  if (Customer != nullptr) {
    Session.Customer = *Customer;
    return std::nullopt;
  }
  if (!Route.Public)
    return answer_error{answer_code::Denied,
                        "the key is not in force; ask the operators for one"};
  Session.Customer.clear();
  return std::nullopt;
}

/// Result of admission: a refusal, or the operation that was charged to the
/// customer's rate.
struct admitted {
  std::optional<answer_error> Refused;
  counted_operation Counted;
};

/// Takes a token for one operation from the customer's rate.
base::task<admitted> admit(session_core &Core, const caller_session &Session,
                           const route &Route) {
  admitted Result;
  if (Session.Customer.empty())
    co_return Result;
  const auto Patience = std::chrono::duration_cast<base::microseconds>(
      Route.TargetLatency * Core.Limits.PatienceShare);
  const admission Admission =
      co_await Core.Ports.Admit(Session.Customer, Route.Priority, Patience);
  if (!Admission.Admitted) {
    const auto After = std::chrono::ceil<base::milliseconds>(Admission.Wait);
    const std::string Reason =
        Admission.RateKnown
            ? "over the customer's rate; retry after "
            : "what is left of the customer's rate is not known; retry after ";
    Result.Refused = answer_error{
        answer_code::Busy, Reason + std::to_string(After.count()) + " ms"};
    co_return Result;
  }
  if (Admission.Counted)
    Result.Counted = counted_operation(&Core.Ports.Settle, Session.Customer);
  if (Admission.Wait.count() != 0)
    co_await pauseFor(Core, Admission.Wait);
  co_return Result;
}

base::task<answer> serveData(session_core &Core, caller_session &Session,
                             request &Request) {
  if (Request.Statement.Kind == statement_kind::Execute) {
    const auto Found = Session.Prepared.find(Request.Statement.Name);
    if (Found == Session.Prepared.end()) {
      answer Answer = makeError(answer_code::UnknownName,
                                "no statement is prepared under this name");
      if (Session.Transaction)
        Session.Transaction->Failed = true;
      co_return Answer;
    }
    Request.Prepared = &Found->second;
    Request.Writes = Found->second.Writes;
  }
  if (Session.Transaction)
    co_return co_await serveInTransaction(Core, Session, Request);
  admitted Admitted = co_await admit(Core, Session, Request.Route);
  if (Admitted.Refused)
    co_return makeError(*Admitted.Refused);
  answer Answer = co_await serveSingle(Core, Session, Request);
  Admitted.Counted.settle(Request.Ran);
  co_return Answer;
}

/// Sets a session value, also on the transaction's connection if there is one.
base::task<answer> serveSet(caller_session &Session, const request &Request) {
  Session.Values.insert_or_assign(Request.Statement.Name,
                                  Request.Statement.Operand);
  if (Session.Transaction && Session.Transaction->Link) {
    pooled_link &Link = *Session.Transaction->Link;
    if (!co_await prepareLink(Link, Session.Values, Request.Deadline)) {
      Session.Transaction->Failed = true;
      Session.Transaction->Pool->discard(std::move(Session.Transaction->Link));
      co_return makeError(answer_code::Aborted,
                          "the connection to the endpoint was lost");
    }
  }
  co_return done(Session);
}

base::task<answer> serveBegin(session_core &Core, caller_session &Session,
                              const request &Request) {
  admitted Admitted = co_await admit(Core, Session, Request.Route);
  if (Admitted.Refused)
    co_return makeError(*Admitted.Refused);
  Session.Transaction = std::make_unique<open_transaction>();
  Session.Transaction->Counted = std::move(Admitted.Counted);
  Session.Transaction->Route = Request.Route;
  Session.Transaction->ReadOnly =
      Request.Statement.Kind == statement_kind::BeginRead;
  co_return done(Session);
}

answer servePrepare(caller_session &Session, const statement &Statement) {
  Session.Prepared.insert_or_assign(
      Statement.Name, prepared_statement{Statement.Operand, Statement.Writes});
  return done(Session);
}

answer serveDeallocate(caller_session &Session, const statement &Statement) {
  if (Session.Prepared.erase(Statement.Name) != 0)
    return done(Session);
  return makeError(answer_code::UnknownName,
                   "no statement is prepared under this name");
}

/// Ends a failed transaction; Commit rolls back too.
base::task<answer> endFailed(caller_session &Session,
                             const statement &Statement) {
  const bool InDoubt = Session.Transaction->InDoubt;
  co_await rollback(Session);
  if (Statement.Kind == statement_kind::Commit)
    co_return makeError(InDoubt ? answer_code::InDoubt : answer_code::Aborted,
                        "the transaction had failed and is rolled back");
  co_return done(Session);
}

bool endsTransaction(statement_kind Kind) {
  return Kind == statement_kind::Commit || Kind == statement_kind::Rollback;
}

/// Why \p Statement is not allowed in the session's state; nothing when it is.
std::optional<answer_error> checkOrder(const caller_session &Session,
                                       const statement &Statement) {
  const auto Malformed = [](std::string Reason) {
    return answer_error{answer_code::Malformed, std::move(Reason)};
  };
  if (Statement.Kind == statement_kind::Malformed)
    return Malformed("the statement cannot be read");
  const bool Begins = Statement.Kind == statement_kind::Begin ||
                      Statement.Kind == statement_kind::BeginRead;
  if (Session.Transaction && Begins)
    return Malformed("a transaction is open already");
  if (!Session.Transaction && endsTransaction(Statement.Kind))
    return Malformed("no transaction is open");
  if (Session.Transaction && Session.Transaction->Failed &&
      !endsTransaction(Statement.Kind))
    return Malformed("the transaction has failed; roll it back");
  return std::nullopt;
}

base::task<answer> dispatch(session_core &Core, caller_session &Session,
                            request &Request) {
  const statement &Statement = Request.Statement;
  if (Session.Transaction && Session.Transaction->Failed)
    co_return co_await endFailed(Session, Statement);
  switch (Statement.Kind) {
  case statement_kind::Begin:
  case statement_kind::BeginRead:
    co_return co_await serveBegin(Core, Session, Request);
  case statement_kind::Commit:
    co_return co_await serveCommit(Core, Session, Request);
  case statement_kind::Rollback:
    co_await rollback(Session);
    co_return done(Session);
  case statement_kind::Read:
  case statement_kind::Write:
  case statement_kind::Execute:
    co_return co_await serveData(Core, Session, Request);
  case statement_kind::Set:
    co_return co_await serveSet(Session, Request);
  case statement_kind::Prepare:
    co_return servePrepare(Session, Statement);
  case statement_kind::Deallocate:
    co_return serveDeallocate(Session, Statement);
  case statement_kind::Malformed:
    break;
  }
  co_return makeError(answer_code::Malformed, "the statement cannot be read");
}

} // namespace

transaction_state stateOf(const caller_session &Session) {
  if (!Session.Transaction)
    return transaction_state::Idle;
  return Session.Transaction->Failed ? transaction_state::Failed
                                     : transaction_state::Open;
}

std::optional<answer_error> openSession(session_core &Core,
                                        caller_session &Session) {
  const route_table_ptr Table = Core.Ports.Routes();
  const route *Route = findRoute(*Table, Session.Database);
  if (Route == nullptr)
    return answer_error{answer_code::NoDatabase,
                        "no route serves this database; check its name"};
  return authorize(*Table, *Route, Session);
}

base::task<answer> serve(session_core &Core, caller_session &Session,
                         statement Statement, instant Arrived) {
  // Keeps the route alive while a newer configuration comes into force.
  const route_table_ptr Table = Core.Ports.Routes();
  const route *Route = Session.Transaction
                           ? &Session.Transaction->Route
                           : findRoute(*Table, Session.Database);
  std::optional<answer_error> Refused;
  if (Route == nullptr)
    Refused = answer_error{answer_code::NoDatabase,
                           "no route serves this database any more"};
  if (!Refused)
    Refused = authorize(*Table, *Route, Session);
  if (Refused && Session.Transaction)
    Session.Transaction->Failed = true;
  if (!Refused)
    Refused = checkOrder(Session, Statement);
  if (Refused) {
    answer Answer = makeError(Refused->Code, Refused->Reason);
    Answer.State = stateOf(Session);
    co_return Answer;
  }
  // The transaction's own route is destroyed when the transaction ends.
  const route Copy = *Route;
  request Request{Statement, Copy, Arrived, Arrived + Copy.Timeout};
  Request.Writes = Statement.Kind == statement_kind::Write;
  // Also in a transaction, whose route is that of its begin: it keeps that
  // route's home regions when the route is removed.
  Request.Homes = homesFor(*Table, Session.Database, Session.Customer);
  if (Request.Homes.Route == nullptr)
    Request.Homes.Route = &Copy.Homes;
  answer Answer = co_await dispatch(Core, Session, Request);
  if (Session.Transaction)
    Session.Transaction->UsedAt = base::now();
  Answer.State = stateOf(Session);
  recordAnswer(Core, Session, Request, Answer);
  co_return Answer;
}

base::task<void> endSession(caller_session &Session) {
  co_await rollback(Session);
}

} // namespace redwinggw::session
