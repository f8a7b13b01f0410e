#include "redwinggw/session/relay_host.hpp"

#include "core_parts.hpp"
#include "frame_stream.hpp"
#include "link_setup.hpp"

#include "redwinggw/base/log.hpp"
#include "redwinggw/http/listen.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>

namespace redwinggw::session {
namespace {

namespace asio = boost::asio;
using base::instant;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
/// After a failure to accept, most of all for want of descriptors.
constexpr base::milliseconds AcceptPause{50};
/// A transaction whose instance says nothing for so much longer than callers
/// may rest in one is rolled back: that instance is frozen or gone.
constexpr base::milliseconds RestMargin{1000};

relay_failure failureOf(acquire_failure Failure) {
  return Failure == acquire_failure::Exhausted ? relay_failure::NoConnection
                                               : relay_failure::EndpointLost;
}

bool mayUse(const session_core &Core, const link_statement &Statement) {
  return !Statement.Right || Core.Ports.StillHolds(*Statement.Right);
}

/// Gives the transaction that has the lease a turn for its next statement. One
/// that finds none cannot go on: its connection is closed, which rolls back.
base::task<relay_failure> continueLease(relay_lease &Lease,
                                        const relay_request &Request,
                                        instant Arrived) {
  const bool Same = Lease.Link.Pool->entry().Name == Request.Endpoint &&
                    Lease.Link.Link->Customer == Request.Customer;
  // A rollback needs no slot.
  if (Same && Request.Statement.Action == link_action::Rollback)
    co_return relay_failure::None;
  if (Same) {
    slot_pass Pass =
        co_await takeTurn(Lease.Link.Pool, slot_level::Begun, Request.Customer,
                          Arrived + Request.TimeLeft);
    if (Pass) {
      Lease.Link.Pass = std::move(Pass);
      co_return relay_failure::None;
    }
  }
  Lease.Link = leased_link();
  co_return relay_failure::NoConnection;
}

/// Gives the lease a turn, and a connection unless it has one.
base::task<relay_failure> lease(session_core &Core, relay_lease &Lease,
                                const relay_request &Request, instant Arrived) {
  if (Lease.Link)
    co_return co_await continueLease(Lease, Request, Arrived);
  // Only the transaction's own connection can go on with it.
  if (Request.Statement.Action == link_action::Rollback)
    co_return relay_failure::Refused;
  const pool_ptr Pool = poolOf(Core.Set, Request.Endpoint);
  if (Pool == nullptr || !mayUse(Core, Request.Statement))
    co_return relay_failure::Refused;
  const session_values Values =
      Request.Statement.Values.value_or(session_values());
  const instant WaitUntil = Arrived + Request.Patience;
  slot_pass Pass = co_await takeTurn(Pool, levelOf(Request.Priority),
                                     Request.Customer, WaitUntil);
  if (!Pass)
    co_return relay_failure::NoConnection;
  acquired Acquired = co_await Pool->acquire(
      Request.Customer, Values, WaitUntil, Arrived + Request.TimeLeft);
  if (!Acquired.Link)
    co_return failureOf(Acquired.Failure);
  Lease.Link = leased_link(Pool, std::move(Acquired.Link));
  Lease.Link.Pass = std::move(Pass);
  co_return relay_failure::None;
}

/// Takes in how the endpoint did, and ends the lease with the transaction.
void settleLease(relay_lease &Lease, const exchange &Exchange) {
  endpoint_pool &Pool = *Lease.Link.Pool;
  if (Exchange.Outcome != exchange_outcome::Answered) {
    Pool.noteFailure(base::now());
    Pool.closeIdle();
    Lease.Link = leased_link();
    return;
  }
  Pool.noteSuccess(Exchange.SentAt, base::now());
  if (Exchange.Answer.State == transaction_state::Idle)
    Lease.Link.giveBack();
}

std::uint16_t loadOf(session_core &Core, const base::endpoint_name &Name) {
  const pool_ptr Pool = poolOf(Core.Set, Name);
  constexpr std::size_t Most = UINT16_MAX;
  return Pool == nullptr ? 0
                         : static_cast<std::uint16_t>(
                               std::min(Pool->load(base::now()), Most));
}

} // namespace

base::task<relay_reply> serveRelayed(session_core &Core, relay_lease &Lease,
                                     relay_request Request) {
  const instant Arrived = base::now();
  relay_reply Reply;
  Reply.Failure = co_await lease(Core, Lease, Request, Arrived);
  if (Reply.Failure == relay_failure::None) {
    const pool_ptr Pool = Lease.Link.Pool;
    const instant Sent = base::now();
    Pool->noteSent(Sent);
    Reply.Exchange =
        co_await runOnLink(*Lease.Link.Link, Request.Statement,
                           Core.Ports.StillHolds, Arrived + Request.TimeLeft);
    Pool->noteEnded(Sent);
    Reply.Ran = std::chrono::ceil<base::milliseconds>(base::now() - Sent);
    Lease.Link.Pass = slot_pass();
    if (!mayUse(Core, Request.Statement) &&
        Reply.Exchange.Outcome == exchange_outcome::NotSent)
      Reply.Failure = relay_failure::Refused;
    settleLease(Lease, Reply.Exchange);
  }
  Reply.Load = loadOf(Core, Request.Endpoint);
  recordRelayed(Core, Request, Reply, base::now() - Arrived);
  co_return Reply;
}

struct relay_server::state : std::enable_shared_from_this<state> {
  /// One connection of another instance.
  struct way {
    explicit way(asio::ip::tcp::socket Socket) : Stream(std::move(Socket)) {}
    frame_stream Stream;
    relay_lease Lease;
  };

  state(asio::any_io_executor Executor, session_core &Core, std::string Secret)
      : Executor(Executor), Core(Core), Secret(std::move(Secret)),
        Acceptor(Executor) {}

  base::task<void> accept();
  base::task<void> serveWay(std::shared_ptr<way> Way);
  base::task<std::optional<relay_request>> nextRequest(way &Way);

  asio::any_io_executor Executor;
  session_core &Core;
  std::string Secret;
  asio::ip::tcp::acceptor Acceptor;
  std::set<std::shared_ptr<way>> Ways;
};

base::task<void> relay_server::state::accept() {
  const auto Self = shared_from_this();
  while (Acceptor.is_open()) {
    auto [Error, Socket] = co_await Acceptor.async_accept(Token);
    if (Error) {
      asio::steady_timer Pause(Executor, AcceptPause);
      co_await Pause.async_wait(Token);
      continue;
    }
    const auto Way = std::make_shared<way>(std::move(Socket));
    Ways.insert(Way);
    asio::co_spawn(Executor, serveWay(Way), asio::detached);
  }
}

base::task<std::optional<relay_request>>
relay_server::state::nextRequest(way &Way) {
  std::optional<std::string> Bytes;
  if (Way.Lease.Link) {
    // Statements may come before this instance has read its configuration.
    const route_table_ptr Table = Core.Ports.Routes();
    const base::milliseconds Rest =
        Table ? Table->TransactionIdle : route_table().TransactionIdle;
    const instant Latest = base::now() + Rest + RestMargin;
    const deadline_guard Guard(Core.Set.Watch, Latest,
                               [&Way] { Way.Stream.close(); });
    Bytes = co_await Way.Stream.next();
  } else {
    Bytes = co_await Way.Stream.next();
  }
  if (!Bytes)
    co_return std::nullopt;
  co_return decodeRequest(Secret, *Bytes);
}

base::task<void> relay_server::state::serveWay(std::shared_ptr<way> Way) {
  const auto Self = shared_from_this();
  try {
    while (auto Request = co_await nextRequest(*Way)) {
      const relay_reply Reply =
          co_await serveRelayed(Core, Way->Lease, std::move(*Request));
      const std::string Bytes = encodeReply(Secret, Reply);
      const bool Sent = co_await Way->Stream.send(Bytes);
      if (!Sent)
        break;
    }
  } catch (const std::exception &Fault) {
    base::log(base::log_level::Error, base::log_part::Peers,
              std::string("A relayed statement failed unexpectedly: ") +
                  Fault.what());
  }
  Way->Stream.close();
  // The end of the connection rolls back what is open on it.
  Way->Lease = relay_lease();
  Ways.erase(Way);
}

relay_server::relay_server(asio::any_io_executor Executor, session_core &Core,
                           std::string Secret)
    : State(std::make_shared<state>(std::move(Executor), Core,
                                    std::move(Secret))) {}

relay_server::~relay_server() { stop(); }

base::result<http::address> relay_server::listen(const http::address &Address) {
  const auto Listening = http::listenAt(State->Acceptor, Address);
  if (Listening)
    asio::co_spawn(State->Executor, State->accept(), asio::detached);
  return Listening;
}

std::size_t relay_server::leases() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(State->Ways, [](const auto &Way) {
        return static_cast<bool>(Way->Lease.Link);
      }));
}

void relay_server::stop() {
  boost::system::error_code Ignored;
  State->Acceptor.close(Ignored);
  for (const auto &Way : State->Ways)
    Way->Stream.close();
}

} // namespace redwinggw::session
