#pragma once

#include <boost/asio/awaitable.hpp>

/// Coroutines for code that does I/O. Decision logic never uses them.
namespace redwinggw::base {

/// A coroutine that returns \p Value. It runs on the single thread of its
/// process.
template <typename Value> using task = boost::asio::awaitable<Value>;

} // namespace redwinggw::base
