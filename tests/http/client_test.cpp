#include "redwinggw/http/client.hpp"
#include "redwinggw/http/listen.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "criterion_test.hpp"

using namespace redwinggw;

namespace {

namespace asio = boost::asio;
using base::milliseconds;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds Long{60'000};

/// A server that sends the body of its response byte by byte.
struct slow_server {
  std::string Body;
  milliseconds BetweenBytes{0};
  /// Number of bytes after which it stalls, keeping the connection open.
  std::size_t StopsAfter = std::string::npos;
};

base::task<void> serveSlowly(asio::io_context &Context,
                             asio::ip::tcp::socket Socket, slow_server Server) {
  asio::steady_timer Timer(Context);
  const std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: " +
                           std::to_string(Server.Body.size()) + "\r\n\r\n";
  co_await asio::async_write(Socket, asio::buffer(Head), Token);
  for (std::size_t Sent = 0; Sent < Server.Body.size(); ++Sent) {
    if (Sent == Server.StopsAfter) {
      Timer.expires_after(Long);
      co_await Timer.async_wait(Token);
    }
    co_await asio::async_write(Socket, asio::buffer(&Server.Body[Sent], 1),
                               Token);
    Timer.expires_after(Server.BetweenBytes);
    co_await Timer.async_wait(Token);
  }
}

base::task<void> exchangeWith(asio::io_context &Context, http::address Address,
                              milliseconds StallTimeout,
                              base::result<http::response> &Answer) {
  http::client Client(Context.get_executor());
  const auto Connected = co_await Client.connect(Address, base::now() + Long);
  cr_assert(Connected.has_value());
  const http::request Request;
  Answer = co_await Client.exchange(Request, base::now() + Long, StallTimeout);
  Context.stop();
}

base::result<http::response> exchangeSlowly(slow_server Server,
                                            milliseconds StallTimeout) {
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor(Context);
  const auto Address = http::listenAt(Acceptor, {"127.0.0.1", 0});
  const auto Take = [&](asio::ip::tcp::socket Socket) {
    asio::co_spawn(Context, serveSlowly(Context, std::move(Socket), Server),
                   asio::detached);
  };
  asio::co_spawn(Context, http::acceptConnections(Acceptor, Take),
                 asio::detached);
  base::result<http::response> Answer = base::failure(base::errc::Internal);
  asio::co_spawn(Context,
                 exchangeWith(Context, Address.value(), StallTimeout, Answer),
                 asio::detached);
  Context.run();
  return Answer;
}

base::task<void> sendTwice(asio::ip::tcp::socket Socket) {
  const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
  const std::string Twice = Answer + Answer;
  co_await asio::async_write(Socket, asio::buffer(Twice), Token);
  asio::steady_timer Timer(Socket.get_executor(), Long);
  co_await Timer.async_wait(Token);
}

base::task<void> askOnce(asio::io_context &Context, http::address Address,
                         bool &Quiet) {
  http::client Client(Context.get_executor());
  const auto Connected = co_await Client.connect(Address, base::now() + Long);
  cr_assert(Connected.has_value() && Client.isQuiet());
  const http::request Request;
  const auto Answer = co_await Client.exchange(Request, base::now() + Long);
  cr_assert(Answer.has_value());
  Quiet = Client.isQuiet();
  Context.stop();
}

} // namespace

// A response that came twice answered the next request on the connection.
Test(client, tells_a_connection_with_an_answer_to_nothing) {
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor(Context);
  const auto Address = http::listenAt(Acceptor, {"127.0.0.1", 0});
  const auto Take = [&](asio::ip::tcp::socket Socket) {
    asio::co_spawn(Context, sendTwice(std::move(Socket)), asio::detached);
  };
  asio::co_spawn(Context, http::acceptConnections(Acceptor, Take),
                 asio::detached);
  bool Quiet = true;
  asio::co_spawn(Context, askOnce(Context, Address.value(), Quiet),
                 asio::detached);
  Context.run();
  cr_assert(!Quiet);
}

// Guards against aborting a slow response while its data still arrives.
Test(client, waits_for_an_answer_while_it_arrives) {
  constexpr milliseconds StallTimeout{2000};
  constexpr milliseconds BetweenBytes{250};
  const std::string Body = "ten bytes.";
  const auto Answer = exchangeSlowly({Body, BetweenBytes}, StallTimeout);
  cr_assert(Answer.has_value());
  cr_assert(Answer->Body == Body);
}

// Guards against waiting until the deadline for a connection that has stalled.
Test(client, gives_up_an_answer_that_stops_arriving) {
  constexpr milliseconds StallTimeout{300};
  constexpr std::size_t StopsAfter = 3;
  const auto Answer =
      exchangeSlowly({"ten bytes.", milliseconds(0), StopsAfter}, StallTimeout);
  cr_assert(Answer.has_error());
  cr_assert(kindOf(Answer.error()) == base::errc::TruncatedAnswer);
}
