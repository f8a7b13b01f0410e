#pragma once

#include "redwinggw/session/checked_out_link.hpp"
#include "redwinggw/session/session_core.hpp"
#include "redwinggw/session/state_transfer.hpp"
#include "redwinggw/session/statement_forwarding.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <string>

/// The owner's side of statement forwarding; statement_forwarding.hpp explains
/// why statements are forwarded.
namespace redwinggw::session {

/// The connection to the endpoint that is held for an open transaction of
/// another instance; empty while that has none.
struct pinned_link {
  checked_out_link Link;
};

/// Runs a forwarded statement, once at most; the caller's instance decides
/// whether to retry it. The owner itself only checks whether it may still use
/// the primary, since a statement that waited here must not reach a primary
/// that was replaced meanwhile.
base::task<forwarding_reply> serveForwarded(session_core &Core,
                                            pinned_link &Pinned,
                                            forwarding_request Request);

/// Accepts forwarded statements and requests for states over TCP. Used from
/// one thread; \p Core outlives it.
class forwarding_server {
public:
  /// Requests must be signed with \p Secret.
  forwarding_server(boost::asio::any_io_executor Executor, session_core &Core,
                    std::string Secret);
  forwarding_server(const forwarding_server &) = delete;
  forwarding_server &operator=(const forwarding_server &) = delete;
  ~forwarding_server();

  /// Fails with errc::BadSettings when the address cannot be bound.
  base::result<http::address> listen(const http::address &Address);

  /// \p Held returns the requested state, or changes to the version that the
  /// requester has; it is sent to \p AtOnce instances at most at a time.
  void serveStateFrom(
      std::function<transferred_state(const transfer_request &)> Held,
      unsigned AtOnce);

  /// Connections to endpoints that are pinned by other instances' transactions.
  std::size_t pinnedLinks() const;

  /// Closes everything; open transactions are rolled back.
  void stop();

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace redwinggw::session
