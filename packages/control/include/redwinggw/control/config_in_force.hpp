#pragma once

#include "redwinggw/control/configuration.hpp"

#include <optional>
#include <vector>

/// What one instance has in force, as decisions without I/O.
namespace redwinggw::control {

/// Nothing is in force until the store has been read: a restarted instance
/// starts from here.
struct config_in_force {
  std::optional<configuration> Configuration;
  /// Keys whose withdrawal was asked for here and is not accepted yet, as far
  /// as is known. They are not in Configuration.
  std::vector<customer_key> Withdrawing;
};

/// Puts \p Accepted in force unless its version is not newer; true when it
/// did. Keys in Withdrawing stay out of force.
bool applyVersion(config_in_force &InForce, configuration Accepted);

/// Takes the key \p KeyId out of force here, before its withdrawal is known to
/// be accepted; true when it was in force.
bool withdrawHere(config_in_force &InForce, std::string_view KeyId);

/// Forgets a withdrawal that was proved not to be accepted, and puts the key
/// back in force.
void undoWithdrawHere(config_in_force &InForce, std::string_view KeyId);

} // namespace redwinggw::control
