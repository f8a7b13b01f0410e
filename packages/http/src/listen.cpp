#include "redwinggw/http/listen.hpp"

namespace redwinggw::http {

namespace asio = boost::asio;

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

} // namespace redwinggw::http
