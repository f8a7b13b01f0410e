#pragma once

#include "platform_inquiries.hpp"

/// The rows by which instances agree on who orders a promotion, and of what.
/// Used from one thread.
namespace redwinggw {

/// The epoch of the newest claim of \p Service that is known; 0 if there is
/// none.
std::uint64_t epochOf(const platform_instance_state &State,
                      const base::service_name &Service);

/// Claims the move of \p Service, whose primary is \p Primary, in the store.
/// Nothing when the store shows a newer claim than is known, when another
/// instance is carrying out a move, or when the store did not answer.
base::task<std::optional<claimed_move>>
claimMove(platform_instance_state &State, base::service_name Service,
          base::endpoint_name Primary);

/// Records the target of \p Decision in the row of \p Claim before its
/// promotion is ordered, and changes the claim to what is recorded. Fails if
/// another instance has claimed a move, of whichever service, or if the store
/// did not answer.
base::task<bool> recordTarget(platform_instance_state &State,
                              session::primary_claim &Claim,
                              session::order_decision Decision);

/// Whether a later version of \p Claim of this instance is known: a target was
/// recorded by a commit whose answer was lost.
bool isRecordedLater(const platform_instance_state &State,
                     const session::primary_claim &Claim);

/// Changes \p Claim to what the store has recorded of it. False if it is not of
/// this instance any more or if the store did not answer.
base::task<bool> readOwnClaim(platform_instance_state &State,
                              session::primary_claim &Claim);

/// Whether \p Claim is still the newest one of its service, and no other
/// instance is known to have become the orderer since. Otherwise an order would
/// carry a lower fencing token than the platform has seen.
bool isOrderer(const platform_instance_state &State,
               const session::primary_claim &Claim);

/// Whether the orderer of \p Claim can order nothing for it any more: this
/// instance has become the orderer since or, for an own claim, another one.
bool hasLostOrders(const platform_instance_state &State,
                   const session::primary_claim &Claim);

/// Whether no order for \p Service that was sent before can take effect any
/// more.
bool areOrdersSettled(const platform_instance_state &State,
                      const base::service_name &Service);

/// Whether a move may begin though the primary serves: no order that another
/// instance sent, or that this one gave up, would delay it.
bool mayBeginPlannedMove(const platform_instance_state &State,
                         const base::service_name &Service);

/// Whether orders of this instance do not alternate with those of another one.
bool isOwnTurn(const platform_instance_state &State);

} // namespace redwinggw
