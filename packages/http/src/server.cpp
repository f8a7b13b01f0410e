#include "redwinggw/http/server.hpp"

#include "fields.hpp"

#include "redwinggw/http/listen.hpp"

#include "redwinggw/base/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <unordered_map>

namespace redwinggw::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);

using parser = beast::http::request_parser<beast::http::string_body>;

struct session {
  explicit session(asio::ip::tcp::socket Socket) : Stream(std::move(Socket)) {}
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  connection Connection;
  bool Busy = false;
};

request requestOf(beast::http::request<beast::http::string_body> Message) {
  request Request;
  Request.Method = Message.method_string();
  Request.Target = Message.target();
  Request.Authorization = Message[beast::http::field::authorization];
  Request.From = Message[FromField];
  Request.Body = std::move(Message.body());
  return Request;
}

beast::http::response<beast::http::string_body> messageOf(response Response,
                                                          bool KeepAlive) {
  beast::http::response<beast::http::string_body> Message;
  Message.version(HttpVersion);
  Message.result(Response.Status);
  Message.set(beast::http::field::content_type, Response.ContentType);
  if (Response.RetryAfter != 0)
    Message.set(beast::http::field::retry_after,
                std::to_string(Response.RetryAfter));
  Message.keep_alive(KeepAlive);
  Message.body() = std::move(Response.Body);
  Message.prepare_payload();
  return Message;
}

} // namespace

struct server::state : std::enable_shared_from_this<server::state> {
  state(asio::any_io_executor Executor, server_options Options, handler Handler)
      : Executor(std::move(Executor)), Options(Options),
        Handler(std::move(Handler)), Acceptor(this->Executor) {}

  void accept(asio::ip::tcp::socket Socket) {
    const auto Session = std::make_shared<session>(std::move(Socket));
    Session->Connection.Id = ++LastId;
    Sessions.emplace(Session->Connection.Id, Session);
    asio::co_spawn(Executor, serve(Session), asio::detached);
  }

  base::task<void> serve(std::shared_ptr<session> Session) {
    const auto Self = shared_from_this();
    try {
      while (co_await serveOne(*Session)) {
      }
    } catch (const std::exception &Fault) {
      // Handled here because otherwise the connection would stay open and
      // counted, and its caller would wait until its deadline.
      Busy -= Session->Busy ? 1 : 0;
      base::log(base::log_level::Error, base::log_part::Main,
                std::string("Request failed with an exception: ") +
                    Fault.what());
    }
    Session->Stream.close();
    Sessions.erase(Session->Connection.Id);
  }

  /// Serves one request; returns false if the connection is to be closed.
  base::task<bool> serveOne(session &Session) {
    Session.Stream.expires_after(Options.IdleTimeout);
    parser Parser;
    Parser.body_limit(Options.BodyLimit);
    const auto [ReadError, Read] = co_await beast::http::async_read(
        Session.Stream, Session.Buffer, Parser, Token);
    if (ReadError)
      co_return false;
    Session.Busy = true;
    ++Busy;
    Session.Stream.expires_never();
    const bool CallerKeepsAlive = Parser.get().keep_alive();
    request Request = requestOf(Parser.release());
    response Response =
        co_await Handler(Session.Connection, std::move(Request));
    --Busy;
    Session.Busy = false;
    if (Response.Status == 0)
      co_return false;
    const bool KeepAlive = CallerKeepsAlive && !Draining;
    const auto Message = messageOf(std::move(Response), KeepAlive);
    Session.Stream.expires_after(Options.IdleTimeout);
    const auto [WriteError, Written] =
        co_await beast::http::async_write(Session.Stream, Message, Token);
    co_return !WriteError && KeepAlive;
  }

  asio::any_io_executor Executor;
  server_options Options;
  handler Handler;
  asio::ip::tcp::acceptor Acceptor;
  std::unordered_map<std::uint64_t, std::shared_ptr<session>> Sessions;
  std::uint64_t LastId = 0;
  std::size_t Busy = 0;
  bool Draining = false;
};

server::server(asio::any_io_executor Executor, server_options Options,
               handler Handler)
    : State(std::make_shared<state>(std::move(Executor), Options,
                                    std::move(Handler))) {}

server::~server() { drain(); }

base::result<address> server::listen(const address &Address) {
  const auto Listening = listenAt(State->Acceptor, Address);
  if (Listening)
    asio::co_spawn(
        State->Executor,
        acceptConnections(State->Acceptor,
                          [Self = State](asio::ip::tcp::socket Socket) {
                            Self->accept(std::move(Socket));
                          }),
        asio::detached);
  return Listening;
}

void server::drain() {
  State->Draining = true;
  boost::system::error_code Ignored;
  State->Acceptor.close(Ignored);
  for (const auto &[Id, Session] : State->Sessions)
    if (!Session->Busy)
      Session->Stream.cancel();
}

std::size_t server::openConnections() const { return State->Sessions.size(); }

std::size_t server::busyConnections() const { return State->Busy; }

} // namespace redwinggw::http
