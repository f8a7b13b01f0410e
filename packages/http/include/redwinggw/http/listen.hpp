#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/http/address.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace redwinggw::http {

/// Makes \p Acceptor listen at \p Address and returns the actual address: port
/// 0 picks a free port. Fails with errc::BadSettings if the address is in use
/// or does not belong to this machine.
base::result<address> listenAt(boost::asio::ip::tcp::acceptor &Acceptor,
                               const address &Address);

/// Calls \p OnConnection for each connection, until \p Acceptor is closed.
/// Nagle's algorithm is disabled on them. After an error, such as exhausted
/// file descriptors, it pauses to avoid a busy loop. \p OnConnection must keep
/// \p Acceptor alive.
base::task<void> acceptConnections(
    boost::asio::ip::tcp::acceptor &Acceptor,
    std::function<void(boost::asio::ip::tcp::socket)> OnConnection);

} // namespace redwinggw::http
