#pragma once

#include "redwinggw/base/task.hpp"
#include "redwinggw/http/address.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace redwinggw::standin {

/// An order to promote a database, as an instance sent it.
struct promotion_order {
  std::string Service;
  std::string Database;
  std::string Orderer;
  std::uint64_t Token = 0;
};

/// Receives orders of promotions over HTTP. An order that has arrived is
/// handled even if its sender is gone. Used from one thread.
class promotion_server {
public:
  /// \p Handler returns the status of the response.
  using handler = std::function<base::task<unsigned>(promotion_order)>;

  promotion_server(boost::asio::any_io_executor Executor, handler Handler);
  promotion_server(const promotion_server &) = delete;
  promotion_server &operator=(const promotion_server &) = delete;
  ~promotion_server();

  /// The address that it listens at: a free port on the loopback interface.
  const http::address &address() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace redwinggw::standin
