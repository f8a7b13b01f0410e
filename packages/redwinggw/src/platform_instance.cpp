#include "platform_connections.hpp"
#include "platform_instance_state.hpp"
#include "platform_loops.hpp"
#include "platform_primaries.hpp"
#include "platform_rates.hpp"
#include "platform_readiness.hpp"
#include "platform_registration.hpp"

#include "platform/database_link.hpp"

#include "redwinggw/base/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace redwinggw {
namespace {

namespace asio = boost::asio;
using base::log_level;
using base::log_part;
using base::milliseconds;

constexpr milliseconds HousekeepingInterval{200};
/// Longer than any idle connection is kept, and than what a pool has learned
/// about its endpoint is of use.
constexpr milliseconds ReleasePoolsAfter{30'000};
/// Longer than it takes until reads of the store replace the contact with a
/// lost majority.
constexpr milliseconds CutOffAfter{800};

void noteLifeState(kernel::life_state State) {
  base::log(log_level::Info, log_part::Main,
            "Instance is " + std::string(kernel::lifeStateName(State)) + ".");
}

base::task<http::response>
answerReadiness(const platform_instance_state &State) {
  http::response Response;
  constexpr unsigned Unavailable = 503;
  if (!isReady(State))
    Response.Status = Unavailable;
  Response.ContentType = "text/plain";
  Response.Body = isReady(State) ? "ready\n" : "not ready\n";
  co_return Response;
}

void collectConnections(base::metrics &Metrics, const std::string &Name,
                        const session::endpoint_pool &Pool) {
  using base::metric;
  for (std::size_t Index = 0; Index < session::Evictions; ++Index) {
    const auto Reason = static_cast<session::eviction>(Index);
    counterOf(Metrics, metric::EndpointEvictionsTotal,
              {Name, std::string(evictionName(Reason))})
        .Value = static_cast<double>(Pool.evictions(Reason));
  }
  for (const auto &[Customer, Use] : Pool.plan().Customers) {
    set(gaugeOf(Metrics, metric::CustomerConnections, {Name, Customer, "idle"}),
        static_cast<double>(Use.Idle));
    set(gaugeOf(Metrics, metric::CustomerConnections, {Name, Customer, "busy"}),
        static_cast<double>(Use.InUse));
  }
}

void collectPlatformMetrics(platform_instance_state &State) {
  using base::metric;
  base::metrics &Metrics = State.Core.Metrics;
  observeProcess(Metrics);
  // Customers without connections are not listed.
  Metrics.Gauges[metric::CustomerConnections].clear();
  for (const auto &[Name, Pool] : State.Endpoints.Pools) {
    collectConnections(Metrics, Name, *Pool);
    const auto Idle = static_cast<double>(Pool->idle());
    const auto Open = static_cast<double>(Pool->open());
    set(gaugeOf(Metrics, metric::EndpointConnections, {Name, "idle"}), Idle);
    set(gaugeOf(Metrics, metric::EndpointConnections, {Name, "busy"}),
        Open - Idle);
    counterOf(Metrics, metric::EndpointConnectsTotal, {Name, "tried"}).Value =
        static_cast<double>(Pool->connects());
  }
  set(gaugeOf(Metrics, metric::ConfigurationVersion),
      static_cast<double>(State.Routes ? State.Routes->Version : 0));
  set(gaugeOf(Metrics, metric::CallerConnections),
      static_cast<double>(State.Callers.open()));
  counterOf(Metrics, metric::StoreReadsTotal, {"rows"}).Value =
      static_cast<double>(State.Store.Reads);
  counterOf(Metrics, metric::StoreWritesTotal, {"rows"}).Value =
      static_cast<double>(State.Store.Writes);
  if (!State.Peers)
    return;
  set(gaugeOf(Metrics, metric::Peers, {"listed"}),
      static_cast<double>(State.Peers->view().Members.size()));
  observeTraffic(Metrics, State.Peers->traffic());
}

base::task<http::response> answerMetrics(platform_instance_state &State) {
  http::response Response;
  collectPlatformMetrics(State);
  Response.ContentType = "text/plain";
  Response.Body = toPrometheus(State.Core.Metrics);
  co_return Response;
}

/// \name Steps of a graceful stop, as times since the signal
/// The platform kills a process six seconds after the first signal.
/// @{
/// By then the balancer has checked readiness twice and sends no callers any
/// more. Sessions are not closed sooner, since their callers would be sent back
/// here.
constexpr milliseconds BalancerNoticeTime{2100};
/// Open transactions are rolled back after this time, half of the six seconds.
constexpr milliseconds TransactionDeadline{3100};
/// Running statements are answered until this time.
constexpr milliseconds AnswerDeadline{5200};
constexpr milliseconds DrainStepInterval{100};
/// @}

/// Closes idle sessions a few at a time, so that their callers do not all
/// connect to the other instances at once.
void closeSomeIdle(platform_instance_state &State, base::microseconds Elapsed) {
  constexpr std::size_t Rounds = 6;
  const bool Late = Elapsed >= TransactionDeadline;
  const std::size_t Open = State.Callers.open();
  State.Callers.closeIdle(Late ? Open : Open / Rounds + 1);
}

base::task<void> leaveFleet(platform_instance_state &State) {
  if (!State.Peers)
    co_return;
  co_await removeInstance(State);
  State.Peers->stop();
}

base::task<void> drainPlatformInstance(platform_instance_ptr State) {
  const base::instant Begun = base::now();
  if (State->Peers)
    State->Peers->drain();
  while (base::now() - Begun < BalancerNoticeTime)
    co_await pauseWithJitter(*State, DrainStepInterval);
  State->Callers.stopAccepting();
  State->Core.Draining = true;
  // The callers connect to other instances from now on, which need this
  // instance's shares of the rates.
  yieldRates(State->Shares);
  const auto IsBusy = [&State] {
    const bool Forwarding =
        State->ForwardingServer && State->ForwardingServer->pinnedLinks() > 0;
    return State->Callers.open() > 0 || Forwarding;
  };
  while (IsBusy() && base::now() - Begun < AnswerDeadline) {
    const auto Elapsed = base::now() - Begun;
    if (Elapsed >= TransactionDeadline)
      State->Callers.endTransactions();
    closeSomeIdle(*State, Elapsed);
    co_await pauseWithJitter(*State, DrainStepInterval);
  }
  co_await leaveFleet(*State);
  if (State->ForwardingServer)
    State->ForwardingServer->stop();
  State->Stopped = true;
  State->Life.process(kernel::life_event::Drained);
  State->Context.stop();
}

} // namespace

platform_instance_state::platform_instance_state(asio::io_context &Context,
                                                 redwinggw::settings Given)
    : Context(Context), Settings(std::move(Given)),
      Store{Context.get_executor(), Settings.Platform, Settings.Name,
            Settings.PlatformTimeout},
      StoreTables(Context.get_executor(), Settings.Platform),
      Endpoints(Context.get_executor(), Settings.Zone, {}), Core(Endpoints),
      Callers(Context.get_executor(), Core),
      Readiness(Context.get_executor(), {},
                [this](http::connection &, http::request) {
                  return answerReadiness(*this);
                }),
      Metrics(Context.get_executor(), {},
              [this](http::connection &, http::request) {
                return answerMetrics(*this);
              }),
      ColdHolder(this->Settings.Name + " " + base::randomId()),
      TokenWaits(Context.get_executor(), Endpoints.Watch), Life(noteLifeState),
      Random(std::random_device()()) {
  Endpoints.Factory =
      platform::databaseLinks(Context.get_executor(), Endpoints.Watch);
  Endpoints.ConfigureNew = [this](session::endpoint_pool &Pool) {
    configureNewPool(*this, Pool);
  };
  platform::useRows(Store, Settings.Platform);
  Core.Limits.StandbyOwners = Settings.Owners == owner_policy::Capacity;
  Reserves.Limits.Bound = Settings.RateBound;
  Reserves.Limits.Fraction = Settings.BucketReserve;
  Core.Ports = sessionCorePorts(*this);
  Core.Regions.ByZone = this->Settings.Zones;
}

bool isCutOff(const platform_instance_state &State) {
  return State.OutOfContactSince &&
         base::now() - *State.OutOfContactSince > CutOffAfter;
}

bool isReady(const platform_instance_state &State) {
  return State.Listening && !State.Draining && !isCutOff(State);
}

session::core_ports sessionCorePorts(platform_instance_state &State) {
  session::core_ports Ports;
  Ports.Routes = [&State] { return State.Routes; };
  Ports.Admit = [&State](base::customer_name Customer, unsigned Priority,
                         base::microseconds Patience) {
    return admitOperation(State, std::move(Customer), Priority, Patience);
  };
  Ports.Settle = [&State](std::string_view Customer, bool Ran) {
    settleDemandToken(State.Shares, Customer, Ran, base::now());
  };
  Ports.PrimaryLease = [&State](std::string_view Service) {
    return primaryLeaseFor(State, Service);
  };
  Ports.StillHolds = [&State](const session::primary_lease &PrimaryLease) {
    return primaryLeaseFor(State, PrimaryLease.Service) == PrimaryLease;
  };
  Ports.PrimaryExpected = [&State](std::string_view Service) {
    return primaryExpected(State, Service);
  };
  Ports.Forward = [&State](const session::endpoint_entry &Entry,
                           std::string_view Customer, unsigned Priority) {
    return forwardingLinkTo(State, Entry, Customer, Priority);
  };
  // Does nothing: monitorPrimaries probes the primaries whose pools have
  // recorded failures.
  Ports.NoteEndpointProblem = [](std::string_view) {};
  return Ports;
}

namespace {

/// Records since when the instance may not use primaries, and closes idle
/// sessions once it is cut off: it can serve little then, and the balancer
/// sends the callers to instances that are ready.
void closeSessionsIfCutOff(platform_instance_state &State) {
  if (mayTrustClaims(State)) {
    State.OutOfContactSince.reset();
    return;
  }
  if (!State.OutOfContactSince)
    State.OutOfContactSince = base::now();
  constexpr std::size_t ClosedAtOnce = 20;
  if (isCutOff(State))
    State.Callers.closeIdle(ClosedAtOnce);
}

/// Opens the callers' address once the configuration, the endpoint list and the
/// rows of the fleet have been read.
void listenForCallers(platform_instance_state &State) {
  if (State.Listening || !State.Routes || !State.EndpointListAt ||
      !State.FleetReadAt)
    return;
  State.Listening = true;
  if (const auto Listening = State.Callers.listen(State.Settings.Callers);
      !Listening)
    base::log(log_level::Error, log_part::Callers, describe(Listening.error()));
}

} // namespace

base::task<void> runPlatformHousekeeping(platform_instance_ptr State) {
  while (true) {
    base::flushLog();
    closeSessionsIfCutOff(*State);
    listenForCallers(*State);
    divideConnections(*State);
    State->Callers.endAbandoned();
    for (auto &[Name, Pool] : State->Endpoints.Pools)
      Pool->closeUnused(base::now());
    releaseUnusedPools(State->Endpoints, ReleasePoolsAfter, base::now());
    co_await pauseWithJitter(*State, HousekeepingInterval);
  }
}

platform_instance::platform_instance(asio::io_context &Context,
                                     settings Settings)
    : State(std::make_shared<platform_instance_state>(Context,
                                                      std::move(Settings))) {}

platform_instance::~platform_instance() = default;

base::result<void> platform_instance::start() {
  if (const auto Listening = State->Readiness.listen(State->Settings.Readiness);
      !Listening)
    return Listening.error();
  if (const auto Listening = State->Metrics.listen(State->Settings.Metrics);
      !Listening)
    return Listening.error();
  const auto Executor = State->Context.get_executor();
  asio::co_spawn(Executor, joinFleet(State), asio::detached);
  asio::co_spawn(Executor, followConfiguration(State), asio::detached);
  asio::co_spawn(Executor, followEndpoints(State), asio::detached);
  asio::co_spawn(Executor, followColdEndpoints(State), asio::detached);
  asio::co_spawn(Executor, monitorPrimaries(State), asio::detached);
  asio::co_spawn(Executor, runPlatformHousekeeping(State), asio::detached);
  State->Life.process(kernel::life_event::Ready);
  return {};
}

void platform_instance::stop() {
  if (State->Draining)
    return;
  State->Draining = true;
  State->Life.process(kernel::life_event::Stop);
  asio::co_spawn(State->Context, drainPlatformInstance(State), asio::detached);
}

void platform_instance::reload(settings Settings) {
  // Addresses and names are in use and change with the next start only.
  base::setLogLevel(Settings.LogLevel);
  State->Settings.LogLevel = Settings.LogLevel;
  base::log(log_level::Info, log_part::Main, "The settings were read again.");
}

} // namespace redwinggw
