#include "redwinggw/session/standby_owner.hpp"

#include <algorithm>

namespace redwinggw::session {
namespace {

constexpr std::size_t Whole = 100;
/// Percentage of an endpoint's connections that its owner may open at any time.
/// The rest is for the standby owner, for instances that cannot reach the
/// owners, and for probes.
constexpr std::size_t OwnedPercent = 85;
/// Percentage that the owner keeps open when idle. An endpoint counts the
/// connections of an instance that lost power for three more seconds: with less
/// than half of them open, the next owner can still open as many as it needs.
constexpr std::size_t KeptPercent = 45;
/// Percentage up to which, with connection_policy::Demand, the connections of
/// customers with steady demand are kept. The next owner can open the rest
/// at once, while the endpoint still counts those of the former one.
constexpr std::size_t SteadyPercent = 70;

/// At least one connection.
std::size_t partOf(std::size_t Accepted, std::size_t Percent) {
  return std::max<std::size_t>(1, Accepted * Percent / Whole);
}

pool_limits ownerLimits(std::size_t Accepted) {
  pool_limits Limits;
  Limits.Connections = partOf(Accepted, OwnedPercent);
  Limits.KeptConnections = partOf(Accepted, KeptPercent);
  Limits.SteadyConnections = partOf(Accepted, SteadyPercent);
  Limits.MaxConnections = std::max(Limits.Connections, Accepted);
  return Limits;
}

/// The owner may be alive and serve others, so the standby opens none of its
/// part. It keeps none when idle.
pool_limits standbyLimits(std::size_t Accepted) {
  pool_limits Limits;
  const std::size_t Rest =
      Accepted - std::min(Accepted, partOf(Accepted, OwnedPercent));
  Limits.Connections = std::max<std::size_t>(1, Rest);
  Limits.KeptConnections = 0;
  Limits.SteadyConnections = 0;
  Limits.MaxConnections = Limits.Connections;
  return Limits;
}

} // namespace

owner_role roleOf(const connection_owners &Owners, std::string_view Self) {
  if (Owners.Owner == Self)
    return owner_role::Owner;
  return Owners.Standby == Self ? owner_role::Standby : owner_role::Other;
}

pool_limits limitsFor(owner_role Role, std::size_t Accepted,
                      std::size_t Instances) {
  if (Role == owner_role::Owner)
    return ownerLimits(Accepted);
  if (Role == owner_role::Standby)
    return standbyLimits(Accepted);
  pool_limits Limits;
  // Few, since only statements that no owner can run use them.
  Limits.Connections = 1;
  Limits.MaxConnections = std::max<std::size_t>(1, 2 * Accepted / Instances);
  return Limits;
}

base::instance_name
runnerOf(const connection_owners &Owners, std::string_view Self,
         const std::function<bool(std::string_view Instance)> &IsUsable) {
  for (const base::instance_name &Name : {Owners.Owner, Owners.Standby})
    if (!Name.empty() && (Name == Self || IsUsable(Name)))
      return Name;
  return {};
}

} // namespace redwinggw::session
