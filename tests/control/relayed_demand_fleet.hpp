#pragma once

#include "demand_fleet.hpp"

#include <cstddef>
#include <vector>

/// A fleet large enough for relays, in several availability zones in turn.
namespace redwinggw::control::testing {

constexpr std::size_t Count = 40;
constexpr std::size_t Zones = 4;

inline demand_fleet relayedFleet(double Rate, double Burst) {
  constexpr std::size_t DirectLimit = 16;
  return demand_fleet(Count, Rate, Burst, DirectLimit, Zones);
}

/// The same demand at each instance, \p Rate in all.
inline std::vector<double> evenly(double Rate) {
  return std::vector<double>(Count, Rate / Count);
}

} // namespace redwinggw::control::testing
