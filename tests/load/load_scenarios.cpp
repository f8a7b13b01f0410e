#include "recorder.hpp"
#include "scenarios.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace redwinggw::load {
namespace {

namespace asio = boost::asio;

constexpr double NormalLoad = 0.7;
constexpr double FloodFactor = 5;
constexpr std::size_t FloodingCustomer = 0;

load_plan planOf(const scenario_environment &Environment, double Load) {
  load_plan Plan;
  Plan.Customers = customersOf(Environment.Deployment, Load);
  Plan.Services = Environment.Deployment.Services;
  Plan.Shape = Environment.Deployment.Shape;
  Plan.Duration = Environment.Duration;
  Plan.DeclaredRead = DeclaredReadName;
  Plan.Seed = Environment.Repetition;
  return Plan;
}

/// Waits until each instance accepts a key, at most WaitLimit: an instance
/// refuses keys until the sheet is in force there.
base::task<void> awaitKeys(scenario_environment &Environment) {
  constexpr base::milliseconds WaitLimit{10'000};
  constexpr base::milliseconds Pause{100};
  const base::instant Until = base::now() + WaitLimit;
  caller Caller(Environment.Executor, Environment.Fleet.Callers);
  asio::steady_timer Timer(Environment.Executor);
  boost::json::object Body;
  Body["service"] = Environment.Deployment.Services.front();
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

base::task<bool> prepareFleet(scenario_environment &Environment) {
  co_await awaitKeys(Environment);
  load_plan Plan = planOf(Environment, 0);
  driver Driver(Environment.Executor, std::move(Plan),
                Environment.Fleet.Callers, {});
  co_return co_await Driver.prepare();
}

base::task<void> runNormalAndFlood(scenario_environment &Environment) {
  load_plan Normal = planOf(Environment, NormalLoad);
  load_plan Flood = Normal;
  Flood.Customers[FloodingCustomer].Offered =
      FloodFactor * Flood.Customers[FloodingCustomer].Rate;
  driver NormalDriver(Environment.Executor, std::move(Normal),
                      Environment.Fleet.Callers, {});
  const load_report NormalReport = co_await NormalDriver.run();
  recorder NormalRecorder{Environment, "calm", {}};
  NormalRecorder.noteAll(NormalReport);
  driver FloodDriver(Environment.Executor, std::move(Flood),
                     Environment.Fleet.Callers, {});
  const load_report FloodReport = co_await FloodDriver.run();
  recorder FloodRecorder{Environment, "flood", FloodingCustomer};
  FloodRecorder.noteAll(FloodReport);
  FloodRecorder.note("worst p99 with flood over without", "ratio",
                     shareOf(FloodRecorder.WorstP99, NormalRecorder.WorstP99));
  FloodRecorder.note("flooding customer: done of entitled", "share",
                     FloodReport.Customers[FloodingCustomer].goodput());
}

base::task<void> runSkewed(scenario_environment &Environment) {
  driver_options Options;
  Options.OneInstance = true;
  load_plan Plan = planOf(Environment, NormalLoad);
  driver Driver(Environment.Executor, std::move(Plan),
                Environment.Fleet.Callers, Options);
  const load_report Report = co_await Driver.run();
  recorder Recorder{Environment, "one instance a customer", {}};
  Recorder.noteOutcomes(Report);
  Recorder.noteViolations(Report);
  Recorder.noteWorst(Report);
}

} // namespace redwinggw::load
