#include "caller.hpp"
#include "probe.hpp"
#include "process_cost.hpp"
#include "recorder.hpp"
#include "scenarios.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <sstream>

namespace redwinggw::load {
namespace {

namespace asio = boost::asio;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
constexpr double ProbeRate = 400;
constexpr std::size_t ProbeConnections = 4;
constexpr std::size_t BusyConnections = 32;
constexpr double MicrosecondsASecond = 1e6;
constexpr double Megabyte = 1e6;

base::task<void> pause(asio::any_io_executor Executor,
                       base::microseconds Time) {
  asio::steady_timer Timer(Executor, Time);
  co_await Timer.async_wait(Token);
}

probe_options instanceProbe(const scenario_environment &Environment) {
  probe_options Options;
  Options.Address = Environment.Fleet.Callers.front();
  Options.Service = Environment.Deployment.Services.front();
  Options.Key = probeCustomer().Key;
  Options.Read = DeclaredReadName;
  Options.Duration = Environment.Duration / 2;
  return Options;
}

/// Sends to a replica, because the reads through the instance go to one too.
probe_options endpointProbe(const scenario_environment &Environment) {
  probe_options Options;
  Options.Address = Environment.Fleet.Databases.at(1).Address;
  Options.Duration = Environment.Duration / 2;
  return Options;
}

double cpuOf(const scenario_environment &Environment, std::size_t Instance) {
  const auto Cost = costOf(Environment.Fleet.Instances.at(Instance));
  return Cost ? Cost->CpuSeconds : 0;
}

void noteFailures(recorder &Recorder, const probe_report &Report) {
  Recorder.note("probe requests failed", "requests",
                static_cast<double>(Report.Failed));
}

double medianOf(const probe_report &Report) {
  return static_cast<double>(quantile(Report.Latency, 0.5).count());
}

double p99Of(const probe_report &Report) {
  return static_cast<double>(quantile(Report.Latency, 0.99).count());
}

base::task<void> compareLatency(scenario_environment &Environment,
                                recorder &Recorder) {
  probe_options DirectOptions = endpointProbe(Environment);
  probe_options ProxiedOptions = instanceProbe(Environment);
  for (probe_options *Options : {&DirectOptions, &ProxiedOptions}) {
    Options->Rate = ProbeRate;
    Options->Connections = ProbeConnections;
  }
  const probe_report Direct =
      co_await probe(Environment.Executor, DirectOptions);
  const probe_report Proxied =
      co_await probe(Environment.Executor, ProxiedOptions);
  noteFailures(Recorder, Direct);
  noteFailures(Recorder, Proxied);
  Recorder.note("straight p50", "us", medianOf(Direct));
  Recorder.note("straight p99", "us", p99Of(Direct));
  Recorder.note("added p50", "us", medianOf(Proxied) - medianOf(Direct));
  Recorder.note("added p99", "us", p99Of(Proxied) - p99Of(Direct));
}

base::task<void> compareThroughput(scenario_environment &Environment,
                                   recorder &Recorder) {
  probe_options DirectOptions = endpointProbe(Environment);
  DirectOptions.Connections = Environment.Deployment.Slots;
  probe_options ProxiedOptions = instanceProbe(Environment);
  ProxiedOptions.Connections = BusyConnections;
  const probe_report Direct =
      co_await probe(Environment.Executor, DirectOptions);
  double Before = 0;
  ProxiedOptions.OnStart = [&Before, &Environment] {
    Before = cpuOf(Environment, 0);
  };
  const probe_report Proxied =
      co_await probe(Environment.Executor, ProxiedOptions);
  const double Cpu = cpuOf(Environment, 0) - Before;
  noteFailures(Recorder, Direct);
  noteFailures(Recorder, Proxied);
  const auto Done = static_cast<double>(Proxied.Done);
  Recorder.note("straight, statements a second", "1/s", Direct.perSecond());
  Recorder.note("through one instance, statements a second", "1/s",
                Proxied.perSecond());
  Recorder.note("statements a second a core of the instance", "1/s",
                shareOf(Done, Cpu));
  Recorder.note("instance's CPU a statement", "us",
                shareOf(Cpu * MicrosecondsASecond, Done));
}

/// Sum of all series whose name starts with \p Name in Prometheus text.
double sumOfMetric(const std::string &Text, std::string_view Name) {
  std::istringstream Lines(Text);
  double Sum = 0;
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with(Name))
      Sum += std::stod(Line.substr(Line.rfind(' ')));
  return Sum;
}

/// Resources that one instance has used since its start.
struct running_cost {
  process_cost Process;
  double PeerBytes = 0;
};

base::task<running_cost> costNow(scenario_environment &Environment,
                                 std::size_t Instance) {
  constexpr std::chrono::seconds RequestTimeout{2};
  running_cost Cost;
  Cost.Process =
      costOf(Environment.Fleet.Instances[Instance]).value_or(process_cost{});
  http::request Request;
  Request.Method = "GET";
  Request.Target = "/operators/metrics";
  const base::instant Deadline = base::now() + RequestTimeout;
  const auto Answer = co_await http::exchangeOnce(
      Environment.Executor, Environment.Fleet.Operators.at(Instance), Request,
      Deadline);
  if (Answer)
    Cost.PeerBytes = sumOfMetric(Answer->Body, "redwinggw_peer_bytes_total");
  co_return Cost;
}

} // namespace

base::task<void> runProbes(scenario_environment &Environment) {
  recorder Recorder{Environment, "small reads", {}};
  co_await compareLatency(Environment, Recorder);
  co_await compareThroughput(Environment, Recorder);
}

base::task<void> runConnections(scenario_environment &Environment,
                                std::size_t Connections) {
  constexpr double Rate = 4000;
  recorder Recorder{
      Environment, std::to_string(Connections) + " connections", {}};
  probe_options Options = instanceProbe(Environment);
  Options.Connections = Connections;
  Options.Rate = Rate;
  Options.Duration = Environment.Duration;
  double Before = 0;
  Options.OnStart = [&Before, &Environment] { Before = cpuOf(Environment, 0); };
  const probe_report Report = co_await probe(Environment.Executor, Options);
  const double Cpu = cpuOf(Environment, 0) - Before;
  const auto Cost = costOf(Environment.Fleet.Instances.front());
  noteFailures(Recorder, Report);
  Recorder.note(
      "instance's CPU a statement", "us",
      shareOf(Cpu * MicrosecondsASecond, static_cast<double>(Report.Done)));
  Recorder.note("statements done", "statements",
                static_cast<double>(Report.Done));
  Recorder.note("p50", "us", medianOf(Report));
  if (Cost)
    Recorder.note("instance's memory after", "MB",
                  Cost->MemoryBytes / Megabyte);
}

base::task<void> runCold(scenario_environment &Environment) {
  constexpr std::chrono::seconds IdleTime{3};
  constexpr std::chrono::seconds RequestTimeout{5};
  recorder Recorder{Environment, "after a quiet time", {}};
  co_await pause(Environment.Executor, IdleTime);
  caller Caller(Environment.Executor, Environment.Fleet.Callers);
  const customer_load Customer = customersOf(Environment.Deployment, 0).back();
  boost::json::object Body;
  Body["service"] = Environment.Deployment.Services.front();
  Body["sql"] = "select 1";
  Body["session"] = "none";
  Body["read"] = DeclaredReadName;
  for (std::size_t Index = 0; Index < Caller.instances(); ++Index) {
    const base::instant Start = base::now();
    const caller_answer Answer = co_await Caller.post(
        Index, "/v1/statement", Customer.Key, Body, Start + RequestTimeout);
    Recorder.note(Answer.isDone() ? "first read at an instance"
                                  : "first read refused: " + Answer.Error,
                  "us", static_cast<double>((base::now() - Start).count()));
  }
}

base::task<void> runIdle(scenario_environment &Environment) {
  recorder Recorder{Environment, "idle", {}};
  std::vector<running_cost> Before;
  Before.reserve(Environment.Fleet.Instances.size());
  for (std::size_t Index = 0; Index < Environment.Fleet.Instances.size();
       ++Index)
    Before.push_back(co_await costNow(Environment, Index));
  co_await pause(Environment.Executor, Environment.Duration);
  const double Seconds =
      std::chrono::duration<double>(Environment.Duration).count();
  constexpr double Percent = 100;
  for (std::size_t Index = 0; Index < Before.size(); ++Index) {
    const running_cost After = co_await costNow(Environment, Index);
    const double Cpu =
        After.Process.CpuSeconds - Before[Index].Process.CpuSeconds;
    Recorder.note("CPU an instance", "% of a core", Percent * Cpu / Seconds);
    Recorder.note("memory an instance", "MB",
                  After.Process.MemoryBytes / Megabyte);
    Recorder.note("bytes to and from peers an instance", "B/s",
                  (After.PeerBytes - Before[Index].PeerBytes) / Seconds);
  }
}

} // namespace redwinggw::load
