#pragma once

#include "platform_instance_state.hpp"

/// Which endpoint is each service's primary, and whether this instance may use
/// it.
namespace redwinggw {

/// Whether the claims known here may be trusted: this instance would have
/// learned of a promotion by now, from the store or from a majority of the
/// instances. True unless its config freshness is Isolated.
bool mayTrustClaims(platform_instance_state &State);
/// Records whether a request to the store was answered, and logs a change.
void noteStoreResult(platform_instance_state &State, bool Answered,
                     std::string_view Reason);
/// The lease under which this instance may use the primary of \p Service;
/// nothing while the primary is being replaced or the contact with the fleet is
/// lost.
std::optional<session::primary_lease>
primaryLeaseFor(platform_instance_state &State, std::string_view Service);
/// The primary of \p Service by the newest claim; where there is no claim, by
/// the endpoint list or the record of holders. Empty when none is known.
base::endpoint_name primaryOf(const platform_instance_state &State,
                              std::string_view Service);
/// How long the running move of the primary of \p Service is expected to take
/// from now; nothing when none runs or when it takes too long.
std::optional<base::milliseconds>
primaryExpected(const platform_instance_state &State, std::string_view Service);
/// Acknowledges all moves that were begun with \p Epoch or earlier. While a
/// promotion order of this instance is unanswered, moves of other instances
/// wait for a later call. Precondition: their claims have been applied.
void acknowledgeClaims(platform_instance_state &State, std::uint64_t Epoch);
/// Applies a claim; false when it is not newer than the known one.
bool acceptClaim(platform_instance_state &State,
                 const session::primary_claim &Claim);
/// Whether this instance suspects that the primary of \p Service has failed.
bool suspects(const platform_instance_state &State, std::string_view Service);
/// The services whose primary this instance suspects. Precondition: a
/// configuration is in force.
std::vector<base::service_name>
suspectServices(const platform_instance_state &State);

} // namespace redwinggw
