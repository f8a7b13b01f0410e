#pragma once

#include "redwinggw/control/configuration.hpp"

#include <optional>
#include <vector>

/// The configuration that one instance has in force. Decisions without I/O.
namespace redwinggw::control {

/// Empty after a start: nothing is in force until the store has been read.
struct config_in_force {
  std::optional<configuration> Configuration;
  /// Keys whose withdrawal was requested here and is not known to be accepted
  /// yet. They are not in Configuration.
  std::vector<customer_key> Withdrawing;
};

/// Puts \p Accepted in force if its version is newer; true when it did. Keys in
/// Withdrawing stay out of force.
bool applyVersion(config_in_force &InForce, configuration Accepted);

/// Takes the key \p KeyId out of force on this instance before its withdrawal
/// is known to be accepted; true when it was in force.
bool withdrawHere(config_in_force &InForce, std::string_view KeyId);

/// Cancels a withdrawal that is known not to be accepted, and puts the key back
/// in force.
void undoWithdrawHere(config_in_force &InForce, std::string_view KeyId);

} // namespace redwinggw::control
