#pragma once

#include "redwinggw/session/configuration_transfer.hpp"
#include "redwinggw/session/leased_link.hpp"
#include "redwinggw/session/session_core.hpp"
#include "redwinggw/session/statement_forwarding.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <string>

/// The owner's side of statements that others pass on; statement_forwarding.hpp
/// tells why they do.
namespace redwinggw::session {

/// What the owner holds for one way of another instance: a connection while a
/// transaction is open on it.
struct pinned_link {
  leased_link Link;
};

/// Runs a passed-on statement. Decides nothing about it but whether this
/// instance may still use the primary: a statement that waited here must not
/// reach one that was replaced meanwhile. It is run once at most; the caller's
/// instance decides whether to try again.
base::task<forwarding_reply> serveForwarded(session_core &Core,
                                            pinned_link &Pinned,
                                            forwarding_request Request);

/// Takes passed-on statements and requests for the configuration over TCP. Used
/// from one thread; \p Core outlives it.
class forwarding_server {
public:
  /// Requests have to be signed with \p Secret.
  forwarding_server(boost::asio::any_io_executor Executor, session_core &Core,
                    std::string Secret);
  forwarding_server(const forwarding_server &) = delete;
  forwarding_server &operator=(const forwarding_server &) = delete;
  ~forwarding_server();

  /// Fails with errc::BadSettings when the address cannot be bound.
  base::result<http::address> listen(const http::address &Address);

  /// \p Held gives the configuration in force here, to be handed on.
  void serveConfigurationFrom(std::function<stored_configuration()> Held);

  /// Connections of endpoints that are held for others' transactions.
  std::size_t pinnedLinks() const;

  /// Closes everything; what is held is rolled back.
  void stop();

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace redwinggw::session
