#include "native/promotion_server.hpp"

#include "redwinggw/http/listen.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

namespace redwinggw::standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using http_request = beast::http::request<beast::http::string_body>;
using http_response = beast::http::response<beast::http::string_body>;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);

promotion_order orderOf(const http_request &Request) {
  const boost::json::value Body = boost::json::parse(Request.body());
  promotion_order Order;
  Order.Service = Body.at("service").as_string();
  Order.Database = Body.at("identifier").as_string();
  Order.Orderer = Request["Redwinggw-Duty-Holder"];
  Order.Token = std::stoull(std::string(Request["Redwinggw-Fencing-Token"]));
  return Order;
}

} // namespace

struct promotion_server::state : std::enable_shared_from_this<state> {
  state(asio::any_io_executor Executor, handler Handler)
      : Executor(Executor), Handler(std::move(Handler)), Acceptor(Executor) {}

  base::task<void> serve(tcp::socket Socket);

  asio::any_io_executor Executor;
  handler Handler;
  http::address Address;
  tcp::acceptor Acceptor;
};

base::task<void> promotion_server::state::serve(tcp::socket Socket) {
  const auto Self = shared_from_this();
  beast::flat_buffer Buffer;
  while (true) {
    http_request Request;
    const auto [ReadError, Read] =
        co_await beast::http::async_read(Socket, Buffer, Request, Token);
    if (ReadError)
      co_return;
    promotion_order Order = orderOf(Request);
    const unsigned Status = co_await Handler(std::move(Order));
    http_response Response;
    Response.version(Request.version());
    Response.result(Status);
    Response.keep_alive(Request.keep_alive());
    Response.body() = "{}";
    Response.prepare_payload();
    const auto [WriteError, Sent] =
        co_await beast::http::async_write(Socket, Response, Token);
    if (WriteError || !Request.keep_alive())
      co_return;
  }
}

promotion_server::promotion_server(asio::any_io_executor Executor,
                                   handler Handler)
    : State(std::make_shared<state>(std::move(Executor), std::move(Handler))) {
  State->Address = http::listenAt(State->Acceptor, {"127.0.0.1", 0}).value();
  const auto OnConnection = [Self = State](tcp::socket Socket) {
    asio::co_spawn(Self->Executor, Self->serve(std::move(Socket)),
                   asio::detached);
  };
  asio::co_spawn(State->Executor,
                 http::acceptConnections(State->Acceptor, OnConnection),
                 asio::detached);
}

promotion_server::~promotion_server() {
  boost::system::error_code Ignored;
  State->Acceptor.close(Ignored);
}

const http::address &promotion_server::address() const {
  return State->Address;
}

} // namespace redwinggw::standin
