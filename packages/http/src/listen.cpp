#include "redwinggw/http/listen.hpp"

#include "redwinggw/base/time.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace redwinggw::http {

namespace asio = boost::asio;

namespace {

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
/// Pause after a failed accept, such as when no file descriptor is left.
constexpr base::milliseconds AcceptRetryDelay{50};

} // namespace

base::result<address> listenAt(asio::ip::tcp::acceptor &Acceptor,
                               const address &Address) {
  boost::system::error_code Error;
  const asio::ip::tcp::endpoint Endpoint(
      asio::ip::make_address(Address.Host, Error), Address.Port);
  if (!Error)
    Acceptor.open(Endpoint.protocol(), Error);
  if (!Error)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Endpoint, Error);
  if (!Error)
    Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return base::failure(base::errc::BadSettings, "cannot listen at " +
                                                      toText(Address) + ": " +
                                                      Error.message());
  return address{Address.Host, Acceptor.local_endpoint().port()};
}

base::task<void>
acceptConnections(asio::ip::tcp::acceptor &Acceptor,
                  std::function<void(asio::ip::tcp::socket)> OnConnection) {
  while (Acceptor.is_open()) {
    auto [Error, Socket] = co_await Acceptor.async_accept(Token);
    boost::system::error_code Ignored;
    if (!Error) {
      Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
      OnConnection(std::move(Socket));
      continue;
    }
    asio::steady_timer Pause(Acceptor.get_executor(), AcceptRetryDelay);
    if (Acceptor.is_open())
      co_await Pause.async_wait(Token);
  }
}

} // namespace redwinggw::http
