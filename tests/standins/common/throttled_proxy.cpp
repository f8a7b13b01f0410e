#include "common/throttled_proxy.hpp"

#include "redwinggw/http/listen.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace redwinggw::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ChunkBytes = std::size_t{16} * 1024;

/// The two sockets of one proxied connection.
struct proxied_connection {
  tcp::socket Client;
  tcp::socket Server;

  void close() {
    boost::system::error_code Ignored;
    Client.close(Ignored);
    Server.close(Ignored);
  }
};

} // namespace

struct throttled_proxy::state : std::enable_shared_from_this<state> {
  state(asio::any_io_executor Executor, http::address Server)
      : Executor(Executor), Server(std::move(Server)), Acceptor(Executor) {}

  base::task<void> forward(std::shared_ptr<proxied_connection> Connection);
  base::task<void> copy(std::shared_ptr<proxied_connection> Connection,
                        bool ToClient);
  base::task<void> throttle(std::size_t Bytes);

  asio::any_io_executor Executor;
  http::address Server;
  http::address Address;
  tcp::acceptor Acceptor;
  std::size_t BytesPerSecond = 0;
};

/// Waits for the time that the link needs to transfer \p Bytes.
base::task<void> throttled_proxy::state::throttle(std::size_t Bytes) {
  if (BytesPerSecond == 0)
    co_return;
  constexpr std::size_t MicrosecondsPerSecond = 1'000'000;
  asio::steady_timer Timer(Executor,
                           std::chrono::microseconds(
                               Bytes * MicrosecondsPerSecond / BytesPerSecond));
  co_await Timer.async_wait(Token);
}

base::task<void>
throttled_proxy::state::copy(std::shared_ptr<proxied_connection> Connection,
                             bool ToClient) {
  const auto Self = shared_from_this();
  tcp::socket &From = ToClient ? Connection->Server : Connection->Client;
  tcp::socket &To = ToClient ? Connection->Client : Connection->Server;
  std::array<char, ChunkBytes> Chunk{};
  while (true) {
    const auto [ReadError, Size] =
        co_await From.async_read_some(asio::buffer(Chunk), Token);
    if (ReadError)
      break;
    if (ToClient)
      co_await throttle(Size);
    const auto [WriteError, Sent] =
        co_await asio::async_write(To, asio::buffer(Chunk.data(), Size), Token);
    if (WriteError)
      break;
  }
  Connection->close();
}

base::task<void> throttled_proxy::state::forward(
    std::shared_ptr<proxied_connection> Connection) {
  const auto Self = shared_from_this();
  const tcp::endpoint To(asio::ip::make_address(Server.Host), Server.Port);
  const auto [Error] = co_await Connection->Server.async_connect(To, Token);
  if (Error) {
    Connection->close();
    co_return;
  }
  asio::co_spawn(Executor, copy(Connection, true), asio::detached);
  co_await copy(Connection, false);
}

throttled_proxy::throttled_proxy(asio::any_io_executor Executor,
                                 http::address Server)
    : State(std::make_shared<state>(std::move(Executor), std::move(Server))) {
  State->Address = http::listenAt(State->Acceptor, {"127.0.0.1", 0}).value();
  const auto OnConnection = [Self = State](tcp::socket Client) {
    const auto Connection = std::make_shared<proxied_connection>(
        proxied_connection{std::move(Client), tcp::socket(Self->Executor)});
    asio::co_spawn(Self->Executor, Self->forward(Connection), asio::detached);
  };
  asio::co_spawn(State->Executor,
                 http::acceptConnections(State->Acceptor, OnConnection),
                 asio::detached);
}

throttled_proxy::~throttled_proxy() {
  boost::system::error_code Ignored;
  State->Acceptor.close(Ignored);
}

const http::address &throttled_proxy::address() const { return State->Address; }

void throttled_proxy::setSpeed(std::size_t BytesPerSecond) {
  State->BytesPerSecond = BytesPerSecond;
}

} // namespace redwinggw::standin
