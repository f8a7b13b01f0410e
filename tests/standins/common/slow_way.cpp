#include "common/slow_way.hpp"

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

/// Both ends of one connection.
struct passage {
  tcp::socket Client;
  tcp::socket Server;

  void close() {
    boost::system::error_code Ignored;
    Client.close(Ignored);
    Server.close(Ignored);
  }
};

} // namespace

struct slow_way::state : std::enable_shared_from_this<state> {
  state(asio::any_io_executor Executor, http::address Server)
      : Executor(Executor), Server(std::move(Server)), Acceptor(Executor) {}

  base::task<void> pass(std::shared_ptr<passage> Passage);
  base::task<void> copy(std::shared_ptr<passage> Passage, bool ToClient);
  base::task<void> hold(std::size_t Bytes);

  asio::any_io_executor Executor;
  http::address Server;
  http::address Address;
  tcp::acceptor Acceptor;
  std::size_t BytesPerSecond = 0;
};

/// Waits for as long as the link is busy with \p Bytes.
base::task<void> slow_way::state::hold(std::size_t Bytes) {
  if (BytesPerSecond == 0)
    co_return;
  constexpr std::size_t MicrosecondsPerSecond = 1'000'000;
  asio::steady_timer Timer(Executor,
                           std::chrono::microseconds(
                               Bytes * MicrosecondsPerSecond / BytesPerSecond));
  co_await Timer.async_wait(Token);
}

base::task<void> slow_way::state::copy(std::shared_ptr<passage> Passage,
                                       bool ToClient) {
  const auto Self = shared_from_this();
  tcp::socket &From = ToClient ? Passage->Server : Passage->Client;
  tcp::socket &To = ToClient ? Passage->Client : Passage->Server;
  std::array<char, ChunkBytes> Chunk{};
  while (true) {
    const auto [ReadError, Size] =
        co_await From.async_read_some(asio::buffer(Chunk), Token);
    if (ReadError)
      break;
    if (ToClient)
      co_await hold(Size);
    const auto [WriteError, Sent] =
        co_await asio::async_write(To, asio::buffer(Chunk.data(), Size), Token);
    if (WriteError)
      break;
  }
  Passage->close();
}

base::task<void> slow_way::state::pass(std::shared_ptr<passage> Passage) {
  const auto Self = shared_from_this();
  const tcp::endpoint To(asio::ip::make_address(Server.Host), Server.Port);
  const auto [Error] = co_await Passage->Server.async_connect(To, Token);
  if (Error) {
    Passage->close();
    co_return;
  }
  asio::co_spawn(Executor, copy(Passage, true), asio::detached);
  co_await copy(Passage, false);
}

slow_way::slow_way(asio::any_io_executor Executor, http::address Server)
    : State(std::make_shared<state>(std::move(Executor), std::move(Server))) {
  State->Address = http::listenAt(State->Acceptor, {"127.0.0.1", 0}).value();
  const auto Take = [Self = State](tcp::socket Client) {
    const auto Passage = std::make_shared<passage>(
        passage{std::move(Client), tcp::socket(Self->Executor)});
    asio::co_spawn(Self->Executor, Self->pass(Passage), asio::detached);
  };
  asio::co_spawn(State->Executor,
                 http::acceptConnections(State->Acceptor, Take),
                 asio::detached);
}

slow_way::~slow_way() {
  boost::system::error_code Ignored;
  State->Acceptor.close(Ignored);
}

const http::address &slow_way::address() const { return State->Address; }

void slow_way::setSpeed(std::size_t BytesPerSecond) {
  State->BytesPerSecond = BytesPerSecond;
}

} // namespace redwinggw::standin
