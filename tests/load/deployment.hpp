#pragma once

#include "plan.hpp"
#include "redwinggw/http/address.hpp"

#include <string>
#include <vector>

/// The two users' deployments, in the sizes that the measurements run.
namespace redwinggw::load {

struct deployment {
  std::string Name;
  std::size_t Zones = 0;
  std::vector<std::string> Services;
  unsigned Slots = 0;
  unsigned Connections = 0;
  std::size_t Instances = 0;
  shape Shape = shape::Steady;
};

/// Dulciuri and Aterro, in this order.
const std::vector<deployment> &deployments();

/// "s1", "s2", ...: names of \p Count services.
std::vector<std::string> numberedServices(std::size_t Count);

/// "z1", "z2", ...: the zone of database or instance \p Number.
std::string zoneOf(const deployment &Deployment, std::size_t Number);

/// Eight customers, three of them with a higher rate. At the shape's peak each
/// offers its rate times \p Load.
std::vector<customer_load> customersOf(const deployment &Deployment,
                                       double Load);

/// A customer whose rate is too high to limit the probes.
customer_load probeCustomer();

/// Name of the declared read that the fleet's sheet has for each service.
constexpr const char *DeclaredReadName = "recent";

/// A database and the address that it listens on.
struct database_endpoint {
  std::string Name;
  std::string Service;
  http::address Address;
};

} // namespace redwinggw::load
