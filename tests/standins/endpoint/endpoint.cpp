#include "endpoint.hpp"

#include "messages.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace redwinggw::standin {
namespace {

namespace json = boost::json;
using data::endpoint_role;

http::response closed() {
  http::response Response;
  Response.Status = CloseConnection;
  return Response;
}

/// The endpoint state of \p Connection, created by the first request.
database_connection &connectionOf(http::connection &Connection,
                                  endpoint_standin &Endpoint) {
  using pointer = std::shared_ptr<database_connection>;
  if (!Connection.State.has_value())
    Connection.State = std::make_shared<database_connection>(
        Endpoint.shared_from_this(), Connection.Id);
  return **std::any_cast<pointer>(&Connection.State);
}

std::vector<data::endpoint_address> membersOf(const json::object &Body) {
  std::vector<data::endpoint_address> Members;
  for (const json::value &Member : Body.at("members").as_array())
    Members.push_back(
        {textOf(Member.as_object(), "name"),
         http::parseAddress(textOf(Member.as_object(), "address")).value()});
  return Members;
}

} // namespace

database_connection::database_connection(
    std::shared_ptr<endpoint_standin> Owner, std::uint64_t Id)
    : Endpoint(std::move(Owner)), Id(Id) {
  Endpoint->Connections.insert(this);
  Endpoint->LastConnection = std::max(Endpoint->LastConnection, Id);
}

database_connection::~database_connection() {
  Endpoint->disconnect(*this);
  Endpoint->Connections.erase(this);
}

endpoint_standin::endpoint_standin(boost::asio::any_io_executor Executor,
                                   endpoint_options Given)
    : Executor(Executor), Options(std::move(Given)), Faults(Options.Faults),
      StateChanged(Executor), FaultsChanged(Executor),
      Slots(Executor, Options.Slots) {
  Replica.Name = Options.Name;
  Replica.Group = Options.Group;
  rebuild();
  if (Options.Primary) {
    Replica.Role = endpoint_role::Primary;
    if (!Options.Schema.empty())
      Replica.Log.push_back({Replica.Term, Options.Schema, base::now()});
    becomePrimary(Options.Members);
  }
  boost::asio::co_spawn(Executor, applyLoop(), boost::asio::detached);
}

base::task<http::response> endpoint_standin::handle(http::connection &Server,
                                                    http::request Request) {
  if (Request.Target.starts_with("/admin/"))
    co_return admin(Request);
  database_connection &Connection = connectionOf(Server, *this);
  const peer Peer{Request.From, Request.Target == "/replicate"};
  if (!co_await passInbound(Connection, Peer))
    co_return closed();
  std::optional<http::response> Response =
      co_await perform(Connection, Request);
  if (!Response || !co_await passOutbound(Connection, Peer))
    co_return closed();
  co_return std::move(*Response);
}

base::task<std::optional<http::response>>
endpoint_standin::perform(database_connection &Connection,
                          const http::request &Request) {
  const std::string &Target = Request.Target;
  json::object Body;
  std::string Fault;
  try {
    Body = std::move(json::parse(Request.Body).as_object());
    if (Target == "/run") {
      data::run_request Run = runOf(Body);
      co_return co_await run(Connection, std::move(Run));
    }
    if (Target == "/connect")
      co_return co_await connect(Connection);
    if (Target == "/status")
      co_return co_await status(Body);
    if (Target == "/replicate")
      co_return replicate(Body);
    co_return order(Target, Body);
  } catch (const std::exception &Error) {
    Fault = Error.what();
  }
  co_return refuse({"bad_request", Fault});
}

base::task<http::response>
endpoint_standin::connect(database_connection &Connection) {
  if (Connection.Connected)
    co_return withState({});
  if (Counters.Connections >= Options.Connections)
    co_return refuse({"connection_limit", "connection limit reached"});
  Connection.Connected = true;
  ++Counters.Connections;
  Counters.MaxConnections =
      std::max(Counters.MaxConnections, Counters.Connections);
  co_await pause(Executor, Options.ConnectCost);
  co_return withState({});
}

base::task<http::response> endpoint_standin::status(const json::object &Body) {
  const base::log_position Wanted = numberOf(Body, "wait_received");
  const base::term_number Asked = numberOf(Body, "term");
  const base::instant Deadline = base::now() + timeOf(Body, "timeout_ms");
  const base::term_number Term = Asked == 0 ? Replica.Term : Asked;
  while (Wanted > 0 && Replica.Term == Term &&
         !confirms(Replica, Term, Wanted) && base::now() < Deadline)
    co_await StateChanged.wait(Deadline);
  co_return withState({});
}

http::response endpoint_standin::order(const std::string &Target,
                                       const json::object &Body) {
  const base::term_number Term = numberOf(Body, "term");
  const std::string Order = textOf(Body, "order");
  const endpoint_role RoleBefore = Replica.Role;
  const base::term_number TermBefore = Replica.Term;
  std::vector<data::endpoint_address> Members;
  bool Accepted = false;
  if (Target == "/seal") {
    Accepted = seal(Replica, Term, Order);
  } else if (Target == "/promote") {
    Members = membersOf(Body);
    Accepted = promote(Replica, Term, Order);
  } else if (Target == "/follow") {
    Accepted = follow(Replica, Term, Order);
  } else {
    return refuse({"bad_request", "no such request"});
  }
  if (!Accepted)
    return refuse({"term_replaced", "another order is in force"});
  if (RoleBefore == Replica.Role && TermBefore == Replica.Term)
    return withState({});
  ++ShipEpoch;
  endTransactions();
  if (Replica.Role == endpoint_role::Primary)
    becomePrimary(std::move(Members));
  StateChanged.wakeAll();
  return withState({});
}

http::response endpoint_standin::replicate(const json::object &Body) {
  const replicate_outcome Outcome =
      receive(Replica, replicateOf(Body), base::now());
  if (!Outcome.Accepted)
    return refuse({"term_replaced", "not the primary of this term"});
  if (Outcome.Rebuild)
    rebuild();
  StateChanged.wakeAll();
  return withState({});
}

http::response endpoint_standin::admin(const http::request &Request) {
  try {
    const json::value Parsed = json::parse(Request.Body);
    const json::object &Body = Parsed.as_object();
    if (Request.Target == "/admin/dump")
      return dump(Body);
    if (Request.Target == "/admin/counters")
      return answer({{"connections", Counters.Connections},
                     {"max_connections", Counters.MaxConnections},
                     {"running", Counters.Running},
                     {"max_running", Counters.MaxRunning},
                     {"runs", Counters.Runs},
                     {"statements", Counters.Statements}});
    if (Request.Target != "/admin/fault")
      return refuse({"bad_request", "no such request"});
    setFault(Faults, Body, LastConnection);
    FaultsChanged.wakeAll();
    StateChanged.wakeAll();
    return answer({});
  } catch (const std::exception &Error) {
    return answer({{"error", Error.what()}}, StatusBadRequest);
  }
}

http::response endpoint_standin::dump(const json::object &Body) {
  sql_result Read = Applier->execute({textOf(Body, "sql"), {}}, true);
  if (Read.Status != sql_status::Ok)
    return refuse(
        {Read.Status == sql_status::Locked ? "busy" : "statement_failed",
         Read.Detail});
  return withState(std::move(Read.Result));
}

http::response endpoint_standin::withState(json::object Body,
                                           unsigned Status) const {
  Body["state"] = objectOf(stateOf(Replica), Replica.Group);
  return answer(Body, Status);
}

http::response endpoint_standin::refuse(const run_refusal &Refusal) const {
  return withState(
      {{"error", Refusal.Error}, {"detail", Refusal.Detail}, {"ran", false}},
      StatusConflict);
}

base::task<bool> endpoint_standin::passInbound(database_connection &Connection,
                                               peer From) {
  if (isSilent(Connection)) {
    // Simulates a middlebox that dropped the connection's state. The database's
    // keepalive closes the connection, so it holds no locks and no longer
    // counts against the connection limit.
    disconnect(Connection);
    co_await waitForFaultChange();
    co_return false;
  }
  while (Faults.Paused)
    co_await FaultsChanged.wait();
  if (arrives(Faults, From))
    co_return true;
  co_await waitForFaultChange();
  co_return false;
}

base::task<bool> endpoint_standin::passOutbound(database_connection &Connection,
                                                peer To) {
  co_await pause(Executor, Faults.Slow);
  while (Faults.Paused)
    co_await FaultsChanged.wait();
  if (!isSilent(Connection) && leaves(Faults, To))
    co_return true;
  disconnect(Connection);
  co_await waitForFaultChange();
  co_return false;
}

base::task<void> endpoint_standin::waitForFaultChange() {
  return FaultsChanged.wait();
}

bool endpoint_standin::isSilent(const database_connection &Connection) const {
  return Connection.Id <= Faults.SilentUpTo;
}

void endpoint_standin::disconnect(database_connection &Connection) {
  Connection.Transaction.reset();
  Connection.Handle.reset();
  if (Connection.Connected)
    --Counters.Connections;
  Connection.Connected = false;
}

} // namespace redwinggw::standin
