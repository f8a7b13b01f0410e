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
/// The faults of the services do not coincide.
constexpr milliseconds Stagger{300};
constexpr milliseconds Patience{2000};
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
  constexpr milliseconds Short{300};
  const base::instant Deadline = base::now() + Short;
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
base::task<std::optional<database_place>> primaryOf(bench &Bench,
                                                    std::string Service) {
  std::optional<database_place> Primary;
  base::term_number Term = 0;
  for (const database_place &Place : Bench.Fleet.Databases) {
    if (Place.Service != Service)
      continue;
    const auto State = co_await stateOf(Bench.Executor, Place.Address);
    if (!State || State->Role != data::endpoint_role::Primary ||
        State->Term < Term)
      continue;
    Primary = Place;
    Term = State->Term;
  }
  co_return Primary;
}

base::task<void> orderFault(bench &Bench, database_place Place,
                            std::string Kind) {
  json::object Body{{"kind", Kind}, {"peer", "all"}};
  http::request Request;
  Request.Target = "/admin/fault";
  Request.Body = json::serialize(Body);
  const base::instant Deadline = base::now() + Patience;
  const auto Answer = co_await http::exchangeOnce(Bench.Executor, Place.Address,
                                                  Request, Deadline);
  if (!Answer)
    add(Bench.Figures,
        {Bench.Deployment.Name, "faults", "orders not taken", Bench.Policy},
        "orders", 1);
}

base::task<void> strike(bench &Bench, database_place Place, fault_kind Kind) {
  if (Kind == fault_kind::Kill) {
    Bench.Fleet.Kill(Place.Name);
    co_return;
  }
  co_await orderFault(Bench, Place, std::string(faultName(Kind)));
}

/// Strikes the primary of each service in turn, the first after a third of
/// the run; \p Struck gets the databases.
base::task<void> strikeAll(bench &Bench, fault_kind Kind,
                           std::vector<database_place> &Struck) {
  constexpr int Third = 3;
  co_await pause(Bench.Executor, std::chrono::duration_cast<milliseconds>(
                                     Bench.Duration / Third));
  for (const std::string &Service : Bench.Deployment.Services) {
    const auto Primary = co_await primaryOf(Bench, Service);
    if (!Primary)
      continue;
    Struck.push_back(*Primary);
    co_await strike(Bench, *Primary, Kind);
    co_await pause(Bench.Executor, Stagger);
  }
}

load_plan planOf(const bench &Bench) {
  load_plan Plan;
  Plan.Customers = customersOf(Bench.Deployment, FailoverLoad);
  Plan.Services = Bench.Deployment.Services;
  Plan.Duration = Bench.Duration;
  Plan.WriteShare = FailoverWrites;
  Plan.DeclaredRead = DeclaredReadName;
  Plan.Seed = Bench.Repetition;
  return Plan;
}

double secondsOf(base::microseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

std::string_view faultName(fault_kind Kind) {
  return base::nameOf(FaultNames, Kind);
}

base::task<void> runFailover(bench &Bench, fault_kind Kind) {
  // The healed databases have to be replicas again before the next fault.
  constexpr milliseconds Recovery{1500};
  driver Driver(Bench.Executor, planOf(Bench), Bench.Fleet.Callers, {});
  std::vector<database_place> Struck;
  asio::co_spawn(Bench.Executor, strikeAll(Bench, Kind, Struck),
                 asio::detached);
  const load_report Report = co_await Driver.run();
  recorder Recorder{Bench, "failover by " + std::string(faultName(Kind)), {}};
  for (std::size_t Place = 0; Place < Struck.size(); ++Place)
    Recorder.note("write gap", "s", secondsOf(Report.WriteGaps.at(Place)));
  Recorder.note("primaries struck", "primaries",
                static_cast<double>(Struck.size()));
  Recorder.noteOutcomes(Report);
  Recorder.noteViolations(Report);
  if (Kind == fault_kind::Kill)
    co_return;
  for (const database_place &Place : Struck)
    co_await orderFault(Bench, Place, "none");
  co_await pause(Bench.Executor, Recovery);
}

} // namespace redwinggw::load
