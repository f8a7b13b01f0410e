#pragma once

#include "relayed_demand_fleet.hpp"

#include <vector>

#include "criterion_test.hpp"

/// Fleets in which one instance owns a customer's whole bucket, and what such a
/// fleet admits.
namespace redwinggw::control::testing {

inline demand_fleet centralizedFleet(double Rate, double Burst) {
  demand_fleet Fleet = relayedFleet(Rate, Burst);
  Fleet.Centralizes = true;
  return Fleet;
}

inline std::vector<std::size_t> ownersOf(const demand_fleet &Fleet) {
  std::vector<std::size_t> Owners;
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (!Fleet.isDead(Index) &&
        Fleet.Shares[Index].Accounts.at("acme").OwnedHere)
      Owners.push_back(Index);
  return Owners;
}

/// The shares of the only owner of the customer's bucket.
inline demand_shares &ownerShares(demand_fleet &Fleet) {
  const auto Owners = ownersOf(Fleet);
  cr_assert(Owners.size() == 1);
  return Fleet.Shares[Owners.front()];
}

/// Runs a flood; returns whether each five seconds of it stayed within the
/// rate.
inline bool keepsRate(demand_fleet &Fleet, double Rate, int Windows = 3) {
  for (int Window = 0; Window < Windows; ++Window) {
    const std::size_t Before = Fleet.Spent;
    Fleet.load(evenly(6 * Rate), milliseconds(5000));
    const auto Used = static_cast<double>(Fleet.Spent - Before);
    if (Used > allowed(Rate, Rate, 5))
      return false;
  }
  return true;
}

/// The fraction refused of a demand of \p Rate for ten seconds.
inline double refusedFraction(demand_fleet &Fleet, double Rate) {
  const std::size_t Before = Fleet.Spent;
  const auto Refused =
      static_cast<double>(Fleet.load(evenly(Rate), milliseconds(10'000)));
  return Refused / (static_cast<double>(Fleet.Spent - Before) + Refused);
}

} // namespace redwinggw::control::testing
