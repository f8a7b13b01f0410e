#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/configuration.hpp"
#include "redwinggw/control/demand_sources.hpp"
#include "redwinggw/control/membership.hpp"
#include "redwinggw/wire/message.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Rate and burst of each customer over the fleet, divided by demand. Each
/// instance tells the others in its heartbeats how much it is asked for, and
/// admits the part of the rate that its demand has in the sum.
///
/// - No instance gives, so none is missed when it dies, the store is not
///   asked, and a statement waits for no other instance.
/// - The parts add up to one as far as all count with the same numbers: an
///   instance counts its own demand as it announced it last. A silent instance
///   keeps the part that it had when it was heard last, whatever the demand is
///   since: two sides of a partition, each with a flood that the other does not
///   hear of, would else both take most of the rate.
/// - Whoever hears a majority takes over a quarter of a silent instance's part
///   after a while, and 0.04 of the whole at most; nobody else takes over
///   anything. Whoever is out of touch, with no majority and no store, admits
///   half of its part. Two sides of a partition then admit at most 1.04 of the
///   whole, whichever of them reaches the store; operators tolerate 1.1.
/// - What relays pass on is a few heartbeats old. There an instance counts its
///   own demand as it told it so long ago: were a growing demand counted here
///   before that of the others is, a flood that begins everywhere would be
///   served several times over until the news of it has gone round.
/// - Where instances report to relays, a relay adds up the demand of those that
///   report to it and the parts of those that went silent. Its sums stand for
///   one instance that has all of that demand. Two relays add up the same zone;
///   whoever reads them goes by one of them.
/// - An instance that leaves keeps its part until it sends its callers away.
/// - A new process starts from empty buckets, so a burst is not spent twice
///   over a restart of all, and with the idle part until it hears a majority.
namespace redwinggw::control {

struct demand_limits {
  /// Demand is averaged over this time: long enough that chance arrivals do
  /// not move the parts, short against the time for which a change counts.
  base::milliseconds Window{2000};
  /// What all instances together admit above the rate and burst. The parts
  /// never fit the arrivals exactly; without some room each misfit refuses a
  /// statement inside the rate. Stays below the tenth and twenty that
  /// operators allow.
  double RateSlack = 1.05;
  double ExtraTokens = 14;
  /// Share of an equal share that an instance has without any demand, for the
  /// first statements.
  double IdleShare = 0.1;
  /// A part that holds fewer operations than this serves badly what arrives by
  /// chance, at once or not at all: half is refused at a part of one. There the
  /// fleet's demand decides while it is below LowDemandFraction of the rate. A
  /// flood shows in the others' heartbeats after about 0.4 s; at eight times
  /// the usual demand it takes 1.9 times the rate by then, which the burst and
  /// the operators' tolerance cover.
  double MinDepth = 3;
  double LowDemandFraction = 0.8;
  /// What was admitted there without a token is owed, up to so many tokens, and
  /// paid back if the customer turns out to be over its rate.
  double MaxDebt = 2;
  /// Share of a bucket that operations leave to those of the next higher
  /// priority: a customer over its rate is served what it has declared to
  /// matter most. Below the rate nothing is reserved: it would only turn
  /// chance arrivals away.
  double ReservePerPriority = 0.15;
  double MaxReserved = 0.45;
  /// An instance is silent, and its part stays as it is, from here on: three
  /// heartbeats.
  base::milliseconds FreshFor{650};
  /// What an instance lends leaves it tokens for so long.
  base::milliseconds ReserveTime{50};
  /// Of a silent instance's part so much stays reserved after this time.
  base::milliseconds LongSilentAfter{3000};
  double SilentReserve = 0.75;
  /// Of the whole rate no more than this is taken over from silent instances: a
  /// large part is that of another side of a partition, which goes on.
  double MaxTakenOver = 0.04;
  /// By then a new instance has heard the others, if it can: five heartbeats.
  base::milliseconds FirstHeartbeats{1000};
  /// A new instance that hears no majority serves the idle part only, for so
  /// long at most: longer than rows of dead instances stay listed, and not for
  /// ever where more than half of the listed are gone for good.
  base::milliseconds MaxStartupTime{10000};
  /// Out of touch for so long, an instance admits half of its part.
  base::milliseconds IsolatedAfter{1500};
};

/// A customer's account in this instance. Tokens may be negative: operations
/// that wait have taken theirs already.
struct demand_account {
  double Rate = 0;
  double Burst = 0;
  /// Smoothed operations a second, refused ones included.
  double Demand = 0;
  base::instant DemandAt;
  /// Demand as the others were told last, and the times before, the newest
  /// first.
  double Announced = 0;
  std::array<double, 2> AnnouncedBefore{};
  double Tokens = 0;
  /// Tokens of operations of which it is not known yet whether they run.
  double Unsettled = 0;
  /// Room beyond the bucket's depth for borrowed tokens, until the next
  /// division: where a customer's callers have just come, the bucket is flat,
  /// and what was borrowed for them would run over.
  double TransferRoom = 0;
  base::instant FilledAt;
  /// Share of the rate that is admitted here.
  double Share = 0;
  /// Parts that silent sources had when they were heard last, by name.
  std::map<std::string, double, std::less<>> SilentShares;
  /// Sums to pass on: of the instances that report here, and of all with this
  /// one.
  source_demand Zone;
  source_demand Fleet;
  /// At the last division: the demand of all that were heard, this one
  /// included, and the part of the rate that was divided among them.
  double FreshDemand = 0;
  double FreshShare = 1;
  /// What all instances together are asked for a second.
  double FleetDemand = 0;
  /// FleetDemand is more than the rate.
  bool OverRate = false;
  /// The whole bucket stands at one instance; here, if it is OwnedHere. See
  /// centralized_buckets.hpp.
  bool Centralized = false;
  bool OwnedHere = false;
  /// hashOf the name of that instance; 0: not drawn yet.
  std::uint32_t Owner = 0;
  /// When this instance, drawn in place of another one, begins to keep it, and
  /// how many tokens it then has.
  base::instant OwnsFrom;
  double InitialTokens = 0;
  /// The part serves chance arrivals well enough, or there is no fresh news of
  /// the others to go by instead.
  bool Divisible = true;
};

/// An instance that may keep buckets.
struct owner_candidate {
  std::uint32_t NameHash = 0;
  /// hashOf its name.
  std::uint32_t Instance = 0;

  friend bool operator==(const owner_candidate &,
                         const owner_candidate &) = default;
};

/// Not thread safe.
struct demand_shares {
  demand_limits Limits;
  std::map<base::customer_name, demand_account, std::less<>> Accounts;
  /// Since when this instance is out of touch; nothing while it is not.
  std::optional<base::instant> IsolatedSince;
  /// The first division of rates.
  std::optional<base::instant> StartedAt;
  /// Whether a majority has been heard since the start.
  bool StartupDone = false;
  /// This instance leaves its parts to the others.
  bool GaveUpShare = false;
  /// How many instances the sums to pass on hold.
  std::size_t ZoneInstances = 0;
  std::size_t FleetInstances = 0;
  std::size_t UnknownInstances = 0;
  /// When rates were gathered last; see centralized_buckets.hpp.
  std::optional<base::instant> LastCentralizedAt;
  /// Since when without a break.
  std::optional<base::instant> CentralizedSince;
  /// Among which the keepers of buckets were drawn.
  std::vector<owner_candidate> OwnerCandidates;
};

/// Takes in the rates and bursts in force.
void applyRates(demand_shares &Shares, const std::vector<customer> &Customers,
                base::instant Now);

/// What the bucket of \p Account holds at most. At least one operation where
/// there is demand: in a large fleet a small customer's part is less, and every
/// operation would be refused. What this adds to the burst is less than one for
/// each instance that it calls.
double bucketDepth(const demand_shares &Shares, const demand_account &Account);

/// Tokens a second that come into the bucket of \p Account.
double fillRate(const demand_shares &Shares, const demand_account &Account);

/// Tokens that an operation of \p Priority leaves to more urgent ones.
double tokensReserved(const demand_shares &Shares,
                      const demand_account &Account, unsigned Priority);

/// Adds to the bucket what has come in up to \p Now.
void fillBucket(const demand_shares &Shares, demand_account &Account,
                base::instant Now);

/// Tokens of \p Account beyond what its own callers are about to need.
double spareTokens(const demand_shares &Shares, const demand_account &Account);

/// Works out the parts anew. Call at each heartbeat. \p InContact: a majority
/// is heard or the store is reached.
void divideRates(demand_shares &Shares, const membership &Membership,
                 bool InContact, base::instant Now);

/// Leaves this instance's parts to the others: from now on it announces no
/// demand and admits the idle part only. For an instance that sends its callers
/// away.
void yieldRates(demand_shares &Shares);

/// The demands to announce; from then on they count here too.
std::vector<wire::demand_report> announceDemand(demand_shares &Shares,
                                                base::instant Now);

/// The sums that a relay passes on, as of the last division.
wire::demand_digest zoneDemands(const demand_shares &Shares);
wire::demand_digest fleetDemands(const demand_shares &Shares);

/// What became of an operation.
struct demand_verdict {
  bool Admitted = false;
  /// A token was taken for it: settleDemandToken has to follow.
  bool Counted = false;
  /// Admitted: how long to wait first. Refused: when there is a token.
  base::microseconds Wait{0};
  /// Refused: tokens that were missing.
  double Missing = 0;
};

/// Takes a token of \p Customer, waiting for it \p MaxWait at most.
/// \p Priority 0 is the highest. Unknown customers are refused.
demand_verdict takeDemandToken(demand_shares &Shares, std::string_view Customer,
                               unsigned Priority, base::microseconds MaxWait,
                               base::instant Now);

/// Ends an operation whose verdict was Counted. One that no endpoint has \p
/// Run, for sure, gives its token back: an overloaded endpoint makes callers
/// come again, and were each attempt counted, they would be refused for their
/// rate though they got nothing of it. Until then the token counts as if it was
/// in the bucket, which takes in no more for it; else, while all is turned
/// away, tokens would add up outside of the bucket, and then run at once.
void settleDemandToken(demand_shares &Shares, std::string_view Customer,
                       bool Run, base::instant Now);

} // namespace redwinggw::control
