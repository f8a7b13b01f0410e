#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/http/address.hpp"
#include "redwinggw/http/message.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <optional>

/// Client side of HTTP/1.1 over Beast: one connection, one exchange at a time.
namespace redwinggw::http {

/// One connection. Move-only; used from one thread. Destroying it closes it.
class client {
public:
  explicit client(boost::asio::any_io_executor Executor);
  client(client &&) noexcept;
  client &operator=(client &&) noexcept;
  ~client();

  /// Opens the connection. Fails with errc::EndpointUnreachable.
  base::task<base::result<void>> connect(const address &Address,
                                         base::instant Deadline);

  /// Sends \p Request and reads the whole answer. Precondition: connected and
  /// no other exchange is running. After a failure the connection is closed.
  /// With \p StallTimeout the exchange also ends when the answer's head, or the
  /// next part of its body, does not come for so long: \p Deadline can then
  /// leave a large answer the time that it needs.
  ///
  /// Fails with errc::EndpointUnreachable when not one byte was sent, so the
  /// request did not run; with errc::OutcomeUnknown when some were sent and no
  /// answer came in time; with errc::TruncatedAnswer when the answer broke off.
  base::task<base::result<response>>
  exchange(const request &Request, base::instant Deadline,
           std::optional<base::milliseconds> StallTimeout = std::nullopt);

  /// Closes the connection. May be called when it is closed already.
  void close();

  bool isOpen() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

/// Connects, exchanges once and closes.
base::task<base::result<response>>
exchangeOnce(boost::asio::any_io_executor Executor, address Address,
             request Request, base::instant Deadline,
             std::optional<base::milliseconds> StallTimeout = std::nullopt);

} // namespace redwinggw::http
