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

probe_options throughInstance(const bench &Bench) {
  probe_options Options;
  Options.Address = Bench.Fleet.Callers.front();
  Options.Service = Bench.Deployment.Services.front();
  Options.Key = probeCustomer().Key;
  Options.Read = DeclaredReadName;
  Options.Duration = Bench.Duration / 2;
  return Options;
}

/// A replica, as the reads through the instance go to one.
probe_options straight(const bench &Bench) {
  probe_options Options;
  Options.Address = Bench.Fleet.Databases.at(1).Address;
  Options.Duration = Bench.Duration / 2;
  return Options;
}

double cpuOf(const bench &Bench, std::size_t Instance) {
  const auto Cost = costOf(Bench.Fleet.Instances.at(Instance));
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

base::task<void> compareLatency(bench &Bench, recorder &Recorder) {
  probe_options Straight = straight(Bench);
  probe_options Through = throughInstance(Bench);
  for (probe_options *Options : {&Straight, &Through}) {
    Options->Rate = ProbeRate;
    Options->Connections = ProbeConnections;
  }
  const probe_report Direct = co_await probe(Bench.Executor, Straight);
  const probe_report Proxied = co_await probe(Bench.Executor, Through);
  noteFailures(Recorder, Direct);
  noteFailures(Recorder, Proxied);
  Recorder.note("straight p50", "us", medianOf(Direct));
  Recorder.note("straight p99", "us", p99Of(Direct));
  Recorder.note("added p50", "us", medianOf(Proxied) - medianOf(Direct));
  Recorder.note("added p99", "us", p99Of(Proxied) - p99Of(Direct));
}

base::task<void> compareThroughput(bench &Bench, recorder &Recorder) {
  probe_options Straight = straight(Bench);
  Straight.Connections = Bench.Deployment.Slots;
  probe_options Through = throughInstance(Bench);
  Through.Connections = BusyConnections;
  const probe_report Direct = co_await probe(Bench.Executor, Straight);
  double Before = 0;
  Through.OnStart = [&Before, &Bench] { Before = cpuOf(Bench, 0); };
  const probe_report Proxied = co_await probe(Bench.Executor, Through);
  const double Cpu = cpuOf(Bench, 0) - Before;
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

/// Sum over the series of \p Name in Prometheus text.
double sumOfMetric(const std::string &Text, std::string_view Name) {
  std::istringstream Lines(Text);
  double Sum = 0;
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with(Name))
      Sum += std::stod(Line.substr(Line.rfind(' ')));
  return Sum;
}

/// What one instance has cost up to now.
struct running_cost {
  process_cost Process;
  double PeerBytes = 0;
};

base::task<running_cost> costNow(bench &Bench, std::size_t Instance) {
  constexpr std::chrono::seconds Patience{2};
  running_cost Cost;
  Cost.Process =
      costOf(Bench.Fleet.Instances[Instance]).value_or(process_cost{});
  http::request Request;
  Request.Method = "GET";
  Request.Target = "/operators/metrics";
  const base::instant Deadline = base::now() + Patience;
  const auto Answer = co_await http::exchangeOnce(
      Bench.Executor, Bench.Fleet.Operators.at(Instance), Request, Deadline);
  if (Answer)
    Cost.PeerBytes = sumOfMetric(Answer->Body, "redwinggw_peer_bytes_total");
  co_return Cost;
}

} // namespace

base::task<void> runProbes(bench &Bench) {
  recorder Recorder{Bench, "small reads", {}};
  co_await compareLatency(Bench, Recorder);
  co_await compareThroughput(Bench, Recorder);
}

base::task<void> runConnections(bench &Bench, std::size_t Connections) {
  constexpr double Rate = 4000;
  recorder Recorder{Bench, std::to_string(Connections) + " connections", {}};
  probe_options Options = throughInstance(Bench);
  Options.Connections = Connections;
  Options.Rate = Rate;
  Options.Duration = Bench.Duration;
  double Before = 0;
  Options.OnStart = [&Before, &Bench] { Before = cpuOf(Bench, 0); };
  const probe_report Report = co_await probe(Bench.Executor, Options);
  const double Cpu = cpuOf(Bench, 0) - Before;
  const auto Cost = costOf(Bench.Fleet.Instances.front());
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

base::task<void> runCold(bench &Bench) {
  constexpr std::chrono::seconds Quiet{3};
  constexpr std::chrono::seconds Patience{5};
  recorder Recorder{Bench, "after a quiet time", {}};
  co_await pause(Bench.Executor, Quiet);
  caller Caller(Bench.Executor, Bench.Fleet.Callers);
  const customer_load Customer = customersOf(Bench.Deployment, 0).back();
  boost::json::object Body;
  Body["service"] = Bench.Deployment.Services.front();
  Body["sql"] = "select 1";
  Body["session"] = "none";
  Body["read"] = DeclaredReadName;
  for (std::size_t Place = 0; Place < Caller.instances(); ++Place) {
    const base::instant Start = base::now();
    const caller_answer Answer = co_await Caller.post(
        Place, "/v1/statement", Customer.Key, Body, Start + Patience);
    Recorder.note(Answer.isDone() ? "first read at an instance"
                                  : "first read refused: " + Answer.Error,
                  "us", static_cast<double>((base::now() - Start).count()));
  }
}

base::task<void> runIdle(bench &Bench) {
  recorder Recorder{Bench, "idle", {}};
  std::vector<running_cost> Before;
  Before.reserve(Bench.Fleet.Instances.size());
  for (std::size_t Place = 0; Place < Bench.Fleet.Instances.size(); ++Place)
    Before.push_back(co_await costNow(Bench, Place));
  co_await pause(Bench.Executor, Bench.Duration);
  const double Seconds = std::chrono::duration<double>(Bench.Duration).count();
  constexpr double Percent = 100;
  for (std::size_t Place = 0; Place < Before.size(); ++Place) {
    const running_cost After = co_await costNow(Bench, Place);
    const double Cpu =
        After.Process.CpuSeconds - Before[Place].Process.CpuSeconds;
    Recorder.note("CPU an instance", "% of a core", Percent * Cpu / Seconds);
    Recorder.note("memory an instance", "MB",
                  After.Process.MemoryBytes / Megabyte);
    Recorder.note("bytes to and from peers an instance", "B/s",
                  (After.PeerBytes - Before[Place].PeerBytes) / Seconds);
  }
}

} // namespace redwinggw::load
