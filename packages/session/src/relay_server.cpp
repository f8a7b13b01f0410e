#include "redwinggw/session/relay_host.hpp"

#include "frame_stream.hpp"

#include "redwinggw/base/log.hpp"
#include "redwinggw/http/listen.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <set>

/// The TCP side of statements that others pass on.
namespace redwinggw::session {
namespace {

namespace asio = boost::asio;
using base::instant;

/// A transaction whose instance says nothing for so much longer than callers
/// may rest in one is rolled back: that instance is frozen or gone.
constexpr base::milliseconds RestMargin{1000};

} // namespace

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

  void take(asio::ip::tcp::socket Socket);
  base::task<void> serveWay(std::shared_ptr<way> Way);
  base::task<std::optional<relay_request>> nextRequest(way &Way);

  asio::any_io_executor Executor;
  session_core &Core;
  std::string Secret;
  asio::ip::tcp::acceptor Acceptor;
  std::set<std::shared_ptr<way>> Ways;
};

void relay_server::state::take(asio::ip::tcp::socket Socket) {
  const auto Way = std::make_shared<way>(std::move(Socket));
  Ways.insert(Way);
  asio::co_spawn(Executor, serveWay(Way), asio::detached);
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
  auto Request = decodeRequest(Secret, *Bytes);
  // Another version, another fleet's secret, or a foreign program.
  if (!Request)
    base::log(
        base::log_level::Warning, base::log_part::Peers,
        "A passed-on statement cannot be read; its connection is closed.");
  co_return Request;
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
    asio::co_spawn(
        State->Executor,
        http::acceptConnections(State->Acceptor,
                                [Self = State](asio::ip::tcp::socket Socket) {
                                  Self->take(std::move(Socket));
                                }),
        asio::detached);
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
