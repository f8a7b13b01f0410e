#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/http/address.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace redwinggw::http {

/// Lets \p Acceptor listen at \p Address and answers where it does: port 0
/// picks a free one. Fails with errc::BadSettings when the address is taken or
/// not of this machine.
base::result<address> listenAt(boost::asio::ip::tcp::acceptor &Acceptor,
                               const address &Address);

} // namespace redwinggw::http
