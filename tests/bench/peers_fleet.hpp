#pragma once

#include "redwinggw/control/demand_shares.hpp"
#include "redwinggw/control/membership.hpp"
#include "redwinggw/control/share_node.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// A fleet in one process for benchmarks, with serialised datagrams and
/// simulated time. Used from one thread.
namespace redwinggw::bench {

inline const std::string Key = "a fleet key of usual length";
/// Of IP and UDP.
constexpr std::size_t HeaderBytes = 28;

/// What was sent, with the headers of IP and UDP.
struct traffic {
  double Datagrams = 0;
  double Bytes = 0;
};

/// Services whose log positions heartbeats carry.
constexpr std::size_t Services = 7;

struct bench_node {
  control::membership Membership;
  control::share_node Shares;
  control::demand_shares Demands;
  /// When the newest log position of each service was sampled, here or
  /// elsewhere.
  std::array<base::instant, Services> SampledAt{};
  traffic Sent;
};

struct bench_fleet {
  std::vector<bench_node> Nodes;
  base::instant Now{base::milliseconds(100'000)};
  traffic Traffic;
  /// Heartbeats by the scope of their digest.
  std::map<wire::digest_scope, traffic> ByScope;
  std::uint64_t Spent = 0;
  std::uint64_t Waited = 0;
  std::map<std::string, storage::row> Table;
  std::uint64_t Version = 0;
};

std::string nodeName(std::size_t Index);

/// Instances in six zones that know each other from the list.
bench_fleet makeFleet(std::size_t Count);

/// Performs what the shares of instance \p Index decided.
void carryOut(bench_fleet &Fleet, std::size_t Index,
              control::share_actions Actions);

/// Lets each instance send the heartbeats that are due.
void heartbeats(bench_fleet &Fleet);

} // namespace redwinggw::bench
