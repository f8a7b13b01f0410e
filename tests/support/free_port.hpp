#pragma once

#include "redwinggw/http/address.hpp"

namespace redwinggw::fleet {

/// A loopback address whose port is free for TCP and UDP. Ports lie below the
/// range that the kernel gives to outgoing connections, and each process
/// begins at another one, so that tests which run at once do not meet. Throws
/// std::runtime_error when none is left.
http::address freeAddress();

} // namespace redwinggw::fleet
