#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/http/address.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace redwinggw::http {

/// Lets \p Acceptor listen at \p Address and answers where it does: port 0
/// picks a free one. Fails with errc::BadSettings when the address is taken or
/// not of this machine.
base::result<address> listenAt(boost::asio::ip::tcp::acceptor &Acceptor,
                               const address &Address);

/// Hands each connection that \p Acceptor takes to \p OnConnection, until it is
/// closed. Small messages on them are sent at once. When no descriptor is left
/// it pauses; it would spin otherwise. \p OnConnection has to keep \p Acceptor
/// alive.
base::task<void> acceptConnections(
    boost::asio::ip::tcp::acceptor &Acceptor,
    std::function<void(boost::asio::ip::tcp::socket)> OnConnection);

} // namespace redwinggw::http
