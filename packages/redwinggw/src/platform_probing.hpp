#pragma once

#include "platform_instance_state.hpp"

/// Status probes of endpoints over new connections.
namespace redwinggw {

/// A question for an endpoint's status, or a command that is answered with it.
struct status_request {
  session::status_command Command = session::status_command::Ask;
  /// Term of the command; not used by Ask.
  base::term_number Term = 0;
};

/// Sends \p Request to an endpoint over a new connection; fails after \p Time.
/// With \p Limited, its pool, the question takes a token while the endpoint is
/// cold, and without one only the connection is set up. The caller has taken
/// the token for the set-up, or may inquire without tokens.
base::task<session::status_exchange> askStatus(platform_instance_state &State,
                                               session::endpoint_entry Entry,
                                               base::milliseconds Time,
                                               session::pool_ptr Limited,
                                               status_request Request = {});
/// Probes the primaries at which statements failed or remain unanswered; while
/// one is cold only with tokens.
void probePrimariesInDoubt(const platform_instance_ptr &State);

} // namespace redwinggw
