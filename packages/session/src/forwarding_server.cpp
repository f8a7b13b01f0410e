#include "redwinggw/session/forwarding_server.hpp"

#include "frame_stream.hpp"

#include "redwinggw/base/log.hpp"
#include "redwinggw/http/listen.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <set>

/// The TCP server for forwarded statements.
namespace redwinggw::session {
namespace {

namespace asio = boost::asio;
using base::instant;

/// Added to the callers' idle limit: a transaction whose instance sends nothing
/// for longer is rolled back, as that instance is frozen or gone.
constexpr base::milliseconds IdleMargin{1000};
/// An instance that does not accept a chunk within this time is frozen or gone.
constexpr base::milliseconds ChunkSendTimeout{2000};

} // namespace

struct forwarding_server::state : std::enable_shared_from_this<state> {
  /// One connection of another instance.
  struct connection {
    explicit connection(asio::ip::tcp::socket Socket)
        : Stream(std::move(Socket)) {}
    frame_stream Stream;
    pinned_link Pinned;
  };

  state(asio::any_io_executor Executor, session_core &Core, std::string Secret)
      : Executor(Executor), Core(Core), Secret(std::move(Secret)),
        Acceptor(Executor) {}

  void accept(asio::ip::tcp::socket Socket);
  base::task<void> serveConnection(std::shared_ptr<connection> Connection);
  base::task<std::optional<std::string>> nextMessage(connection &Connection);
  base::task<bool> serveMessage(connection &Connection, std::string Bytes);
  base::task<bool> serveTransfer(connection &Connection,
                                 transfer_request Request);
  base::task<bool> sendChunk(connection &Connection, transfer_chunk Chunk);

  asio::any_io_executor Executor;
  session_core &Core;
  std::string Secret;
  asio::ip::tcp::acceptor Acceptor;
  std::set<std::shared_ptr<connection>> Connections;
  std::function<transferred_state(const transfer_request &)> HeldState;
  unsigned MaxTransfers = 0;
  unsigned ActiveTransfers = 0;
};

void forwarding_server::state::accept(asio::ip::tcp::socket Socket) {
  const auto Connection = std::make_shared<connection>(std::move(Socket));
  Connections.insert(Connection);
  asio::co_spawn(Executor, serveConnection(Connection), asio::detached);
}

base::task<std::optional<std::string>>
forwarding_server::state::nextMessage(connection &Connection) {
  if (!Connection.Pinned.Link)
    co_return co_await Connection.Stream.next();
  // Statements may arrive before this instance has read its configuration.
  const route_table_ptr Table = Core.Ports.Routes();
  const base::milliseconds IdleTime =
      Table ? Table->TransactionIdle : route_table().TransactionIdle;
  const instant Latest = base::now() + IdleTime + IdleMargin;
  const deadline_guard Guard(Core.Set.Watch, Latest,
                             [&Connection] { Connection.Stream.close(); });
  co_return co_await Connection.Stream.next();
}

base::task<bool> forwarding_server::state::sendChunk(connection &Connection,
                                                     transfer_chunk Chunk) {
  const std::string Bytes = encodeTransferChunk(Secret, Chunk);
  const deadline_guard Guard(Core.Set.Watch, base::now() + ChunkSendTimeout,
                             [&Connection] { Connection.Stream.close(); });
  co_return co_await Connection.Stream.send(Bytes);
}

base::task<bool>
forwarding_server::state::serveTransfer(connection &Connection,
                                        transfer_request Request) {
  transferred_state Held;
  if (HeldState && ActiveTransfers < MaxTransfers)
    Held = HeldState(Request);
  if (Held.Version <= Request.Version || !Held.Text) {
    transfer_chunk Nothing;
    co_return co_await sendChunk(Connection, std::move(Nothing));
  }
  ++ActiveTransfers;
  std::size_t Begin = 0;
  bool Sent = true;
  bool Last = false;
  while (Sent && !Last) {
    transfer_chunk Chunk = chunkAt(Held, Begin);
    Begin += Chunk.Text.size();
    Last = Chunk.Last;
    Sent = co_await sendChunk(Connection, std::move(Chunk));
  }
  --ActiveTransfers;
  co_return Sent;
}

/// Answers one message; false if the connection cannot be used any more.
base::task<bool> forwarding_server::state::serveMessage(connection &Connection,
                                                        std::string Bytes) {
  if (auto Request = decodeRequest(Secret, Bytes)) {
    const forwarding_reply Reply =
        co_await serveForwarded(Core, Connection.Pinned, std::move(*Request));
    std::string Answer = encodeReply(Secret, Reply);
    // Only rows make it so long: what ran was a read, and is run again.
    if (Answer.size() > LongestFrame)
      Answer = encodeReply(Secret, refusedAsTooLong());
    co_return co_await Connection.Stream.send(Answer);
  }
  if (const auto Request = decodeTransferRequest(Secret, Bytes))
    co_return co_await serveTransfer(Connection, *Request);
  // Another version, another fleet's secret, or a foreign program.
  base::log(base::log_level::Warning, base::log_part::Peers,
            "A peer message cannot be decoded; closing its connection.");
  co_return false;
}

base::task<void> forwarding_server::state::serveConnection(
    std::shared_ptr<connection> Connection) {
  const auto Self = shared_from_this();
  try {
    bool Served = true;
    while (Served) {
      auto Bytes = co_await nextMessage(*Connection);
      if (!Bytes)
        break;
      Served = co_await serveMessage(*Connection, std::move(*Bytes));
    }
  } catch (const std::exception &Fault) {
    base::log(base::log_level::Error, base::log_part::Peers,
              std::string("A forwarded statement failed unexpectedly: ") +
                  Fault.what());
  }
  Connection->Stream.close();
  // The end of the connection rolls back what is open on it.
  Connection->Pinned = pinned_link();
  Connections.erase(Connection);
}

forwarding_server::forwarding_server(asio::any_io_executor Executor,
                                     session_core &Core, std::string Secret)
    : State(std::make_shared<state>(std::move(Executor), Core,
                                    std::move(Secret))) {}

forwarding_server::~forwarding_server() { stop(); }

base::result<http::address>
forwarding_server::listen(const http::address &Address) {
  const auto Listening = http::listenAt(State->Acceptor, Address);
  if (Listening)
    asio::co_spawn(
        State->Executor,
        http::acceptConnections(State->Acceptor,
                                [Self = State](asio::ip::tcp::socket Socket) {
                                  Self->accept(std::move(Socket));
                                }),
        asio::detached);
  return Listening;
}

void forwarding_server::serveStateFrom(
    std::function<transferred_state(const transfer_request &)> Held,
    unsigned AtOnce) {
  State->HeldState = std::move(Held);
  State->MaxTransfers = AtOnce;
}

std::size_t forwarding_server::pinnedLinks() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(State->Connections, [](const auto &Connection) {
        return static_cast<bool>(Connection->Pinned.Link);
      }));
}

void forwarding_server::stop() {
  boost::system::error_code Ignored;
  State->Acceptor.close(Ignored);
  for (const auto &Connection : State->Connections)
    Connection->Stream.close();
}

} // namespace redwinggw::session
