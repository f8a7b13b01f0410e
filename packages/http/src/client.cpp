#include "redwinggw/http/client.hpp"

#include "fields.hpp"

#include "redwinggw/base/socket_options.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace redwinggw::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using base::errc;
using base::failure;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t MaxResponseBytes = std::size_t{64} * 1024 * 1024;

beast::http::request<beast::http::string_body> messageOf(const request &From) {
  beast::http::request<beast::http::string_body> Message;
  Message.version(HttpVersion);
  Message.method_string(From.Method);
  Message.target(From.Target);
  Message.set(beast::http::field::host, "redwinggw");
  if (!From.Authorization.empty())
    Message.set(beast::http::field::authorization, From.Authorization);
  if (!From.From.empty())
    Message.set(FromField, From.From);
  for (const header &Header : From.Headers)
    Message.set(Header.Name, Header.Value);
  if (!From.Body.empty())
    Message.set(beast::http::field::content_type, "application/json");
  Message.body() = From.Body;
  Message.prepare_payload();
  return Message;
}

} // namespace

struct client::state {
  explicit state(asio::any_io_executor Executor)
      : Stream(std::move(Executor)) {}

  /// Limits the next operation to \p Deadline, or \p StallTimeout if sooner.
  void setExpiry(base::instant Deadline,
                 std::optional<base::milliseconds> StallTimeout) {
    const base::instant Latest =
        StallTimeout ? std::min(Deadline, base::now() + *StallTimeout)
                     : Deadline;
    Stream.expires_at(base::timerPoint(Latest));
  }

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  bool Open = false;
};

client::client(asio::any_io_executor Executor)
    : State(std::make_unique<state>(std::move(Executor))) {}
client::client(client &&) noexcept = default;
client &client::operator=(client &&) noexcept = default;
client::~client() = default;

base::task<base::result<void>> client::connect(const address &Address,
                                               base::instant Deadline) {
  State->Stream.expires_at(base::timerPoint(Deadline));
  const asio::ip::tcp::endpoint Endpoint(asio::ip::make_address(Address.Host),
                                         Address.Port);
  const auto [Error] = co_await State->Stream.async_connect(Endpoint, Token);
  if (Error)
    co_return failure(errc::EndpointUnreachable,
                      toText(Address) + " " + Error.message());
  State->Stream.socket().set_option(asio::ip::tcp::no_delay(true));
  State->Open = true;
  co_return base::result<void>();
}

base::task<base::result<response>>
client::exchange(const request &Request, base::instant Deadline,
                 std::optional<base::milliseconds> StallTimeout) {
  State->setExpiry(Deadline, StallTimeout);
  const auto Message = messageOf(Request);
  const auto [WriteError, Sent] =
      co_await beast::http::async_write(State->Stream, Message, Token);
  if (WriteError) {
    close();
    co_return failure(Sent == 0 ? errc::EndpointUnreachable
                                : errc::OutcomeUnknown,
                      WriteError.message());
  }
  beast::http::response_parser<beast::http::string_body> Parser;
  Parser.body_limit(MaxResponseBytes);
  std::size_t Received = 0;
  while (!Parser.is_done()) {
    State->setExpiry(Deadline, StallTimeout);
    const auto [ReadError, Read] = co_await beast::http::async_read_some(
        State->Stream, State->Buffer, Parser, Token);
    Received += Read;
    if (ReadError) {
      close();
      co_return failure(
          Parser.got_some() ? errc::TruncatedAnswer : errc::OutcomeUnknown,
          ReadError.message() + " after " + std::to_string(Received) +
              " bytes of the response");
    }
  }
  response Response;
  Response.Status = Parser.get().result_int();
  Response.Body = std::move(Parser.get().body());
  if (!Parser.get().keep_alive())
    close();
  co_return Response;
}

void client::setResetOnClose(bool Reset) {
  boost::system::error_code Ignored;
  State->Stream.socket().set_option(asio::socket_base::linger(Reset, 0),
                                    Ignored);
}

void client::close() {
  State->Open = false;
  State->Stream.close();
  // The rest of this response must not be parsed as the start of the next one.
  State->Buffer.clear();
}

bool client::isOpen() const { return State->Open; }

bool client::isQuiet() {
  return State->Open && State->Buffer.size() == 0 &&
         base::isQuiet(State->Stream.socket().native_handle());
}

base::task<base::result<response>>
exchangeOnce(asio::any_io_executor Executor, address Address, request Request,
             base::instant Deadline,
             std::optional<base::milliseconds> StallTimeout) {
  client Client(std::move(Executor));
  const base::instant ConnectDeadline =
      StallTimeout ? std::min(Deadline, base::now() + *StallTimeout) : Deadline;
  if (auto Open = co_await Client.connect(Address, ConnectDeadline); !Open)
    co_return Open.error();
  co_return co_await Client.exchange(Request, Deadline, StallTimeout);
}

} // namespace redwinggw::http
