#pragma once

#include "platform_instance_state.hpp"

#include <map>
#include <set>
#include <utility>

/// Content of the heartbeats that instances send each other, and what the
/// members report.
namespace redwinggw {

/// Registers the handlers of heartbeats with the peer service.
void connectPeers(platform_instance_state &State);
/// Puts the known claims of primaries into the heartbeats from now on.
void announceClaims(platform_instance_state &State);
/// Whether this instance is the store reader: the first in rank of those that
/// are alive and had an answer of the store lately. It reads the store for the
/// others, and only it begins new moves of primaries and removes the rows of
/// dead instances.
bool isStoreReader(const platform_instance_state &State);
/// Whether another instance that is alive reads the store for this one.
bool hasStoreReader(const platform_instance_state &State);
/// The highest row version of the configuration that another instance reports.
std::uint64_t newestConfigurationRow(const platform_instance_state &State);
/// What the members report about primaries, collected once for all services.
struct primary_reports {
  /// How many instances suspect each primary, by service and primary, this
  /// instance not included.
  std::map<std::pair<base::service_name, base::endpoint_name>, std::size_t>
      Suspects;
  /// The other instances that are up.
  std::set<base::instance_name, std::less<>> Up;
};
primary_reports collectPrimaryReports(const platform_instance_state &State);
/// How many instances suspect the primary of \p Service, this one included.
std::size_t countSuspects(const platform_instance_state &State,
                          const primary_reports &Reports,
                          const base::service_name &Service);

} // namespace redwinggw
