#include "driver.hpp"

#include "answer_fields.hpp"

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

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds RetryPause{100};
constexpr milliseconds RefusedPause{250};
constexpr milliseconds Grace{1000};
constexpr int CheckTries = 40;

constexpr const char *CreateSql =
    "create table if not exists load_counter(session text primary key, "
    "customer text, n integer)";
constexpr const char *ReadAllSql =
    "select session, customer, n from load_counter where session like ?";

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
    if (!mayTryAnotherInstance(Answer))
      break;
  }
  co_return Answer;
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
  // Counts from the intended start, so that a driver or fleet that falls behind
  // shows as latency instead of as fewer samples (coordinated omission).
  Record.Latency = base::now() - (Start + Arrival.At);
  Records.push_back(std::move(Record));
  Free[{Arrival.Customer, Arrival.Service}].push_back(&Session);
  --Running;
}

base::task<void> driver::sendAll(instant Start) {
  asio::steady_timer Timer(Executor);
  for (const arrival &Arrival : arrivalsOf(Plan)) {
    Timer.expires_at(base::timerPoint(Start + Arrival.At));
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
    addRequestId(Body);
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

/// Compares the counter rows of one customer in one service with the answers
/// that its sessions got; false when the rows could not be read.
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
  co_await sendAll(base::now() + RetryPause);
  co_await checkEnd();
  load_report Report = reportOf(Plan, std::move(Records));
  Report.Violations = Violations;
  Report.Unchecked = Unchecked;
  co_return Report;
}

} // namespace redwinggw::load
