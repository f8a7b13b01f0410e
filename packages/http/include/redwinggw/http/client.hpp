#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/http/address.hpp"
#include "redwinggw/http/message.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <optional>

/// HTTP/1.1 client on Boost.Beast: one connection, one exchange at a time.
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

  /// Sends \p Request and reads the whole response. Precondition: connected and
  /// no other exchange is running. After a failure the connection is closed.
  /// With \p StallTimeout the exchange also fails if no data arrives for that
  /// long, so that \p Deadline can allow for the transfer of a large response.
  ///
  /// Fails with errc::EndpointUnreachable if no byte was sent, so the request
  /// did not run; with errc::OutcomeUnknown if some bytes were sent and no
  /// response arrived in time; with errc::TruncatedAnswer if the response was
  /// cut off.
  base::task<base::result<response>>
  exchange(const request &Request, base::instant Deadline,
           std::optional<base::milliseconds> StallTimeout = std::nullopt);

  /// Whether closing resets the connection and discards what the kernel still
  /// has to send. Otherwise it goes on delivering a request that was given up.
  /// Precondition: connected.
  void setResetOnClose(bool Reset);

  /// Closes the connection, if it is open.
  void close();

  bool isOpen() const;

  /// Whether it is open and the server has neither closed it nor sent anything
  /// that belongs to no request.
  bool isQuiet();

private:
  struct state;
  std::unique_ptr<state> State;
};

/// Opens a connection for a single exchange, then closes it.
base::task<base::result<response>>
exchangeOnce(boost::asio::any_io_executor Executor, address Address,
             request Request, base::instant Deadline,
             std::optional<base::milliseconds> StallTimeout = std::nullopt);

} // namespace redwinggw::http
