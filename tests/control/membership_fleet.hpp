#pragma once

#include "redwinggw/control/config_freshness.hpp"
#include "redwinggw/control/membership.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <ranges>
#include <string>
#include <vector>

/// Several memberships in one test, with simulated time and links that the test
/// can cut.
namespace redwinggw::control::testing {

using base::instant;
using base::milliseconds;

struct fleet_instance {
  membership Membership;
  config_freshness_state Freshness;
  base::config_version Version = 1;
  bool Up = true;
  bool SeesStore = true;
};

struct fleet {
  std::vector<fleet_instance> Instances;
  base::config_version Head = 1;
  instant Now{milliseconds(1'000'000)};
  /// Whether datagrams from the first to the second instance arrive.
  std::function<bool(std::size_t, std::size_t)> Connected =
      [](std::size_t, std::size_t) { return true; };
};

inline std::string nameOf(std::size_t Index) {
  std::string Name = "i";
  Name += std::to_string(Index);
  return Name;
}

inline storage::listed_instance listed(std::size_t Index) {
  storage::listed_instance Instance;
  Instance.Name = nameOf(Index);
  Instance.Zone = Index % 2 == 0 ? "z0" : "z1";
  return Instance;
}

inline std::size_t indexOf(const std::string &Name) {
  return std::stoul(Name.substr(1));
}

inline fleet makeFleet(std::size_t Count, membership_limits Limits = {},
                       config_freshness_limits Freshness = {}) {
  fleet Fleet;
  std::vector<storage::listed_instance> List;
  std::ranges::transform(std::views::iota(std::size_t{0}, Count),
                         std::back_inserter(List), listed);
  for (const storage::listed_instance &Self : List) {
    fleet_instance &Instance = Fleet.Instances.emplace_back();
    Instance.Membership = makeMembership({Self.Name, Self.Zone, 100}, Limits);
    Instance.Freshness.Limits = Freshness;
    onList(Instance.Membership, List, Fleet.Now);
  }
  return Fleet;
}

/// Delivers datagrams, and the replies to them, at once over the links that are
/// up.
inline void deliver(fleet &Fleet, std::vector<peer_send> Sends) {
  for (const peer_send &Send : Sends) {
    const std::size_t From = indexOf(Send.Datagram.Sender);
    const std::size_t To = indexOf(Send.Datagram.Receiver);
    fleet_instance &Receiver = Fleet.Instances[To];
    if (!Receiver.Up || !Fleet.Connected(From, To) ||
        !admitDatagram(Receiver.Membership, Send.Datagram))
      continue;
    deliver(Fleet, onHeartbeat(Receiver.Membership, Send.Datagram, Fleet.Now));
  }
}

/// Simulates \p Time: heartbeats, and a read of the store every 250 ms that
/// puts the version read in force.
inline void run(fleet &Fleet, milliseconds Time) {
  constexpr milliseconds Step{50};
  constexpr milliseconds ReadInterval{250};
  const instant End = Fleet.Now + Time;
  while (Fleet.Now < End) {
    Fleet.Now += Step;
    const bool ReadDue =
        Fleet.Now.time_since_epoch() % ReadInterval == milliseconds(0);
    for (fleet_instance &Instance : Fleet.Instances) {
      if (!Instance.Up)
        continue;
      if (Instance.SeesStore && ReadDue) {
        onStoreRead(Instance.Membership, Fleet.Now, Fleet.Now, Fleet.Head);
        Instance.Version = Fleet.Head;
      }
      deliver(Fleet, onTick(Instance.Membership, Fleet.Now));
    }
  }
}

inline config_freshness evaluateAt(fleet &Fleet, std::size_t Index) {
  fleet_instance &Instance = Fleet.Instances[Index];
  return evaluateConfigFreshness(Instance.Freshness, Instance.Membership,
                                 Instance.Version, Fleet.Now);
}

/// Runs for \p Time and evaluates the freshness every 50 ms, as an instance
/// does.
inline config_freshness evaluateAfter(fleet &Fleet, std::size_t Index,
                                      milliseconds Time) {
  constexpr milliseconds Step{50};
  config_freshness Last = evaluateAt(Fleet, Index);
  for (milliseconds Past{0}; Past < Time; Past += Step) {
    run(Fleet, Step);
    Last = evaluateAt(Fleet, Index);
  }
  return Last;
}

} // namespace redwinggw::control::testing
