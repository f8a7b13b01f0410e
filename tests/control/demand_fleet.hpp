#pragma once

#include "redwinggw/control/centralized_buckets.hpp"
#include "redwinggw/control/demand_shares.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// A fleet that divides customers' rates, without sockets.
namespace redwinggw::control::testing {

using base::instant;
using base::milliseconds;

/// Instances that exchange heartbeats in simulated time.
struct demand_fleet {
  /// \p DirectLimit: up to this many instances all exchange heartbeats
  /// directly; more use relays, spread over \p Zones availability zones in
  /// turn.
  explicit demand_fleet(std::size_t Count, double Rate = 100,
                        double Burst = 100, std::size_t DirectLimit = SIZE_MAX,
                        std::size_t Zones = 1) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      membership_limits Direct;
      Direct.DirectLimit = DirectLimit;
      membership Member = makeMembership(
          {"i" + std::to_string(Index), "z" + std::to_string(Index % Zones), 1},
          Direct);
      onStoreRead(Member, Now, Now, 0);
      Members.push_back(std::move(Member));
      Shares.emplace_back();
      applyRates(Shares.back(), {{"acme", Rate, Burst}}, Now);
      Cut.push_back(false);
    }
    std::vector<storage::listed_instance> Listed;
    for (const membership &Member : Members) {
      storage::listed_instance Instance;
      Instance.Name = Member.Self.Name;
      Instance.Zone = Member.Self.Zone;
      Listed.push_back(Instance);
    }
    for (membership &Member : Members)
      onList(Member, Listed, Now);
  }

  void deliver(const peer_send &Send, std::size_t From) {
    const std::size_t To = std::stoul(Send.Datagram.Receiver.substr(1));
    if (isDead(To) || !reaches(From, To) ||
        !admitDatagram(Members[To], Send.Datagram))
      return;
    for (const peer_send &Answer : onHeartbeat(Members[To], Send.Datagram, Now))
      deliver(Answer, To);
  }

  bool reaches(std::size_t From, std::size_t To) const {
    return Cut[From] == Cut[To] || ReachesBoth.contains(From) ||
           ReachesBoth.contains(To);
  }

  bool isDead(std::size_t Index) const {
    return Index == Dead ||
           std::ranges::find(AlsoDead, Index) != AlsoDead.end();
  }

  void tick() {
    Now += milliseconds(50);
    for (std::size_t Index = 0; Index < Members.size(); ++Index) {
      if (isDead(Index))
        continue;
      if (Ticks % 4 == 0)
        Members[Index].Local.Demands = announceDemand(Shares[Index], Now);
      for (const peer_send &Send : onTick(Members[Index], Now))
        deliver(Send, Index);
      if (Ticks % 4 == 0) {
        divideRates(Shares[Index], Members[Index],
                    StoreReached || inContactWithMajority(Members[Index], Now),
                    Now);
        if (Centralizes)
          centralizeBuckets(
              Shares[Index], Members[Index],
              StoreReached || inContactWithMajority(Members[Index], Now), Now);
        Members[Index].Local.CentralizesBuckets =
            hasCentralizedBuckets(Shares[Index], Now);
        Members[Index].ZoneDigest.Demands = zoneDemands(Shares[Index]);
        Members[Index].FleetDigest.Demands = fleetDemands(Shares[Index]);
      }
    }
    ++Ticks;
  }

  /// The instance announces that it leaves, and goes on for now.
  void leave(std::size_t Index) {
    for (const peer_send &Send : onLeave(Members[Index], Now))
      deliver(Send, Index);
  }

  /// Requests an operation at \p Index, which runs at once.
  bool ask(std::size_t Index, unsigned Priority = 0) {
    const bool Admitted = hold(Index, Priority);
    if (Admitted)
      settleDemandToken(Shares[Index], "acme", true, Now);
    Spent += Admitted ? 1 : 0;
    return Admitted;
  }

  /// The same, but it remains open whether the operation runs.
  bool hold(std::size_t Index, unsigned Priority = 0) {
    const bool Here =
        takeDemandToken(Shares[Index], "acme", Priority, milliseconds(50), Now)
            .Admitted;
    if (Here || !isCentralized(Shares[Index], "acme"))
      return Here;
    const member *Owner = bucketOwner(Shares[Index], Members[Index], "acme");
    return Owner != nullptr && askOwner(Index, *Owner, Priority);
  }

  bool askOwner(std::size_t Index, const member &Owner, unsigned Priority) {
    const std::size_t To = std::stoul(Owner.Name.substr(1));
    std::optional<bucket_owner_answer> Answer;
    if (!isDead(To) && reaches(Index, To))
      Answer = grantToken(Shares[To], "acme", Priority, milliseconds(50), Now);
    return Answer && verdictFromOwner(Shares[Index], "acme", *Answer).Admitted;
  }

  /// Poisson arrivals at \p Rates, one per instance, for \p Time. Returns the
  /// number refused.
  std::size_t load(const std::vector<double> &Rates, milliseconds Time) {
    std::size_t Refused = 0;
    for (const instant End = Now + Time; Now < End;) {
      tick();
      for (std::size_t Index = 0; Index < Members.size(); ++Index) {
        std::poisson_distribution<int> Arrivals(Rates[Index] * 0.05);
        for (int Left = isDead(Index) ? 0 : Arrivals(Random); Left > 0; --Left)
          Refused += ask(Index) ? 0 : 1;
      }
    }
    return Refused;
  }

  instant Now{std::chrono::seconds(1000)};
  std::vector<membership> Members;
  std::vector<demand_shares> Shares;
  std::vector<bool> Cut;
  /// Instances that reach, and are reached by, both sides of a cut.
  std::set<std::size_t> ReachesBoth;
  /// All reach the store, even where they are not in contact.
  bool StoreReached = false;
  std::size_t Dead = SIZE_MAX;
  std::vector<std::size_t> AlsoDead;
  /// Buckets are centralized where the fleet has relays.
  bool Centralizes = false;
  std::size_t Ticks = 0;
  std::size_t Spent = 0;
  std::mt19937_64 Random{7};
};

/// What a customer may use in \p Seconds, including what operators tolerate.
inline double allowed(double Rate, double Burst, double Seconds) {
  return (Rate * Seconds + Burst) * 1.1 + 20;
}

} // namespace redwinggw::control::testing
