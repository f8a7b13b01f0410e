#include "failover_load.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace redwinggw::bench {
namespace {

namespace asio = boost::asio;
using base::milliseconds;

constexpr milliseconds WriteEvery{20};
constexpr milliseconds WriteDeadline{1000};
/// Maximum number of connections to one endpoint that an instance uses at once.
constexpr unsigned MaxOpen = 5;
/// Same as the interval of the heartbeats between instances.
constexpr milliseconds ReportEvery{200};

base::task<void> pauseFor(asio::any_io_executor Executor,
                          milliseconds Duration) {
  asio::steady_timer Timer(Executor, Duration);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

base::task<void> refreshReports(load &Load) {
  while (!Load.Stopping) {
    for (auto &Instance : Load.Instances)
      Instance->Report = {base::now(), Instance->Groups->suspicions()};
    co_await pauseFor(Load.Executor, ReportEvery);
  }
}

std::vector<data::peer_report> reportsFor(const load &Load,
                                          const instance &Asking) {
  std::vector<data::peer_report> Reports;
  for (const auto &Other : Load.Instances) {
    if (Other.get() == &Asking)
      continue;
    const auto Age = std::chrono::duration_cast<milliseconds>(base::now() -
                                                              Other->Report.At);
    Reports.push_back({Other->Name, Age, Other->Report.Suspicions});
  }
  return Reports;
}

base::task<bool> connectTo(instance &Instance, endpoint_connection &Connection,
                           const data::member_view &Primary,
                           base::instant Deadline) {
  if (Connection.Client.isOpen())
    co_return true;
  const auto Connected = co_await data::connectEndpoint(
      Connection.Client, Primary.Endpoint.Address, Instance.Name, Deadline);
  if (!Connected)
    Instance.LastFailure = describe(Connected.error());
  co_return Connected.has_value();
}

data::run_request insertOf(std::int64_t Id, base::term_number Term) {
  data::run_request Request;
  Request.Begin = Request.Commit = true;
  Request.ExpectTerm = Term;
  Request.Statements.push_back(
      {"insert into bag(id, grams) values(?, 1)", {Id}});
  return Request;
}

base::task<void> writeOver(load &Load, instance &Instance,
                           endpoint_connection &Connection,
                           base::instant Deadline) {
  const base::instant Begun = base::now();
  const data::group_view &View = Instance.Groups->view(Load.Group);
  const data::member_view Primary =
      *findMember(View, View.Primary.value_or(""));
  const base::term_number Term = View.Term;
  if (!co_await connectTo(Instance, Connection, Primary, Deadline))
    co_return;
  const std::int64_t Id = ++Load.LastId;
  const data::run_request Request = insertOf(Id, Term);
  const auto Ran =
      co_await data::run(Connection.Client, Request, Instance.Name, Deadline);
  Instance.Groups->noteTraffic(Load.Group, Primary.Endpoint.Name,
                               Ran.Answer || Ran.Failed.State, Begun);
  if (!Ran.Answer) {
    Instance.LastFailure = describe(Ran.Failed.Failure);
    co_return;
  }
  const auto Confirmed = co_await Instance.Groups->confirm(
      Load.Group, Term, Ran.Answer->Position, Deadline,
      data::confirm_kind::Replicated);
  if (Confirmed)
    Load.Writes.push_back({Id, Term, base::now()});
  else
    Instance.LastFailure = describe(Confirmed.error());
}

/// An idle connection to \p Endpoint, or one still to be opened. Idle
/// connections to other endpoints are closed: they would use up a connection
/// limit that all instances share.
endpoint_connection acquireConnection(load &Load, instance &Instance,
                                      const base::endpoint_name &Endpoint) {
  std::erase_if(Instance.Idle, [&](const endpoint_connection &Connection) {
    return Connection.Endpoint != Endpoint;
  });
  if (Instance.Idle.empty())
    return {http::client(Load.Executor), Endpoint};
  endpoint_connection Connection = std::move(Instance.Idle.back());
  Instance.Idle.pop_back();
  return Connection;
}

/// Sends one write and waits until it is confirmed or fails.
base::task<void> writeOnce(load &Load, instance &Instance) {
  const base::instant Deadline = base::now() + WriteDeadline;
  const auto Ready =
      co_await Instance.Groups->awaitPrimary(Load.Group, Deadline);
  const base::endpoint_name Primary =
      Instance.Groups->view(Load.Group).Primary.value_or("");
  if (!Ready || Instance.Open[Primary] >= MaxOpen)
    co_return;
  endpoint_connection Connection = acquireConnection(Load, Instance, Primary);
  ++Instance.Open[Primary];
  co_await writeOver(Load, Instance, Connection, Deadline);
  --Instance.Open[Primary];
  if (Connection.Client.isOpen())
    Instance.Idle.push_back(std::move(Connection));
}

/// Starts writes at a fixed rate, also while earlier ones wait (open loop).
base::task<void> issueWrites(load &Load, instance &Instance) {
  while (!Load.Stopping) {
    asio::co_spawn(Load.Executor, writeOnce(Load, Instance), asio::detached);
    co_await pauseFor(Load.Executor, WriteEvery);
  }
}

} // namespace

void startLoad(load &Load, std::size_t Count, http::address Platform,
               const control::configuration &Configuration) {
  for (std::size_t I = 1; I <= Count; ++I) {
    auto Instance = std::make_unique<instance>();
    Instance->Name = "i" + std::to_string(I);
    Instance->Store.Executor = Load.Executor;
    Instance->Store.Address = Platform;
    Instance->Store.Instance = Instance->Name;
    Instance->Groups = std::make_unique<data::group_service>(
        Load.Executor, Instance->Name, Instance->Store);
    Load.Instances.push_back(std::move(Instance));
  }
  for (auto &Instance : Load.Instances) {
    Instance->Groups->setPeers(
        [&Load, &Asking = *Instance] { return reportsFor(Load, Asking); });
    Instance->Groups->apply(Configuration);
    Instance->Groups->start();
    asio::co_spawn(Load.Executor, issueWrites(Load, *Instance), asio::detached);
  }
  asio::co_spawn(Load.Executor, refreshReports(Load), asio::detached);
}

std::optional<base::microseconds> gapAfter(const load &Load,
                                           base::term_number Term) {
  std::optional<base::instant> Last;
  std::optional<base::instant> First;
  for (const acknowledged &Write : Load.Writes) {
    if (Write.Term <= Term)
      Last = Write.At;
    else if (!First)
      First = Write.At;
  }
  if (!Last || !First)
    return std::nullopt;
  return *First - *Last;
}

} // namespace redwinggw::bench
