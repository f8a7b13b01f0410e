#include "instance_state.hpp"

#include "redwinggw/base/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace redwinggw {
namespace {

namespace asio = boost::asio;
using base::event_kind;
using base::log_level;
using base::log_part;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
constexpr base::milliseconds HousekeepingInterval{100};
constexpr base::milliseconds RecordCleanupInterval{10 * 60 * 1000};
/// Time in which the balancer and callers with open connections learn that the
/// instance leaves.
constexpr base::milliseconds MinDrainTime{500};

base::task<void> pause(asio::any_io_executor Executor,
                       base::milliseconds Time) {
  asio::steady_timer Timer(Executor, Time);
  co_await Timer.async_wait(Token);
}

/// Divides the endpoints' connections anew when the number of instances on the
/// platform's list changes: with more instances each opens fewer.
void shareConnections(instance_state &State) {
  const std::size_t Instances = instanceCount(State.Peers.view());
  if (Instances == State.SharedAmong)
    return;
  State.SharedAmong = Instances;
  data::applyConfiguration(State.Statements, State.Configuration.inForce(),
                           Instances);
}

/// One round of periodic work: freshness of the configuration, abandoned
/// transactions, division of connections, suspicions.
void housekeep(instance_state &State) {
  judgeFreshness(State);
  data::closeAbandoned(State.Statements, State.Transactions, base::now());
  shareConnections(State);
  // A suspicion begins when time passes without an answer, not with an event.
  announceSuspicions(State);
}

base::task<void> runHousekeeping(std::shared_ptr<instance_state> State) {
  while (State->Life.state() != kernel::life_state::Stopped) {
    housekeep(*State);
    co_await pause(State->Context.get_executor(), HousekeepingInterval);
  }
}

base::task<void>
deleteRecordsPeriodically(std::shared_ptr<instance_state> State) {
  // The first pause is random, so that instances that were started together do
  // not delete at the same time.
  std::uniform_int_distribution<std::int64_t> Spread(
      0, RecordCleanupInterval.count());
  base::milliseconds Pause(Spread(State->Statements.Random));
  while (State->Life.state() == kernel::life_state::Serving) {
    co_await pause(State->Context.get_executor(), Pause);
    Pause = RecordCleanupInterval;
    if (State->Freshness != control::config_freshness::Isolated)
      co_await data::deleteExpiredRecords(State->Statements);
  }
}

bool hasWork(const instance_state &State) {
  return State.Callers.Server.busyConnections() != 0 ||
         !State.Transactions.Open.empty();
}

bool mayStop(const instance_state &State, base::microseconds Waited) {
  if (Waited < MinDrainTime)
    return false;
  const bool Idle = !hasWork(State) && State.Shares.status().Leases == 0;
  return Idle || Waited >= State.Settings.DrainTime;
}

/// Graceful shutdown: announces draining to the balancer and the peers and
/// accepts no new work; waits for running work while leases of rates move to
/// the next share allocators; then closes all services. The peers' socket
/// closes last, since requests that wait for tokens and the hand-over of the
/// leases need it.
base::task<void> drain(std::shared_ptr<instance_state> State) {
  const base::instant Begun = base::now();
  State->Statements.Draining = true;
  State->Peers.drain();
  State->Groups.drain();
  State->Shares.drain();
  const auto Executor = State->Context.get_executor();
  while (!mayStop(*State, base::now() - Begun))
    co_await pause(Executor, HousekeepingInterval);
  kernel::drainAll(State->Registry);
  State->Life.process(kernel::life_event::Drained);
}

void noteLifeState(instance_state &State, kernel::life_state Entered) {
  const std::string Name(kernel::lifeStateName(Entered));
  base::log(log_level::Info, log_part::Main, "Instance is " + Name + ".");
  recordEvent(State, event_kind::DrainStep, Name);
}

} // namespace

instance_state::instance_state(asio::io_context &Context,
                               redwinggw::settings Given,
                               redwinggw::secrets Known)
    : Context(Context), Settings(std::move(Given)), Secrets(std::move(Known)),
      Store{Context.get_executor(), Settings.Platform, Settings.Name,
            Settings.PlatformTimeout},
      Timeline(Settings.Name),
      Peers(Context.get_executor(),
            {Settings.Name, Settings.Zone,
             static_cast<std::uint64_t>(base::wallMilliseconds())},
            Settings.Peers, Secrets.FleetKey, Store),
      Configuration(Context.get_executor(), Store, {Secrets.FleetKey}),
      Shares(Context.get_executor(), Peers, Store,
             {Settings.Rate == rate_policy::Static
                  ? control::share_policy::Static
                  : control::share_policy::Shared}),
      Groups(Context.get_executor(), Settings.Name, Store),
      Statements{Context.get_executor()},
      Callers(Context.get_executor(), Statements, Transactions),
      Operators(Context.get_executor(), Secrets.OperatorKey),
      Life([this](kernel::life_state State) { noteLifeState(*this, State); }) {
  Statements.Settings.Instance = Settings.Name;
  Statements.Settings.Zone = Settings.Zone;
  Statements.Settings.FleetKey = Secrets.FleetKey;
  Statements.Settings.Routing.Policy = Settings.Reads;
  Statements.Settings.Routing.ReplicaWait = Settings.ReplicaWait;
  Statements.Settings.Queue.Policy = Settings.Queue;
  Statements.Settings.TryTimeout = Settings.TryTimeout;
}

struct instance::state : instance_state {
  using instance_state::instance_state;
};

instance::instance(asio::io_context &Context, settings Settings,
                   secrets Secrets)
    : State(std::make_shared<state>(Context, std::move(Settings),
                                    std::move(Secrets))) {}

instance::~instance() = default;

base::result<void> instance::start() {
  connectServices(*State);
  addOperatorPages(*State, [this] { stop(); });
  if (const auto Registered = registerServices(*State); !Registered)
    return Registered;
  try {
    if (const auto Started = kernel::startAll(State->Registry); !Started)
      return Started;
  } catch (const std::system_error &Error) {
    return base::failure(base::errc::BadSettings, Error.what());
  }
  State->Life.process(kernel::life_event::Ready);
  asio::co_spawn(State->Context, runHousekeeping(State), asio::detached);
  asio::co_spawn(State->Context, deleteRecordsPeriodically(State),
                 asio::detached);
  return {};
}

void instance::stop() {
  if (State->Life.state() != kernel::life_state::Serving)
    return;
  State->Life.process(kernel::life_event::Stop);
  asio::co_spawn(State->Context, drain(State), [this](std::exception_ptr) {
    // Ends timers and sockets that remain of services without work.
    State->Context.stop();
  });
}

} // namespace redwinggw
