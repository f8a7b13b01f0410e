#pragma once

#include "redwinggw/http/address.hpp"

namespace redwinggw::fleet {

/// A loopback address whose port is free for TCP and UDP. The ports are below
/// the kernel's ephemeral port range, and each process begins at another one,
/// so that concurrent tests do not choose the same one. Throws
/// std::runtime_error when none is left.
http::address freeAddress();

} // namespace redwinggw::fleet
