#pragma once

#include "platform_instance_state.hpp"

/// States that instances take from the relays of their availability zone.
namespace redwinggw {

/// What this instance sends to others on request.
session::transferred_state stateHeld(platform_instance_state &State,
                                     const session::transfer_request &Request);
/// Whether to ask the relays for a state that is lacking; after false this
/// instance reads the store.
bool shouldAskRelays(const platform_instance_state &State,
                     control::state_need &Need);
/// Fetches a state from the relays, one after the other. If none has a newer
/// one than \p Held, or all are busy, the version is 0, after a pause.
base::task<session::transferred_state>
fetchFromRelays(platform_instance_state &State, session::state_kind Kind,
                std::uint64_t Held);
/// Whether the first relay that answers has another list of instances.
bool listDiffersFromRelay(const platform_instance_state &State);

} // namespace redwinggw
