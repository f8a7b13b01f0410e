#include "recorder.hpp"
#include "scenarios.hpp"

#include "redwinggw/base/enum_table.hpp"
#include "redwinggw/data/endpoint.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <array>

namespace redwinggw::load {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using base::milliseconds;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
constexpr double FailoverLoad = 0.5;
constexpr double FailoverWrites = 0.6;
/// Delay between the faults of two services, so that they do not coincide.
constexpr milliseconds Stagger{300};
constexpr milliseconds RequestTimeout{2000};
constexpr const char *Name = "measure";

constexpr std::array FaultNames = std::to_array<base::enum_name<fault_kind>>({
    {fault_kind::Pause, "pause"},
    {fault_kind::Cut, "cut"},
    {fault_kind::Kill, "kill"},
});

base::task<void> pause(asio::any_io_executor Executor, milliseconds Time) {
  asio::steady_timer Timer(Executor, Time);
  co_await Timer.async_wait(Token);
}

base::task<std::optional<data::endpoint_state>>
stateOf(asio::any_io_executor Executor, http::address Address) {
  constexpr milliseconds StatusTimeout{300};
  const base::instant Deadline = base::now() + StatusTimeout;
  http::client Client(Executor);
  if (!co_await Client.connect(Address, Deadline))
    co_return std::nullopt;
  const data::status_request Ask;
  const auto State = co_await data::status(Client, Ask, Name, Deadline);
  if (!State)
    co_return std::nullopt;
  co_return *State;
}

/// The primary of the highest term among the databases of \p Service.
base::task<std::optional<database_endpoint>>
primaryOf(scenario_environment &Environment, std::string Service) {
  std::optional<database_endpoint> Primary;
  base::term_number Term = 0;
  for (const database_endpoint &Database : Environment.Fleet.Databases) {
    if (Database.Service != Service)
      continue;
    const auto State = co_await stateOf(Environment.Executor, Database.Address);
    if (!State || State->Role != data::endpoint_role::Primary ||
        State->Term < Term)
      continue;
    Primary = Database;
    Term = State->Term;
  }
  co_return Primary;
}

base::task<void> setFault(scenario_environment &Environment,
                          database_endpoint Database, std::string Kind) {
  json::object Body{{"kind", Kind}, {"peer", "all"}};
  http::request Request;
  Request.Target = "/admin/fault";
  Request.Body = json::serialize(Body);
  const base::instant Deadline = base::now() + RequestTimeout;
  const auto Answer = co_await http::exchangeOnce(
      Environment.Executor, Database.Address, Request, Deadline);
  if (!Answer)
    add(Environment.Figures,
        {Environment.Deployment.Name, "faults", "orders not taken",
         Environment.Policy},
        "orders", 1);
}

base::task<void> injectFault(scenario_environment &Environment,
                             database_endpoint Database, fault_kind Kind) {
  if (Kind == fault_kind::Kill) {
    Environment.Fleet.Kill(Database.Name);
    co_return;
  }
  co_await setFault(Environment, Database, std::string(faultName(Kind)));
}

/// Injects the fault into the primary of each service, one after the other,
/// starting after a third of the run; adds these databases to \p Faulted.
base::task<void> injectFaults(scenario_environment &Environment,
                              fault_kind Kind,
                              std::vector<database_endpoint> &Faulted) {
  constexpr int Third = 3;
  co_await pause(Environment.Executor, std::chrono::duration_cast<milliseconds>(
                                           Environment.Duration / Third));
  for (const std::string &Service : Environment.Deployment.Services) {
    const auto Primary = co_await primaryOf(Environment, Service);
    if (!Primary)
      continue;
    Faulted.push_back(*Primary);
    co_await injectFault(Environment, *Primary, Kind);
    co_await pause(Environment.Executor, Stagger);
  }
}

load_plan planOf(const scenario_environment &Environment) {
  load_plan Plan;
  Plan.Customers = customersOf(Environment.Deployment, FailoverLoad);
  Plan.Services = Environment.Deployment.Services;
  Plan.Duration = Environment.Duration;
  Plan.WriteShare = FailoverWrites;
  Plan.DeclaredRead = DeclaredReadName;
  Plan.Seed = Environment.Repetition;
  return Plan;
}

double secondsOf(base::microseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

std::string_view faultName(fault_kind Kind) {
  return base::nameOf(FaultNames, Kind);
}

base::task<void> runFailover(scenario_environment &Environment,
                             fault_kind Kind) {
  // The healed databases must be replicas again before the next fault.
  constexpr milliseconds Recovery{1500};
  driver Driver(Environment.Executor, planOf(Environment),
                Environment.Fleet.Callers, {});
  std::vector<database_endpoint> Faulted;
  asio::co_spawn(Environment.Executor, injectFaults(Environment, Kind, Faulted),
                 asio::detached);
  const load_report Report = co_await Driver.run();
  recorder Recorder{
      Environment, "failover by " + std::string(faultName(Kind)), {}};
  for (std::size_t Index = 0; Index < Faulted.size(); ++Index)
    Recorder.note("write gap", "s", secondsOf(Report.WriteGaps.at(Index)));
  Recorder.note("primaries struck", "primaries",
                static_cast<double>(Faulted.size()));
  Recorder.noteOutcomes(Report);
  Recorder.noteViolations(Report);
  if (Kind == fault_kind::Kill)
    co_return;
  for (const database_endpoint &Database : Faulted)
    co_await setFault(Environment, Database, "none");
  co_await pause(Environment.Executor, Recovery);
}

} // namespace redwinggw::load
