#pragma once

#include "redwinggw/base/time.hpp"

#include <optional>

/// Decides where an instance gets a state that the platform's store holds: from
/// the store, or from the relays of its availability zone. Decisions without
/// I/O.
///
/// The load that this is for: hundreds of instances that start, or learn of a
/// change, at the same moment. If each read the store, the bytes and the time
/// would grow with the fleet; so only relays read it, and the others get the
/// state from them. An instance that gets nothing in time reads the store, so
/// the loss of relays delays it, and does not leave it without the state.
namespace redwinggw::control {

enum class state_source {
  /// Read the store now.
  Store,
  /// Ask the relays, as far as they are known, and decide again.
  Relays,
};

/// What an instance knows of its fleet.
struct fleet_position {
  /// The fleet uses relays; nothing before the first read of its rows.
  std::optional<bool> UsesRelays;
  /// This instance has sent its first heartbeats, so its relays are known.
  bool Joined = false;
  /// It is a relay itself.
  bool Relay = false;
};

/// One state that may be lacking. Not thread safe.
struct state_need {
  /// How long the relays are relied on. A relay reads a state within a few
  /// hundred milliseconds, and where relays have died, others take their place
  /// within three heartbeats.
  base::milliseconds Patience{1500};
  std::optional<base::instant> LackingSince;
};

/// Where to get a state that is lacking at \p Now. An instance that has not
/// joined cannot serve whatever it has, so its wait does not count.
state_source sourceOf(state_need &Need, const fleet_position &Position,
                      base::instant Now);

/// Records that the state is not lacking any more.
void noteSupplied(state_need &Need);

} // namespace redwinggw::control
