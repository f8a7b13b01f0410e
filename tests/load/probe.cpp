#include "probe.hpp"

#include "redwinggw/data/endpoint.hpp"
#include "redwinggw/http/client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <cmath>

namespace redwinggw::load {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using base::instant;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds RequestTimeout{5};
constexpr const char *Sql = "select 1, 'x'";
constexpr const char *Name = "probe";
constexpr unsigned StatusOk = 200;

struct probe_state {
  probe_options Options;
  probe_report Report;
  instant Start;
  std::size_t Running = 0;
};

http::request requestOf(const probe_options &Options) {
  json::object Body;
  Body["service"] = Options.Service;
  Body["access"] = "read";
  Body["session"] = "none";
  if (!Options.Read.empty())
    Body["read"] = Options.Read;
  Body["sql"] = Sql;
  http::request Request;
  Request.Target = "/v1/statement";
  Request.Authorization = "Bearer " + Options.Key;
  Request.Body = json::serialize(Body);
  return Request;
}

base::task<bool> open(http::client &Client, const probe_options &Options) {
  const instant Deadline = base::now() + RequestTimeout;
  if (!Options.Service.empty())
    co_return (co_await Client.connect(Options.Address, Deadline)).has_value();
  const auto State =
      co_await data::connectEndpoint(Client, Options.Address, Name, Deadline);
  co_return State.has_value();
}

base::task<bool> exchangeOne(http::client &Client, const probe_options &Options,
                             const http::request &Request) {
  const instant Deadline = base::now() + RequestTimeout;
  if (!Options.Service.empty()) {
    const auto Response = co_await Client.exchange(Request, Deadline);
    co_return Response.has_value() && Response->Status == StatusOk;
  }
  data::run_request Run;
  Run.ReadOnly = true;
  Run.Statements.resize(1);
  Run.Statements.front().Sql = Sql;
  const auto Result = co_await data::run(Client, Run, Name, Deadline);
  co_return Result.Answer.has_value();
}

base::task<void> runConnection(asio::any_io_executor Executor,
                               probe_state &State, std::size_t Number) {
  const probe_options &Options = State.Options;
  http::client Client(Executor);
  const http::request Request = requestOf(Options);
  const instant End = State.Start + Options.Duration;
  const auto Connections = static_cast<double>(Options.Connections);
  const double GapUs = Options.Rate > 0 ? 1e6 * Connections / Options.Rate : 0;
  const double FirstUs = GapUs * static_cast<double>(Number) / Connections;
  asio::steady_timer Timer(Executor);
  for (std::uint64_t Sent = 0;; ++Sent) {
    instant Intended = std::max(base::now(), State.Start);
    if (Options.Rate > 0)
      Intended = State.Start +
                 base::microseconds(
                     std::llround(FirstUs + GapUs * static_cast<double>(Sent)));
    if (Intended >= End)
      break;
    if (!Client.isOpen() && !co_await open(Client, Options)) {
      ++State.Report.Failed;
      break;
    }
    if (base::now() < Intended) {
      Timer.expires_at(base::timerPoint(Intended));
      co_await Timer.async_wait(Token);
    }
    const bool Done = co_await exchangeOne(Client, Options, Request);
    ++(Done ? State.Report.Done : State.Report.Failed);
    if (Done)
      observe(State.Report.Latency, base::now() - Intended);
  }
  --State.Running;
}

} // namespace

double probe_report::perSecond() const {
  const double Seconds = std::chrono::duration<double>(Elapsed).count();
  return Seconds > 0 ? static_cast<double>(Done) / Seconds : 0;
}

base::task<probe_report> probe(asio::any_io_executor Executor,
                               probe_options Options) {
  // Connections open before the start, so that connecting is not measured.
  constexpr base::milliseconds MinConnectTime{200};
  constexpr base::microseconds TimePerConnection{150};
  const base::microseconds ConnectTime =
      MinConnectTime + TimePerConnection * Options.Connections;
  probe_state State;
  State.Options = Options;
  State.Start = base::now() + ConnectTime;
  State.Running = Options.Connections;
  for (std::size_t Number = 0; Number < Options.Connections; ++Number)
    asio::co_spawn(Executor, runConnection(Executor, State, Number),
                   asio::detached);
  asio::steady_timer Timer(Executor);
  Timer.expires_at(base::timerPoint(State.Start));
  co_await Timer.async_wait(Token);
  if (State.Options.OnStart)
    State.Options.OnStart();
  while (State.Running > 0) {
    Timer.expires_after(base::milliseconds(1));
    co_await Timer.async_wait(Token);
  }
  State.Report.Elapsed = base::now() - State.Start;
  co_return State.Report;
}

} // namespace redwinggw::load
