#include "recorder.hpp"
#include "scenarios.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace redwinggw::load {
namespace {

namespace asio = boost::asio;

constexpr double CalmLoad = 0.7;
constexpr double FloodFactor = 5;
constexpr std::size_t FloodingCustomer = 0;

load_plan planOf(const bench &Bench, double Load) {
  load_plan Plan;
  Plan.Customers = customersOf(Bench.Deployment, Load);
  Plan.Services = Bench.Deployment.Services;
  Plan.Shape = Bench.Deployment.Shape;
  Plan.Duration = Bench.Duration;
  Plan.DeclaredRead = DeclaredReadName;
  Plan.Seed = Bench.Repetition;
  return Plan;
}

/// A key is refused until the sheet is in force at the instance asked.
base::task<void> awaitKeys(bench &Bench) {
  constexpr base::milliseconds Patience{10'000};
  constexpr base::milliseconds Pause{100};
  const base::instant Until = base::now() + Patience;
  caller Caller(Bench.Executor, Bench.Fleet.Callers);
  asio::steady_timer Timer(Bench.Executor);
  boost::json::object Body;
  Body["service"] = Bench.Deployment.Services.front();
  Body["sql"] = "select 1";
  for (std::size_t Instance = 0;
       Instance < Caller.instances() && base::now() < Until;) {
    const caller_answer Answer = co_await Caller.post(
        Instance, "/v1/statement", probeCustomer().Key, Body, Until);
    if (Answer.isDone()) {
      ++Instance;
      continue;
    }
    Timer.expires_after(Pause);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

} // namespace

base::task<bool> prepareFleet(bench &Bench) {
  co_await awaitKeys(Bench);
  load_plan Plan = planOf(Bench, 0);
  driver Driver(Bench.Executor, std::move(Plan), Bench.Fleet.Callers, {});
  co_return co_await Driver.prepare();
}

base::task<void> runCalmAndFlood(bench &Bench) {
  load_plan Calm = planOf(Bench, CalmLoad);
  load_plan Flood = Calm;
  Flood.Customers[FloodingCustomer].Offered =
      FloodFactor * Flood.Customers[FloodingCustomer].Rate;
  driver CalmDriver(Bench.Executor, std::move(Calm), Bench.Fleet.Callers, {});
  const load_report CalmReport = co_await CalmDriver.run();
  recorder CalmRecorder{Bench, "calm", {}};
  CalmRecorder.noteAll(CalmReport);
  driver FloodDriver(Bench.Executor, std::move(Flood), Bench.Fleet.Callers, {});
  const load_report FloodReport = co_await FloodDriver.run();
  recorder FloodRecorder{Bench, "flood", FloodingCustomer};
  FloodRecorder.noteAll(FloodReport);
  FloodRecorder.note("worst p99 with flood over without", "ratio",
                     shareOf(FloodRecorder.WorstP99, CalmRecorder.WorstP99));
  FloodRecorder.note("flooding customer: done of entitled", "share",
                     FloodReport.Customers[FloodingCustomer].goodput());
}

base::task<void> runSkewed(bench &Bench) {
  driver_options Options;
  Options.OneInstance = true;
  load_plan Plan = planOf(Bench, CalmLoad);
  driver Driver(Bench.Executor, std::move(Plan), Bench.Fleet.Callers, Options);
  const load_report Report = co_await Driver.run();
  recorder Recorder{Bench, "one instance a customer", {}};
  Recorder.noteOutcomes(Report);
  Recorder.noteViolations(Report);
  Recorder.noteWorst(Report);
}

} // namespace redwinggw::load
