#pragma once

#include "redwinggw/control/share_node.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <random>
#include <ranges>
#include <set>
#include <string>
#include <vector>

/// Consumers, allocators, one table and a lossy network in one test, driven by
/// a seeded generator and simulated time.
namespace redwinggw::control::testing {

using base::instant;
using base::microseconds;
using base::milliseconds;

struct network_faults {
  double Drop = 0;
  double Double = 0;
  /// Each datagram takes 1 ms and up to this much more, so that they overtake
  /// each other.
  microseconds Jitter{1000};
  /// Fraction of the store's answers that are lost after the commit took
  /// effect.
  double LoseAnswer = 0;
};

struct fleet_node {
  membership Membership;
  share_node Shares;
  /// The clocks of two instances never agree.
  microseconds Offset{0};
  bool Up = true;
  bool Paused = false;
  bool ReachesStore = true;
  /// What arrived during a pause and is processed after it.
  std::vector<std::function<void()>> Waiting;
};

/// A token that was spent, by the test's own clock.
struct spending {
  base::customer_name Customer;
  instant At;
};

struct share_fleet {
  std::vector<fleet_node> Nodes;
  std::vector<storage::listed_instance> List;
  std::map<std::string, storage::row> Table;
  std::uint64_t LastVersion = 0;
  bool StoreUp = true;
  network_faults Faults;
  std::set<std::pair<std::size_t, std::size_t>> Cuts;
  std::mt19937 Random;
  instant Now{milliseconds(10'000)};
  std::multimap<instant, std::function<void()>> Events;
  std::vector<spending> History;
  std::uint64_t Refused = 0;
};

inline std::string nodeName(std::size_t Index) {
  std::string Name = "n";
  Name += std::to_string(Index);
  return Name;
}

inline std::size_t nodeIndex(const std::string &Name) {
  return std::stoul(Name.substr(1));
}

inline instant clockOf(const share_fleet &Fleet, std::size_t Index) {
  return Fleet.Now + Fleet.Nodes[Index].Offset;
}

inline double chance(share_fleet &Fleet) {
  return std::uniform_real_distribution<>(0, 1)(Fleet.Random);
}

inline microseconds delay(share_fleet &Fleet) {
  const double Jitter = static_cast<double>(Fleet.Faults.Jitter.count());
  return microseconds(1000 + static_cast<std::int64_t>(chance(Fleet) * Jitter));
}

inline void after(share_fleet &Fleet, microseconds Time,
                  std::function<void()> What) {
  Fleet.Events.emplace(Fleet.Now + Time, std::move(What));
}

/// Runs \p What in node \p Index now, or when its pause ends.
inline void inNode(share_fleet &Fleet, std::size_t Index,
                   const std::function<void()> &What) {
  fleet_node &Node = Fleet.Nodes[Index];
  if (Node.Paused)
    Node.Waiting.push_back(What);
  else if (Node.Up)
    What();
}

inline void carryOut(share_fleet &Fleet, std::size_t Index,
                     share_actions Actions);

inline void receive(share_fleet &Fleet, std::size_t To,
                    const wire::datagram &Datagram);

inline void transmit(share_fleet &Fleet, const wire::datagram &Datagram) {
  const std::size_t From = nodeIndex(Datagram.Sender);
  const std::size_t To = nodeIndex(Datagram.Receiver);
  if (Fleet.Cuts.contains({From, To}) || chance(Fleet) < Fleet.Faults.Drop)
    return;
  const int Copies = chance(Fleet) < Fleet.Faults.Double ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy)
    after(Fleet, delay(Fleet), [&Fleet, To, Datagram] {
      inNode(Fleet, To,
             [&Fleet, To, Datagram] { receive(Fleet, To, Datagram); });
    });
}

inline void receive(share_fleet &Fleet, std::size_t To,
                    const wire::datagram &Datagram) {
  fleet_node &Node = Fleet.Nodes[To];
  // Share messages bypass the membership's checks: their own guards are under
  // test.
  const auto *Share = std::get_if<wire::share_message>(&Datagram.Body);
  if (Share != nullptr) {
    carryOut(Fleet, To,
             onShareMessage(Node.Shares, Node.Membership, Datagram.Sender,
                            *Share, clockOf(Fleet, To)));
    return;
  }
  if (admitDatagram(Node.Membership, Datagram))
    onHeartbeat(Node.Membership, Datagram, clockOf(Fleet, To));
}

inline std::optional<std::vector<std::uint64_t>>
applyCommit(share_fleet &Fleet, const storage::commit_request &Request) {
  const bool Holds =
      std::ranges::all_of(Request.Checks, [&](const storage::check &Check) {
        return Fleet.Table[Check.Key].Version == Check.Version;
      });
  if (!Holds)
    return std::nullopt;
  std::vector<std::uint64_t> Versions;
  std::ranges::transform(
      Request.Puts, std::back_inserter(Versions), [&](const storage::put &Put) {
        Fleet.Table[Put.Key] = {Put.Key, ++Fleet.LastVersion, Put.Value};
        return Fleet.LastVersion;
      });
  return Versions;
}

inline bool reaches(const share_fleet &Fleet, std::size_t Index) {
  return Fleet.StoreUp && Fleet.Nodes[Index].ReachesStore;
}

inline void startCommit(share_fleet &Fleet, std::size_t Index,
                        const storage::commit_request &Request) {
  const bool Sent = reaches(Fleet, Index);
  after(Fleet, delay(Fleet), [&Fleet, Index, Request, Sent] {
    const bool Known = Sent && chance(Fleet) >= Fleet.Faults.LoseAnswer;
    const auto Effect = Sent ? applyCommit(Fleet, Request) : std::nullopt;
    const auto Answer = Known ? Effect : std::nullopt;
    after(Fleet, delay(Fleet), [&Fleet, Index, Known, Answer] {
      inNode(Fleet, Index, [&Fleet, Index, Known, Answer] {
        fleet_node &Node = Fleet.Nodes[Index];
        if (Known)
          onStoreContact(Node.Membership, clockOf(Fleet, Index));
        onCommitAnswer(Node.Shares, Answer, clockOf(Fleet, Index));
      });
    });
  });
}

inline void startRead(share_fleet &Fleet, std::size_t Index) {
  std::optional<std::vector<storage::row>> Rows;
  if (reaches(Fleet, Index)) {
    Rows.emplace();
    std::ranges::copy_if(
        std::views::values(Fleet.Table), std::back_inserter(*Rows),
        [](const storage::row &Row) { return Row.Version > 0; });
  }
  after(Fleet, delay(Fleet), [&Fleet, Index, Rows] {
    inNode(Fleet, Index, [&Fleet, Index, Rows] {
      fleet_node &Node = Fleet.Nodes[Index];
      if (Rows)
        onStoreContact(Node.Membership, clockOf(Fleet, Index));
      onRows(Node.Shares, Rows, clockOf(Fleet, Index));
    });
  });
}

inline void noteSpent(share_fleet &Fleet, const base::customer_name &Customer) {
  Fleet.History.push_back({Customer, Fleet.Now});
}

/// All requests of these tests are of this customer.
inline const base::customer_name TestCustomer = "sweets";

inline void carryOut(share_fleet &Fleet, std::size_t Index,
                     share_actions Actions) {
  fleet_node &Node = Fleet.Nodes[Index];
  for (share_send &Send : Actions.Sends) {
    wire::datagram Datagram =
        nextDatagram(Node.Membership, Send.To, clockOf(Fleet, Index));
    Datagram.Body = std::move(Send.Message);
    transmit(Fleet, Datagram);
  }
  for (const share_verdict &Verdict : Actions.Verdicts) {
    if (Verdict.Admitted)
      noteSpent(Fleet, TestCustomer);
    else
      ++Fleet.Refused;
  }
  if (Actions.Commit)
    startCommit(Fleet, Index, *Actions.Commit);
  if (Actions.Read)
    startRead(Fleet, Index);
}

/// A request of the customer arrives at node \p Index.
inline void request(share_fleet &Fleet, std::size_t Index) {
  // The default timeout of callers.
  constexpr milliseconds Timeout{5000};
  fleet_node &Node = Fleet.Nodes[Index];
  if (!Node.Up || Node.Paused)
    return;
  const instant Now = clockOf(Fleet, Index);
  if (takeToken(Node.Shares.Consumer, TestCustomer, Now)) {
    noteSpent(Fleet, TestCustomer);
    return;
  }
  waitForToken(Node.Shares.Consumer, TestCustomer, Now, Now + Timeout);
  carryOut(Fleet, Index, requestTokens(Node.Shares, Node.Membership, Now));
}

inline void step(share_fleet &Fleet) {
  constexpr milliseconds Step{1};
  constexpr milliseconds ShareTick{5};
  constexpr milliseconds MembershipTick{50};
  constexpr milliseconds ConfigurationRead{250};
  Fleet.Now += Step;
  while (!Fleet.Events.empty() && Fleet.Events.begin()->first <= Fleet.Now)
    Fleet.Events.extract(Fleet.Events.begin()).mapped()();
  const auto Due = [&](milliseconds Interval) {
    return Fleet.Now.time_since_epoch() % Interval == milliseconds(0);
  };
  for (std::size_t Index = 0; Index < Fleet.Nodes.size(); ++Index) {
    fleet_node &Node = Fleet.Nodes[Index];
    const instant Now = clockOf(Fleet, Index);
    if (!Node.Up || Node.Paused)
      continue;
    if (Due(ConfigurationRead) && reaches(Fleet, Index))
      onStoreRead(Node.Membership, Now, Now, 1);
    if (Due(MembershipTick))
      for (const peer_send &Send : onTick(Node.Membership, Now))
        transmit(Fleet, Send.Datagram);
    if (Due(ShareTick))
      carryOut(Fleet, Index, onShareTick(Node.Shares, Node.Membership, Now));
  }
}

inline void resumeNode(share_fleet &Fleet, std::size_t Index) {
  fleet_node &Node = Fleet.Nodes[Index];
  Node.Paused = false;
  // A process that resumes may serve its callers before it reads its sockets.
  for (int Count = 0; Count < 50; ++Count)
    request(Fleet, Index);
  for (const auto &What : std::exchange(Node.Waiting, {}))
    What();
}

inline share_fleet makeShareFleet(std::size_t Count, unsigned Seed, double Rate,
                                  double Burst, share_settings Settings = {}) {
  share_fleet Fleet;
  Fleet.Random.seed(Seed);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Fleet.List.emplace_back().Name = nodeName(Index);
    Fleet.List.back().Zone = "z";
  }
  Settings.Partitions = 1;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    fleet_node &Node = Fleet.Nodes.emplace_back();
    Node.Offset = std::chrono::seconds(1000 * Index);
    Node.Membership = makeMembership({nodeName(Index), "z", 100});
    onList(Node.Membership, Fleet.List, clockOf(Fleet, Index));
    Node.Shares = makeShareNode(nodeName(Index), 100, Settings);
    const std::vector<customer> Customers{{TestCustomer, Rate, Burst}};
    applyPlans(Node.Shares, Customers, clockOf(Fleet, Index));
  }
  return Fleet;
}

/// The node that holds the lease and may allocate; the number of nodes if none.
inline std::size_t allocatorIndex(const share_fleet &Fleet) {
  const auto Found =
      std::ranges::find_if(Fleet.Nodes, [](const fleet_node &Node) {
        return Node.Up && Node.Shares.Leases[0].Holding;
      });
  return static_cast<std::size_t>(Found - Fleet.Nodes.begin());
}

/// The bucket of a single process: what the customer is entitled to.
struct ideal_bucket {
  double Rate = 0;
  double Burst = 0;
  double Tokens = 0;
  instant At;
};

inline bool takeIdeal(ideal_bucket &Bucket, instant Now) {
  const double Past = std::chrono::duration<double>(Now - Bucket.At).count();
  Bucket.Tokens = std::min(Bucket.Burst, Bucket.Tokens + Bucket.Rate * Past);
  Bucket.At = Now;
  const bool Has = Bucket.Tokens >= 1;
  Bucket.Tokens -= Has ? 1 : 0;
  return Has;
}

/// Runs \p PerSecond requests per second, each at a node that \p Pick chooses.
/// With \p Entitled, only requests that it allows are made. Returns their
/// count.
inline std::uint64_t runLoad(share_fleet &Fleet, milliseconds Time,
                             double PerSecond,
                             const std::function<std::size_t()> &Pick,
                             ideal_bucket *Entitled = nullptr) {
  const instant End = Fleet.Now + Time;
  double NextIn = 0;
  std::uint64_t Made = 0;
  std::exponential_distribution<> Gap(PerSecond / 1000);
  while (Fleet.Now < End) {
    step(Fleet);
    NextIn -= 1;
    for (; NextIn <= 0; NextIn += Gap(Fleet.Random)) {
      if (Entitled != nullptr && !takeIdeal(*Entitled, Fleet.Now))
        continue;
      ++Made;
      request(Fleet, Pick());
    }
  }
  return Made;
}

/// Chooses any node, for runLoad.
inline auto anyNode(share_fleet &Fleet) {
  return [&Fleet] { return Fleet.Random() % Fleet.Nodes.size(); };
}

/// The allocator starts to drain and announces that it leaves.
inline void allocatorIsDrained(share_fleet &Fleet) {
  fleet_node &Allocator = Fleet.Nodes[allocatorIndex(Fleet)];
  Allocator.Shares.Draining = true;
  for (const peer_send &Send :
       onLeave(Allocator.Membership, clockOf(Fleet, allocatorIndex(Fleet))))
    transmit(Fleet, Send.Datagram);
}

/// By how many tokens the worst window exceeds Burst + Rate * length; scans
/// every window that begins and ends with a spent token.
inline double worstExcess(const std::vector<spending> &History, double Rate,
                          double Burst) {
  double Lowest = 0;
  double Worst = -Burst;
  double Before = 0;
  for (const spending &Spending : History) {
    const double Filled =
        Rate *
        std::chrono::duration<double>(Spending.At.time_since_epoch()).count();
    Lowest = Before == 0 ? -Filled : std::min(Lowest, Before - Filled);
    Before += 1;
    Worst = std::max(Worst, Before - Filled - Lowest - Burst);
  }
  return Worst;
}

} // namespace redwinggw::control::testing
