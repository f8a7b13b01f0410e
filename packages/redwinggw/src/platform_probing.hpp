#pragma once

#include "platform_instance_state.hpp"

/// Status probes of endpoints over new connections.
namespace redwinggw {

/// Asks an endpoint for its status over a new connection; fails after \p Time.
/// With \p Limited, its pool, the question takes a token while the endpoint is
/// cold, and without one only the connection is set up. The caller has taken
/// the token for the set-up, or may inquire without tokens.
base::task<session::status_exchange> askStatus(platform_instance_state &State,
                                               session::endpoint_entry Entry,
                                               base::milliseconds Time,
                                               session::pool_ptr Limited);
/// Probes the primaries at which statements failed or remain unanswered; while
/// one is cold only with tokens.
void probePrimariesInDoubt(const platform_instance_ptr &State);

} // namespace redwinggw
