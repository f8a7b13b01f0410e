#pragma once

#include "redwinggw/session/configuration_transfer.hpp"
#include "redwinggw/session/leased_link.hpp"
#include "redwinggw/session/session_core.hpp"
#include "redwinggw/session/statement_forwarding.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <string>

/// The owner's side of statement forwarding; statement_forwarding.hpp explains
/// why statements are forwarded.
namespace redwinggw::session {

/// What the owner keeps for one connection from another instance: the
/// endpoint's connection, while a transaction is open on it.
struct pinned_link {
  leased_link Link;
};

/// Runs a forwarded statement. Decides only whether this instance may still use
/// the primary: a statement that waited here must not reach one that was
/// replaced meanwhile. It is run once at most; the caller's instance decides
/// whether to retry.
base::task<forwarding_reply> serveForwarded(session_core &Core,
                                            pinned_link &Pinned,
                                            forwarding_request Request);

/// Accepts forwarded statements and configuration requests over TCP. Used from
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

  /// \p Held returns the configuration in force here, which is sent on request.
  void serveConfigurationFrom(std::function<stored_configuration()> Held);

  /// Connections to endpoints that are pinned by other instances' transactions.
  std::size_t pinnedLinks() const;

  /// Closes everything; open transactions are rolled back.
  void stop();

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace redwinggw::session
