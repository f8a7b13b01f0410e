#pragma once

#include "redwinggw/base/task.hpp"
#include "redwinggw/http/address.hpp"
#include "redwinggw/session/deadline_watch.hpp"
#include "redwinggw/session/state_transfer.hpp"
#include "redwinggw/session/statement_forwarding.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>
#include <string_view>

/// Forwards statements to the owners of endpoints' connections.
namespace redwinggw::session {

/// An owner, and where it accepts forwarded statements.
struct connection_owner {
  base::instance_name Name;
  http::address Address;
  base::zone_name Zone;
};

/// Used from one thread. \p Watch outlives it; links may outlive it.
class forwarding_client {
public:
  forwarding_client(boost::asio::any_io_executor Executor,
                    deadline_watch &Watch, std::string Secret);
  forwarding_client(const forwarding_client &) = delete;
  forwarding_client &operator=(const forwarding_client &) = delete;
  ~forwarding_client();

  /// Whether \p Owner may be used: it has not left a statement without an
  /// answer recently.
  bool isUsable(std::string_view Owner, base::instant Now) const;

  /// A link that forwards to \p Owner for \p Endpoint, for a route of
  /// \p Priority. Connects on first use.
  std::unique_ptr<forwarding_link> linkTo(const connection_owner &Owner,
                                          base::endpoint_name Endpoint,
                                          base::customer_name Customer,
                                          unsigned Priority);

  /// Fetches a state from the instance \p From. The version is 0 if that has
  /// none newer than the requested one, is sending it to others, or does not
  /// answer.
  base::task<transferred_state> fetchState(connection_owner From,
                                           transfer_request Request);

  /// Closes the idle connections to \p Owner: it was unreachable, and may have
  /// dropped them.
  void closeIdle(std::string_view Owner);

  /// Ends what was forwarded to \p Owner, which does not answer any more:
  /// statements that were sent may have run, the others have not; transactions
  /// that are open there are rolled back. No effect while it has answered a
  /// statement recently: then only its heartbeats are lost.
  void abandon(std::string_view Owner, base::instant Now);

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace redwinggw::session
