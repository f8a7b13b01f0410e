#pragma once

#include "platform_inquiries.hpp"

#include <string>

/// Executes claimed moves. Used from one thread.
namespace redwinggw {

/// Executes a claimed move: waits for the acknowledgements, finds a target, has
/// it promoted and announces it. True when the service has a primary again;
/// false when the move was not acknowledged in time or another instance has
/// become the orderer.
base::task<bool> executeMove(platform_instance_state &State, claimed_move Move);

/// \name Steps of executeMove
/// @{
/// Records which instances have acknowledged \p Claim.
void observeAcknowledgements(const platform_instance_state &State,
                             const session::primary_claim &Claim,
                             session::move_acknowledgements &Acknowledged);

/// Records the target of \p Decision in \p Claim and its row, orders its
/// promotion once and waits for the effect. The term that the target leads
/// then; nothing if the order was not sent, not accepted or without effect.
base::task<std::optional<base::term_number>>
promote(platform_instance_state &State, session::primary_claim &Claim,
        session::order_decision Decision, inquiry_rounds &Rounds);
/// @}

void logMove(const std::string &Service, const std::string &Text);

} // namespace redwinggw
