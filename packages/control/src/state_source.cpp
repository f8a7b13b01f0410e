#include "redwinggw/control/state_source.hpp"

namespace redwinggw::control {

state_source sourceOf(state_need &Need, const fleet_position &Position,
                      base::instant Now) {
  if (!Position.UsesRelays)
    return state_source::Relays;
  if (!*Position.UsesRelays || (Position.Joined && Position.Relay)) {
    Need.LackingSince.reset();
    return state_source::Store;
  }
  if (!Position.Joined)
    return state_source::Relays;
  if (!Need.LackingSince)
    Need.LackingSince = Now;
  if (Now - *Need.LackingSince <= Need.Patience)
    return state_source::Relays;
  Need.LackingSince.reset();
  return state_source::Store;
}

void noteSupplied(state_need &Need) { Need.LackingSince.reset(); }

} // namespace redwinggw::control
