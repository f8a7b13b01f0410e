#pragma once

#include "redwinggw/control/relays.hpp"

#include "membership_fleet.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

/// The relays of a simulated fleet.
namespace redwinggw::control::testing {

inline std::vector<std::size_t> relaysOf(const fleet &Fleet) {
  std::vector<std::size_t> Relays;
  for (std::size_t Index = 0; Index < Fleet.Instances.size(); ++Index)
    if (Fleet.Instances[Index].Up && Fleet.Instances[Index].Membership.Relay)
      Relays.push_back(Index);
  return Relays;
}

inline bool allInContact(const fleet &Fleet) {
  return std::ranges::all_of(
      Fleet.Instances, [&](const fleet_instance &Instance) {
        const membership &Membership = Instance.Membership;
        return !Instance.Up ||
               std::ranges::all_of(
                   Membership.Members, [&](const member &Member) {
                     return !Fleet.Instances[indexOf(Member.Name)].Up ||
                            isInContact(Membership, Member, Fleet.Now);
                   });
      });
}

} // namespace redwinggw::control::testing
