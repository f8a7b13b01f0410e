#pragma once

#include <boost/asio/awaitable.hpp>

/// Coroutines of the I/O shells. Decisions never use them.
namespace redwinggw::base {

/// A coroutine that yields \p Value. It runs on the one thread of its process.
template <typename Value> using task = boost::asio::awaitable<Value>;

} // namespace redwinggw::base
