#include "redwinggw/control/share_service.hpp"

#include "redwinggw/base/log.hpp"
#include "redwinggw/control/share_node.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <optional>
#include <utility>

namespace redwinggw::control {
namespace {

namespace asio = boost::asio;
using base::errc;
using base::failure;
using base::instant;
using base::microseconds;
using base::milliseconds;
using base::result;

constexpr milliseconds TickInterval{5};

/// A waiting request: its coroutine waits for the timer, which the verdict
/// cancels.
struct waiting_request {
  asio::steady_timer Timer;
  std::optional<share_verdict> Verdict;
};

failure overRate(const base::customer_name &Customer, microseconds Wait) {
  const auto RetryAfter = std::chrono::ceil<milliseconds>(Wait);
  return {errc::OverRate, "customer " + Customer,
          std::max(RetryAfter, milliseconds(1))};
}

} // namespace

struct share_service::state : std::enable_shared_from_this<state> {
  state(asio::any_io_executor Executor, peer_service &Peers,
        storage::store &Store, share_options Options)
      : Executor(Executor), Timer(Executor), Peers(Peers), Store(Store),
        Options(Options) {
    const peer_identity &Self = Peers.view().Self;
    share_settings Settings;
    Settings.Partitions = Options.Partitions;
    Node = makeShareNode(Self.Name, Self.Incarnation, Settings);
  }

  void carryOut(share_actions Actions);
  void settle(const share_verdict &Verdict);
  bool takeStatic(std::string_view Customer, instant Now);
  share_bucket &staticBucket(std::string_view Customer, instant Now);
  void close();

  asio::any_io_executor Executor;
  asio::steady_timer Timer;
  peer_service &Peers;
  storage::store &Store;
  share_options Options;
  share_node Node;
  /// For share_policy::Static: each customer's bucket with an nth of its rate
  /// and burst.
  std::map<base::customer_name, share_bucket, std::less<>> StaticBuckets;
  std::map<std::uint64_t, waiting_request> Waiting;
  std::uint64_t StaticRefused = 0;
  std::uint64_t StaticSpent = 0;
  bool Stopped = false;
};

namespace {

template <typename State>
base::task<void> commitLeases(State Self, storage::commit_request Request) {
  const auto Versions =
      co_await storage::commit(Self->Store, std::move(Request));
  if (Self->Stopped)
    co_return;
  std::optional<std::vector<std::uint64_t>> Answer;
  if (Versions)
    Answer = *Versions;
  if (Versions || kindOf(Versions.error()) == errc::Conflict)
    Self->Peers.noteStoreContact();
  onCommitAnswer(Self->Node, Answer, base::now());
}

template <typename State> base::task<void> readLeases(State Self) {
  const auto Rows = co_await storage::scan(Self->Store, "share/");
  if (Self->Stopped)
    co_return;
  std::optional<std::vector<storage::row>> Answer;
  if (Rows) {
    Answer = *Rows;
    Self->Peers.noteStoreContact();
  }
  onRows(Self->Node, Answer, base::now());
}

template <typename State> base::task<void> tickLoop(State Self) {
  while (!Self->Stopped) {
    Self->carryOut(onShareTick(Self->Node, Self->Peers.view(), base::now()));
    boost::system::error_code Error;
    Self->Timer.expires_after(TickInterval);
    co_await Self->Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Error));
  }
}

} // namespace

void share_service::state::carryOut(share_actions Actions) {
  for (share_send &Send : Actions.Sends)
    Peers.send(Send.To, std::move(Send.Message));
  std::ranges::for_each(Actions.Verdicts,
                        [&](const share_verdict &Verdict) { settle(Verdict); });
  if (Actions.Commit)
    asio::co_spawn(Executor,
                   commitLeases(shared_from_this(), std::move(*Actions.Commit)),
                   asio::detached);
  if (Actions.Read)
    asio::co_spawn(Executor, readLeases(shared_from_this()), asio::detached);
}

void share_service::state::settle(const share_verdict &Verdict) {
  const auto Found = Waiting.find(Verdict.Ticket);
  if (Found == Waiting.end())
    return;
  Found->second.Verdict = Verdict;
  Found->second.Timer.cancel();
}

share_bucket &share_service::state::staticBucket(std::string_view Customer,
                                                 instant Now) {
  const share_plan &Whole = Node.Plans.find(Customer)->second;
  const auto Instances = static_cast<double>(instanceCount(Peers.view()));
  // Ttl 0: what is allocated here is spent here at once.
  const share_plan InstancePlan{Whole.Rate / Instances, Whole.Burst / Instances,
                                microseconds(0)};
  const auto [At, New] = StaticBuckets.try_emplace(std::string(Customer));
  if (New)
    At->second.FilledAt = Now;
  setPlan(At->second, InstancePlan, Now, Node.Settings.Shares);
  return At->second;
}

bool share_service::state::takeStatic(std::string_view Customer, instant Now) {
  const bool Taken = allocateTokens(staticBucket(Customer, Now), 1, Now,
                                    Node.Settings.Shares) >= 1;
  StaticSpent += Taken ? 1 : 0;
  return Taken;
}

void share_service::state::close() {
  Stopped = true;
  Timer.cancel();
  for (auto &[Ticket, Request] : Waiting)
    Request.Timer.cancel();
}

share_service::share_service(asio::any_io_executor Executor,
                             peer_service &Peers, storage::store &Store,
                             share_options Options)
    : State(std::make_shared<state>(Executor, Peers, Store, Options)) {}

share_service::~share_service() { stop(); }

void share_service::start() {
  if (State->Options.Policy == share_policy::Static)
    return;
  State->Peers.onShareMessage(
      [Self = State.get()](const wire::datagram &Datagram,
                           const wire::share_message &Message) {
        Self->carryOut(onShareMessage(Self->Node, Self->Peers.view(),
                                      Datagram.Sender, Message, base::now()));
      });
  asio::co_spawn(State->Executor, tickLoop(State), asio::detached);
  base::log(base::log_level::Info, base::log_part::Shares,
            "Enforcing rates by shares that the allocators grant on request.");
}

void share_service::drain() { State->Node.Draining = true; }

void share_service::stop() {
  if (State->Stopped)
    return;
  State->Peers.onShareMessage({});
  State->close();
}

void share_service::apply(const configuration &Configuration) {
  applyPlans(State->Node, Configuration.Customers, base::now());
  std::erase_if(State->StaticBuckets, [&](const auto &Entry) {
    return !State->Node.Plans.contains(Entry.first);
  });
}

bool share_service::tryTake(std::string_view Customer) {
  const instant Now = base::now();
  if (!State->Node.Plans.contains(Customer))
    return false;
  return State->Options.Policy == share_policy::Static
             ? State->takeStatic(Customer, Now)
             : takeToken(State->Node.Consumer, Customer, Now);
}

namespace {

/// Waits for the verdict on a request. The consumer ends it at its deadline, so
/// the timer itself never fires first.
template <typename State>
base::task<result<void>> awaitToken(State Self, base::customer_name Customer,
                                    instant Deadline) {
  const instant Now = base::now();
  const std::uint64_t Ticket =
      waitForToken(Self->Node.Consumer, Customer, Now, Deadline);
  const auto [At, New] = Self->Waiting.emplace(
      Ticket,
      waiting_request{asio::steady_timer(Self->Executor), std::nullopt});
  Self->carryOut(requestTokens(Self->Node, Self->Peers.view(), Now));
  // This instance may be the allocator itself: then the verdict is already
  // here.
  while (!At->second.Verdict && !Self->Stopped) {
    boost::system::error_code Error;
    At->second.Timer.expires_at(asio::steady_timer::time_point::max());
    co_await At->second.Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Error));
  }
  const std::optional<share_verdict> Verdict = At->second.Verdict;
  Self->Waiting.erase(At);
  if (!Verdict)
    co_return failure(errc::Draining, "customer " + Customer);
  if (!Verdict->Admitted)
    co_return overRate(Customer, Verdict->RetryAfter);
  co_return result<void>();
}

} // namespace

base::task<result<void>> share_service::admit(base::customer_name Customer,
                                              instant Deadline) {
  const auto Self = State;
  if (!Self->Node.Plans.contains(Customer))
    co_return failure(errc::NotFound, "customer " + Customer);
  if (tryTake(Customer))
    co_return result<void>();
  if (Self->Options.Policy == share_policy::Static) {
    const instant Now = base::now();
    ++Self->StaticRefused;
    co_return overRate(Customer,
                       timeToToken(Self->staticBucket(Customer, Now), Now));
  }
  co_return co_await awaitToken(Self, std::move(Customer), Deadline);
}

share_status share_service::status() const {
  const consumer_counters &Counters = State->Node.Consumer.Counters;
  share_status Status;
  Status.Allocated = State->Node.Allocator.Allocated;
  Status.Spent = Counters.Spent + State->StaticSpent;
  Status.Refused = Counters.Refused + State->StaticRefused;
  Status.RefusedUnanswered = Counters.RefusedUnanswered;
  Status.Waiting = State->Waiting.size();
  Status.Leases = static_cast<std::uint16_t>(
      std::ranges::count_if(State->Node.Leases, &share_lease::Holding));
  return Status;
}

} // namespace redwinggw::control
