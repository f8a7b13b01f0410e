#pragma once

#include "native_fleet.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace redwinggw::soak {

/// An order as an instance sent it.
struct sent_order {
  std::string Orderer;
  std::uint64_t Token = 0;
  std::string Service;
  std::string Database;
  base::instant SentAt;
};

/// Records the orders that each instance sends. \p Sent outlives the fleet's
/// links and is read in runOnThread() only.
void recordOrders(fleet::native_fleet &Fleet, std::vector<sent_order> &Sent);

} // namespace redwinggw::soak
