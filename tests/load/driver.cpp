#include "driver.hpp"

#include "redwinggw/base/ids.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace redwinggw::load {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using base::instant;
using base::milliseconds;
using base::outcome;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds RepeatPause{100};
constexpr milliseconds RefusedPause{250};
constexpr milliseconds Grace{1000};
constexpr int CheckTries = 40;

constexpr const char *CreateSql =
    "create table if not exists load_counter(session text primary key, "
    "customer text, n integer)";
constexpr const char *AddSql =
    "insert into load_counter(session, customer, n) values(?, ?, 1) "
    "on conflict(session) do update set n = n + 1";
constexpr const char *ReadSql =
    "select session, customer, n from load_counter where session = ?";
constexpr const char *ReadAllSql =
    "select session, customer, n from load_counter where session like ?";

std::chrono::steady_clock::time_point clockPoint(instant Instant) {
  return std::chrono::steady_clock::time_point(Instant.time_since_epoch());
}

std::vector<counter_row> rowsOf(const json::object &Body) {
  std::vector<counter_row> Rows;
  const json::value *Value = Body.if_contains("rows");
  if (!Value || !Value->is_array())
    return Rows;
  for (const json::value &Cell : Value->get_array()) {
    const json::array &Row = Cell.as_array();
    Rows.push_back({json::value_to<std::string>(Row.at(0)),
                    json::value_to<std::string>(Row.at(1)),
                    Row.at(2).to_number<std::uint64_t>()});
  }
  return Rows;
}

std::string textAt(const json::object &Object, std::string_view Key) {
  const json::value *Value = Object.if_contains(Key);
  return Value && Value->is_string() ? std::string(Value->get_string())
                                     : std::string();
}

void nameRequest(json::object &Body) {
  Body["request_id"] = base::randomId();
  Body["issued_at"] = base::wallMilliseconds();
}

} // namespace

driver::driver(asio::any_io_executor Executor, load_plan Plan,
               std::vector<http::address> Instances, driver_options Options)
    : Executor(Executor), Plan(std::move(Plan)), Options(Options),
      Caller(Executor, std::move(Instances)), RunId(base::randomId()) {}

const std::string &driver::keyOf(const session &Session) const {
  return Plan.Customers[Session.Customer].Key;
}

void driver::note(violation Violation) { ++Violations[Violation]; }

base::task<void> driver::pause(milliseconds Time) {
  asio::steady_timer Timer(Executor, Time);
  co_await Timer.async_wait(Token);
}

session &driver::checkOut(const arrival &Arrival) {
  auto &Idle = Free[{Arrival.Customer, Arrival.Service}];
  if (!Idle.empty()) {
    session &Session = *Idle.back();
    Idle.pop_back();
    return Session;
  }
  session &Session = Sessions.emplace_back();
  Session.Customer = Arrival.Customer;
  Session.Service = Arrival.Service;
  Session.Id = RunId + "-" + std::to_string(Arrival.Customer) + "-" +
               std::to_string(Sessions.size());
  return Session;
}

std::size_t driver::nextInstance(session &Session) const {
  if (Options.OneInstance)
    return Session.Customer;
  return Session.Customer + Session.Sent++;
}

json::object driver::bodyFor(const session &Session,
                             std::string_view Access) const {
  json::object Body;
  Body["service"] = Plan.Services[Session.Service];
  Body["access"] = Access;
  Body["deadline_ms"] = Options.Deadline.count();
  if (!Session.Token.empty())
    Body["session"] = Session.Token;
  return Body;
}

base::task<caller_answer>
driver::tryInstances(session &Session, std::string Target, json::object Body) {
  caller_answer Answer;
  for (std::size_t Try = 0; Try < Caller.instances(); ++Try) {
    const std::size_t Instance = nextInstance(Session) + Try;
    const instant Deadline = base::now() + Options.Deadline + Grace;
    Answer =
        co_await Caller.post(Instance, Target, keyOf(Session), Body, Deadline);
    if (!mayGoElsewhere(Answer))
      break;
  }
  co_return Answer;
}

void driver::check(const session &Session, const caller_answer &Answer) {
  const auto Rows = rowsOf(Answer.Body);
  std::optional<counter_row> Row;
  if (!Rows.empty())
    Row = Rows.front();
  const std::string &Customer = Plan.Customers[Session.Customer].Name;
  const auto Found = checkRow(Session, Customer, Row, false);
  if (Found)
    note(*Found);
}

base::task<void> driver::performRead(session &Session, request_record &Record) {
  json::object Body = bodyFor(Session, "read");
  const bool Declared = Record.Arrival.Kind == request_kind::DeclaredRead;
  if (Declared) {
    Body["read"] = Plan.DeclaredRead;
    Body["session"] = "none";
  }
  Record.ReplicaAllowed = Declared || !Session.Token.empty();
  Body["sql"] = ReadSql;
  Body["params"] = json::array{Session.Id};
  const caller_answer Answer =
      co_await tryInstances(Session, "/v1/statement", std::move(Body));
  Record.Outcome = Answer.Outcome;
  Record.Error = Answer.Error;
  Record.ServedBy = textAt(Answer.Body, "served_by");
  if (!Answer.isDone() || Declared)
    co_return;
  check(Session, Answer);
  if (Session.Unresolved == 0)
    Session.Token = textAt(Answer.Body, "session");
}

/// Finds out what became of a write whose answer was lost.
base::task<caller_answer> driver::resolve(session &Session,
                                          request_record &Record,
                                          std::string Target,
                                          json::object Body) {
  const instant Until = base::now() + Options.GiveUp;
  Body.erase("session");
  json::object Enquiry;
  Enquiry["service"] = Body["service"];
  Enquiry["request_id"] = Body["request_id"];
  Enquiry["issued_at"] = Body["issued_at"];
  // A transaction cannot be repeated blindly: it is only asked after.
  const bool Repeatable = Target == "/v1/statement";
  caller_answer Answer;
  while (base::now() < Until) {
    co_await pause(RepeatPause);
    ++Record.Repeats;
    if (Repeatable)
      Answer = co_await tryInstances(Session, Target, Body);
    else
      Answer = co_await tryInstances(Session, "/v1/outcome", Enquiry);
    if (Answer.isDone() || Answer.Error == "request_cancelled")
      co_return Answer;
  }
  Answer = co_await tryInstances(Session, "/v1/outcome", Enquiry);
  if (!Answer.isDone() && Answer.Error != "request_cancelled")
    Answer.Outcome = outcome::Unknown;
  co_return Answer;
}

void driver::settleWrite(session &Session, const caller_answer &Answer) {
  if (Answer.isDone()) {
    ++Session.Acknowledged;
    if (OnWrite)
      OnWrite(Session.Service, base::now());
    if (Session.Unresolved == 0)
      Session.Token = textAt(Answer.Body, "session");
  }
  if (Answer.Outcome != outcome::Unknown)
    return;
  ++Session.Unresolved;
  Session.Token.clear();
}

base::task<void> driver::performWrite(session &Session,
                                      request_record &Record) {
  json::object Body = bodyFor(Session, "write");
  nameRequest(Body);
  Body["sql"] = AddSql;
  Body["params"] =
      json::array{Session.Id, Plan.Customers[Session.Customer].Name};
  caller_answer Answer = co_await tryInstances(Session, "/v1/statement", Body);
  if (Answer.Outcome == outcome::Unknown)
    Answer = co_await resolve(Session, Record, "/v1/statement", Body);
  Record.Outcome = Answer.Outcome;
  Record.Error = Answer.Error;
  settleWrite(Session, Answer);
}

base::task<void> driver::performTransaction(session &Session,
                                            request_record &Record) {
  json::object Begin = bodyFor(Session, "write");
  nameRequest(Begin);
  std::size_t Instance = nextInstance(Session);
  const auto Deadline = [this] {
    return base::now() + Options.Deadline + Grace;
  };
  caller_answer Answer;
  for (std::size_t Try = 0; Try < Caller.instances(); ++Try, ++Instance) {
    Answer = co_await Caller.post(Instance, "/v1/begin", keyOf(Session), Begin,
                                  Deadline());
    if (!mayGoElsewhere(Answer))
      break;
  }
  Record.Outcome = Answer.Outcome;
  Record.Error = Answer.Error;
  // Whatever happens before the commit is sent leaves nothing.
  if (!Answer.isDone()) {
    Record.Outcome = outcome::NotRun;
    co_return;
  }
  json::object Run;
  Run["transaction"] = textAt(Answer.Body, "transaction");
  json::object Add = Run;
  Add["sql"] = AddSql;
  Add["params"] =
      json::array{Session.Id, Plan.Customers[Session.Customer].Name};
  Answer = co_await Caller.post(Instance, "/v1/run", keyOf(Session), Add,
                                Deadline());
  json::object Read = Run;
  Read["sql"] = ReadSql;
  Read["params"] = json::array{Session.Id};
  if (Answer.isDone())
    Answer = co_await Caller.post(Instance, "/v1/run", keyOf(Session), Read,
                                  Deadline());
  if (!Answer.isDone()) {
    Record.Outcome = outcome::NotRun;
    Record.Error = Answer.Error;
    co_await Caller.post(Instance, "/v1/rollback", keyOf(Session), Run,
                         Deadline());
    co_return;
  }
  session InTransaction = Session;
  ++InTransaction.Acknowledged;
  check(InTransaction, Answer);
  Answer = co_await Caller.post(Instance, "/v1/commit", keyOf(Session), Run,
                                Deadline());
  if (Answer.Outcome == outcome::Unknown)
    Answer = co_await resolve(Session, Record, "/v1/begin", Begin);
  Record.Outcome = Answer.Outcome;
  Record.Error = Answer.Error;
  settleWrite(Session, Answer);
}

base::task<void> driver::perform(arrival Arrival, instant Start) {
  session &Session = checkOut(Arrival);
  request_record Record;
  Record.Arrival = Arrival;
  switch (Arrival.Kind) {
  case request_kind::SessionRead:
  case request_kind::DeclaredRead:
    co_await performRead(Session, Record);
    break;
  case request_kind::Write:
    co_await performWrite(Session, Record);
    break;
  case request_kind::Transaction:
    co_await performTransaction(Session, Record);
    break;
  }
  // From the intended start: a driver or fleet that falls behind makes the
  // latency longer, not the sample smaller.
  Record.Latency = base::now() - (Start + Arrival.At);
  Records.push_back(std::move(Record));
  Free[{Arrival.Customer, Arrival.Service}].push_back(&Session);
  --Running;
}

base::task<void> driver::sendAll(instant Start) {
  asio::steady_timer Timer(Executor);
  for (const arrival &Arrival : arrivalsOf(Plan)) {
    Timer.expires_at(clockPoint(Start + Arrival.At));
    co_await Timer.async_wait(Token);
    ++Running;
    asio::co_spawn(Executor, perform(Arrival, Start), asio::detached);
  }
  constexpr milliseconds Poll{10};
  while (Running > 0)
    co_await pause(Poll);
}

base::task<bool> driver::prepare() {
  bool Prepared = true;
  for (std::size_t Service = 0; Service < Plan.Services.size(); ++Service) {
    session Session;
    Session.Service = Service;
    json::object Body = bodyFor(Session, "write");
    nameRequest(Body);
    Body["sql"] = CreateSql;
    caller_answer Answer;
    for (int Try = 0; Try < CheckTries && !Answer.isDone(); ++Try) {
      Answer = co_await tryInstances(Session, "/v1/statement", Body);
      if (!Answer.isDone())
        co_await pause(RefusedPause);
    }
    Prepared = Prepared && Answer.isDone();
  }
  co_return Prepared;
}

/// Compares the counter rows of one customer in one service with what its
/// sessions were told; false when they could not be read.
base::task<bool> driver::checkSessions(std::size_t Customer,
                                       std::size_t Service) {
  session Reader;
  Reader.Customer = Customer;
  Reader.Service = Service;
  json::object Body = bodyFor(Reader, "read");
  Body["sql"] = ReadAllSql;
  Body["params"] = json::array{RunId + "-" + std::to_string(Customer) + "-%"};
  const caller_answer Answer =
      co_await tryInstances(Reader, "/v1/statement", std::move(Body));
  if (!Answer.isDone())
    co_return false;
  std::map<std::string, counter_row> Rows;
  for (counter_row &Row : rowsOf(Answer.Body))
    Rows.emplace(Row.Session, Row);
  for (const session &Session : Sessions) {
    if (Session.Customer != Customer || Session.Service != Service)
      continue;
    std::optional<counter_row> Row;
    if (const auto Found = Rows.find(Session.Id); Found != Rows.end())
      Row = Found->second;
    const std::string &Name = Plan.Customers[Customer].Name;
    if (const auto Wrong = checkRow(Session, Name, Row, true))
      note(*Wrong);
  }
  co_return true;
}

base::task<void> driver::checkEnd() {
  for (const auto &[Key, Idle] : Free) {
    bool Checked = false;
    for (int Try = 0; Try < CheckTries && !Checked; ++Try) {
      Checked = co_await checkSessions(Key.first, Key.second);
      if (!Checked)
        co_await pause(RefusedPause);
    }
    Unchecked += Checked ? 0 : Idle.size();
  }
}

base::task<load_report> driver::run() {
  co_await sendAll(base::now() + RepeatPause);
  co_await checkEnd();
  load_report Report = reportOf(Plan, std::move(Records));
  Report.Violations = Violations;
  Report.Unchecked = Unchecked;
  co_return Report;
}

} // namespace redwinggw::load
