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
/// Configurations that are handed on at a time. Who is turned down asks another
/// instance, which may have had it from here.
constexpr unsigned MostHandedOn = 2;
/// An instance that does not take a part for so long is frozen or gone.
constexpr base::milliseconds PartTaken{2000};

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
  base::task<std::optional<std::string>> nextMessage(way &Way);
  base::task<bool> serveMessage(way &Way, std::string Bytes);
  base::task<bool> serveConfiguration(way &Way, configuration_request Request);
  base::task<bool> sendPart(way &Way, configuration_part Part);

  asio::any_io_executor Executor;
  session_core &Core;
  std::string Secret;
  asio::ip::tcp::acceptor Acceptor;
  std::set<std::shared_ptr<way>> Ways;
  std::function<stored_configuration()> Configuration;
  unsigned HandedOn = 0;
};

void relay_server::state::take(asio::ip::tcp::socket Socket) {
  const auto Way = std::make_shared<way>(std::move(Socket));
  Ways.insert(Way);
  asio::co_spawn(Executor, serveWay(Way), asio::detached);
}

base::task<std::optional<std::string>>
relay_server::state::nextMessage(way &Way) {
  if (!Way.Lease.Link)
    co_return co_await Way.Stream.next();
  // Statements may come before this instance has read its configuration.
  const route_table_ptr Table = Core.Ports.Routes();
  const base::milliseconds Rest =
      Table ? Table->TransactionIdle : route_table().TransactionIdle;
  const instant Latest = base::now() + Rest + RestMargin;
  const deadline_guard Guard(Core.Set.Watch, Latest,
                             [&Way] { Way.Stream.close(); });
  co_return co_await Way.Stream.next();
}

base::task<bool> relay_server::state::sendPart(way &Way,
                                               configuration_part Part) {
  const std::string Bytes = encodeConfigurationPart(Secret, Part);
  const deadline_guard Guard(Core.Set.Watch, base::now() + PartTaken,
                             [&Way] { Way.Stream.close(); });
  co_return co_await Way.Stream.send(Bytes);
}

base::task<bool>
relay_server::state::serveConfiguration(way &Way,
                                        configuration_request Request) {
  stored_configuration Held;
  if (Configuration && HandedOn < MostHandedOn)
    Held = Configuration();
  if (Held.Row <= Request.Row || !Held.Text) {
    configuration_part Nothing;
    co_return co_await sendPart(Way, std::move(Nothing));
  }
  ++HandedOn;
  std::size_t Begin = 0;
  bool Sent = true;
  bool Last = false;
  while (Sent && !Last) {
    configuration_part Part = partOf(Held, Begin);
    Begin += Part.Text.size();
    Last = Part.Last;
    Sent = co_await sendPart(Way, std::move(Part));
  }
  --HandedOn;
  co_return Sent;
}

/// Answers one message; false when the connection is of no more use.
base::task<bool> relay_server::state::serveMessage(way &Way,
                                                   std::string Bytes) {
  if (auto Request = decodeRequest(Secret, Bytes)) {
    const relay_reply Reply =
        co_await serveRelayed(Core, Way.Lease, std::move(*Request));
    const std::string Answer = encodeReply(Secret, Reply);
    co_return co_await Way.Stream.send(Answer);
  }
  if (const auto Request = decodeConfigurationRequest(Secret, Bytes))
    co_return co_await serveConfiguration(Way, *Request);
  // Another version, another fleet's secret, or a foreign program.
  base::log(base::log_level::Warning, base::log_part::Peers,
            "A message cannot be read; its connection is closed.");
  co_return false;
}

base::task<void> relay_server::state::serveWay(std::shared_ptr<way> Way) {
  const auto Self = shared_from_this();
  try {
    bool Served = true;
    while (Served) {
      auto Bytes = co_await nextMessage(*Way);
      if (!Bytes)
        break;
      Served = co_await serveMessage(*Way, std::move(*Bytes));
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

void relay_server::handOnConfiguration(
    std::function<stored_configuration()> Held) {
  State->Configuration = std::move(Held);
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
