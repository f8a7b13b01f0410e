#pragma once

#include "redwinggw/control/bucket_requests.hpp"
#include "redwinggw/control/bucket_reserve.hpp"

#include "centralized_fleet.hpp"

#include <algorithm>
#include <set>
#include <vector>

/// Fleets in which the successor of a bucket's owner has a reserve.
namespace redwinggw::control::testing {

/// HoldTime, and the time until the buckets are centralized.
constexpr milliseconds ReservesReady{9000};

struct reserve_fleet : demand_fleet {
  reserve_fleet(double Rate, double Burst, double Fraction)
      : demand_fleet(centralizedFleet(Rate, Burst)), Rate(Rate), Burst(Burst),
        Reserves(Count), Requests(Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Reserves[Index].Limits.Fraction = Fraction;
      Shares[Index].Limits =
          limitsBesideReserve(Reserves[Index].Limits, Shares[Index].Limits);
    }
  }

  void step() {
    tick();
    if ((Ticks - 1) % 4 == 0)
      for (std::size_t Index = 0; Index < Count; ++Index)
        if (!isDead(Index))
          updateReserves(Reserves[Index], Shares[Index], Members[Index], Now);
  }

  /// Uses up whatever the reserves grant, also where no caller would be sent.
  void drainReserves() {
    for (std::size_t Index = 0; Index < Count; ++Index)
      while (!isDead(Index) &&
             grantFromReserve(Reserves[Index], Shares[Index], "acme", Now)
                 .value_or(bucket_owner_answer{})
                 .Granted) {
        Runs.push_back(Now);
        ++FromReserve;
      }
  }

  std::optional<bucket_owner_answer> answerOf(std::size_t To, bool OwnBucket) {
    std::optional<bucket_owner_answer> Answer;
    if (OwnBucket)
      Answer = grantToken(Shares[To], "acme", 0, milliseconds(50), Now);
    if (!Answer) {
      Answer = grantFromReserve(Reserves[To], Shares[To], "acme", Now);
      FromReserve += Answer && Answer->Granted ? 1 : 0;
    }
    return Answer;
  }

  bool arrives(std::size_t From, std::size_t To) const {
    return !isDead(To) && reaches(From, To) && !Blocked.contains({From, To});
  }

  /// The answer of \p Owner to a request of \p Index through \p Relay.
  std::optional<bucket_owner_answer>
  requestThrough(std::size_t Index, const member &Relay, const member &Owner) {
    const std::size_t By = std::stoul(Relay.Name.substr(1));
    const std::size_t To = std::stoul(Owner.Name.substr(1));
    const bool Arrives = arrives(Index, By) && arrives(By, To);
    noteRelayedRequest(Requests[Index], Relay.Name, Owner.Name, Arrives, Now);
    return Arrives ? answerOf(To, true) : std::nullopt;
  }

  /// The answer of \p To to a request of \p Index.
  std::optional<bucket_owner_answer> request(std::size_t Index,
                                             const member &To, bool OwnBucket) {
    const std::size_t Asked = std::stoul(To.Name.substr(1));
    const bool Arrives = arrives(Index, Asked);
    noteRequest(Requests[Index], To.Name, Arrives, Now);
    return Arrives ? answerOf(Asked, OwnBucket) : std::nullopt;
  }

  std::optional<bucket_owner_answer> requestPlanned(std::size_t Index) {
    const member *Owner = bucketOwner(Shares[Index], Members[Index], "acme");
    const member *Successor =
        bucketSuccessor(Reserves[Index], Members[Index], "acme");
    if (Owner == nullptr)
      return answerOf(Index, false);
    const member *Relay =
        bucketRelay(Requests[Index], Members[Index], *Owner, Now);
    for (const token_source Source :
         planRequests(Requests[Index], *Owner, Relay, Successor, Now)) {
      std::optional<bucket_owner_answer> Answer;
      if (Source == token_source::Owner)
        Answer = request(Index, *Owner, true);
      else if (Source == token_source::Relay)
        Answer = requestThrough(Index, *Relay, *Owner);
      else
        Answer = Successor == nullptr ? answerOf(Index, false)
                                      : request(Index, *Successor, false);
      if (Answer)
        return Answer;
    }
    return std::nullopt;
  }

  bool admits(std::size_t Index) {
    const bool Here =
        takeDemandToken(Shares[Index], "acme", 0, milliseconds(50), Now)
            .Admitted;
    if (Here || !isCentralized(Shares[Index], "acme"))
      return Here;
    const auto Answer = requestPlanned(Index);
    return Answer && verdictFromOwner(Shares[Index], "acme", *Answer).Admitted;
  }

  bool ask(std::size_t Index) {
    const bool Admitted = admits(Index);
    if (Admitted) {
      settleDemandToken(Shares[Index], "acme", true, Now);
      Runs.push_back(Now);
    }
    return Admitted;
  }

  /// The fraction admitted of Poisson arrivals with \p Demand in all, the same
  /// at each instance, for \p Time.
  double play(double Demand, milliseconds Time) {
    const std::size_t Before = Runs.size();
    std::size_t Asked = 0;
    std::poisson_distribution<int> Arrivals(Demand / Count * 0.05);
    for (const instant End = Now + Time; Now < End;) {
      step();
      if (DrainsReserves)
        drainReserves();
      for (std::size_t Index = 0; Index < Count; ++Index)
        for (int Left = isDead(Index) ? 0 : Arrivals(Random); Left > 0;
             --Left, ++Asked)
          ask(Index);
    }
    return Asked == 0 ? 1
                      : static_cast<double>(Runs.size() - Before) /
                            static_cast<double>(Asked);
  }

  /// The most operations that ran in any window, relative to what is allowed.
  double busiestWindow() const {
    const milliseconds Window = Reserves.front().Limits.Bound.Window;
    std::size_t Most = 0;
    for (std::size_t First = 0, Last = 0; Last < Runs.size(); ++Last) {
      while (Runs[Last] - Runs[First] >= Window)
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return static_cast<double>(Most) / allowed(Rate, Burst, 5);
  }

  std::size_t owner() const { return ownersOf(*this).at(0); }

  std::size_t successor() const {
    return std::stoul(
        bucketSuccessor(Reserves[owner()], Members[owner()], "acme")
            ->Name.substr(1));
  }

  double Rate;
  double Burst;
  std::vector<bucket_reserves> Reserves;
  std::vector<bucket_requests> Requests;
  /// Pairs of instances between which requests for tokens are lost, though
  /// relays pass on the state of both.
  std::set<std::pair<std::size_t, std::size_t>> Blocked;
  bool DrainsReserves = false;
  std::vector<instant> Runs;
  std::size_t FromReserve = 0;
};

} // namespace redwinggw::control::testing
