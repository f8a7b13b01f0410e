#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/bucket_ranking.hpp"
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

/// Divides each customer's rate and burst among the instances by demand. Each
/// instance announces its demand in its heartbeats, and admits the share of the
/// rate that its demand has in the sum.
///
/// One of two ways to enforce rates. This one is used with the setting
/// platform.kind = native; a share is a fraction of the rate. With
/// platform.kind = own, share_service.hpp is used, where a share is a grant of
/// tokens that expire.
///
/// - No instance allocates the shares: none is missed when it fails, the store
///   is not needed, and no statement waits for another instance.
/// - The shares add up to one as far as all instances use the same numbers: an
///   instance counts its own demand as it last announced it. A silent instance
///   keeps the share that it had at its last heartbeat, however demand changes
///   after that: otherwise two sides of a partition, each with a flood that the
///   other does not see, would both take most of the rate.
/// - An instance in contact with a majority takes over a quarter of a silent
///   instance's share after a while, and at most 0.04 of the whole rate; nobody
///   else takes over anything. An isolated instance, with neither a majority
///   nor the store, admits half of its share. Two sides of a partition then
///   admit at most 1.04 of the whole, whichever of them reaches the store;
///   operators accept up to 1.1.
/// - Demand that relays pass on is a few heartbeats old. With relays, an
///   instance counts its own demand as it announced it that long ago: if its
///   own growing demand counted before that of the others, a flood that begins
///   everywhere would be served several times over until it is known
///   everywhere.
/// - A relay adds up the demand of the instances that report to it and the
///   shares of those that fell silent. Its sums count as one instance with all
///   of that demand. Two relays add up the same zone; an instance that receives
///   the sums of both uses those of one.
/// - An instance that leaves keeps its share until it sends its callers away.
/// - A new process starts with empty buckets, so that a restart of all does not
///   spend a burst twice, and with the idle share until it is in contact with a
///   majority.
namespace redwinggw::control {

struct demand_limits {
  /// Demand is averaged over this time: long enough that random arrivals do not
  /// change the shares, and short compared with the time for which a change
  /// matters.
  base::milliseconds Window{2000};
  /// What all instances together admit above the rate and burst. The shares
  /// never fit the arrivals exactly; without some slack each mismatch would
  /// refuse a statement within the rate. Stays below the tenth of the rate and
  /// the twenty tokens of excess that operators accept.
  double RateSlack = 1.05;
  double ExtraTokens = 14;
  /// Fraction of an equal share that an instance has without any demand, for
  /// the first statements.
  double IdleShare = 0.1;
  /// A share that holds fewer operations than this suits random arrivals badly,
  /// which come several at once or not at all: with a share of one operation,
  /// half are refused. Such a share is not enforced while the demand of the
  /// fleet is below LowDemandFraction of the rate. A flood shows in the others'
  /// heartbeats after about 0.4 s. Until then, a customer with eight times its
  /// usual demand is served 1.9 times its rate, which the burst and the excess
  /// that operators accept cover.
  double MinDepth = 3;
  double LowDemandFraction = 0.8;
  /// Operations admitted that way without a token become a debt of at most this
  /// many tokens, paid back if the customer turns out to be over its rate.
  double MaxDebt = 2;
  /// Fraction of a bucket that operations leave to those of the next higher
  /// priority: a customer over its rate is served the operations that it
  /// declared most important. Below the rate nothing is reserved: it would only
  /// refuse random arrivals.
  double ReservePerPriority = 0.15;
  double MaxReserved = 0.45;
  /// After this long without a heartbeat (three heartbeats) an instance is
  /// silent, and its share stays as it is.
  base::milliseconds FreshFor{650};
  /// An instance that transfers tokens keeps what its own demand needs for this
  /// long.
  base::milliseconds ReserveTime{50};
  /// After this time, the fraction SilentReserve of a silent instance's share
  /// stays reserved.
  base::milliseconds LongSilentAfter{3000};
  double SilentReserve = 0.75;
  /// At most this fraction of the whole rate is taken over from silent
  /// instances: a large share is that of the other side of a partition, which
  /// goes on.
  double MaxTakenOver = 0.04;
  /// Until this long after its start a new instance without contact to a
  /// majority takes at most an equal share, then at most the idle share. Within
  /// this time, five heartbeats, it receives those of the others if it can.
  base::milliseconds FirstHeartbeats{1000};
  /// A new instance without contact to a majority serves the idle share only,
  /// for at most this long. This is longer than rows of dead instances stay
  /// listed. There is a limit since a majority may never be reached, where more
  /// than half of the listed instances are gone for good.
  base::milliseconds MaxStartupTime{10000};
  /// An instance that was isolated for this long admits half of its share.
  base::milliseconds IsolatedAfter{1500};
  /// \name Initial tokens of a fleet in which nobody owned a bucket before
  ///
  /// In addition to the rate of the time since the start, a part of what
  /// operators tolerate beyond rate and burst that RateSlack and ExtraTokens
  /// leave unused: less than half of it, since all instances may be lost twice
  /// within one window.
  /// @{
  double InitialSlackSeconds = 0.1;
  double InitialBurstFraction = 0.04;
  double InitialExtraTokens = 2.5;
  /// @}
  /// A centralized bucket grants nothing when the shares were last recomputed
  /// longer ago than this: the process was frozen and may not own it any more.
  /// It then chooses owners as if it had lost contact. Nothing: no limit.
  std::optional<base::milliseconds> MaxUpdateAge;
};

/// The account of one customer in this instance. Tokens may be negative:
/// waiting operations have already taken theirs.
struct demand_account {
  double Rate = 0;
  double Burst = 0;
  /// Smoothed operations per second, including refused ones.
  double Demand = 0;
  base::instant DemandAt;
  /// The demand last announced to the others, and the announcements before it,
  /// newest first.
  double Announced = 0;
  std::array<double, 2> AnnouncedBefore{};
  /// When Announced last changed, and the spare tokens announced with it.
  base::instant AnnouncedAt;
  std::uint8_t AnnouncedSpare = 0;
  double Tokens = 0;
  /// Tokens of operations for which it is not yet known whether they run.
  double Unsettled = 0;
  /// Room beyond the bucket's depth for transferred tokens, until the next
  /// division: where a customer's callers have only just arrived the bucket is
  /// shallow, and tokens transferred for them would overflow.
  double TransferRoom = 0;
  base::instant FilledAt;
  /// Share of the rate that is admitted here.
  double Share = 0;
  /// Shares that silent sources had at their last heartbeat, by name.
  std::map<std::string, double, std::less<>> SilentShares;
  /// Sums of demand that a relay passes on: of the instances that report here,
  /// and of all instances with this one.
  source_demand Zone;
  source_demand Fleet;
  /// At the last division: the demand of all fresh sources and of this
  /// instance, and the share of the rate that was divided among them.
  double FreshDemand = 0;
  double FreshShare = 1;
  /// Operations per second requested at all instances together.
  double FleetDemand = 0;
  /// FleetDemand is above the rate.
  bool OverRate = false;
  /// One instance owns the whole bucket; it is this one if OwnedHere. See
  /// centralized_buckets.hpp.
  bool Centralized = false;
  bool OwnedHere = false;
  /// hashOf the owner's name; 0: not chosen yet.
  std::uint32_t Owner = 0;
  /// When this instance, chosen in place of another owner, starts to own the
  /// bucket, and how many tokens the bucket then holds.
  base::instant OwnsFrom;
  double InitialTokens = 0;
  /// The share is enforced. False: it is too small for that (MinDepth), and the
  /// fleet's demand decides instead (LowDemandFraction). Always true while
  /// there is no recent demand of the others to decide by.
  bool EnforcesShare = true;
};

/// Not thread safe.
struct demand_shares {
  demand_limits Limits;
  std::map<base::customer_name, demand_account, std::less<>> Accounts;
  /// Since when this instance is isolated, in contact with neither a majority
  /// nor the store; nothing while it is not.
  std::optional<base::instant> IsolatedSince;
  /// When rates were first divided.
  std::optional<base::instant> StartedAt;
  /// There was contact with a majority since the start, or MaxStartupTime is
  /// over.
  bool StartupDone = false;
  /// This instance has started in a fleet with relays and is not yet in contact
  /// with a majority: it knows no bucket owners.
  bool AwaitsOwners = false;
  /// This instance has left its shares to the others.
  bool GaveUpShare = false;
  /// How many instances the sums to pass on cover.
  std::size_t ZoneInstances = 0;
  std::size_t FleetInstances = 0;
  std::size_t UnknownInstances = 0;
  /// When buckets were last centralized; see centralized_buckets.hpp.
  std::optional<base::instant> LastCentralizedAt;
  /// Since when buckets are centralized without a break.
  std::optional<base::instant> CentralizedSince;
  /// The instances among which the bucket owners were chosen, by rank.
  bucket_ranking Ranking;
};

/// Applies the rates and bursts in force.
void applyRates(demand_shares &Shares, const std::vector<customer> &Customers,
                base::instant Now);

/// The most tokens that the bucket of \p Account holds. At least one where
/// there is demand: in a large fleet a small customer's share is less, and
/// every operation would be refused. This adds less than one token to the burst
/// for each instance that the customer calls.
double bucketDepth(const demand_shares &Shares, const demand_account &Account);

/// Tokens per second that are added to the bucket of \p Account.
double fillRate(const demand_shares &Shares, const demand_account &Account);

/// Tokens that an operation of \p Priority leaves to more urgent ones.
double tokensReserved(const demand_shares &Shares,
                      const demand_account &Account, unsigned Priority);

/// Adds the tokens due up to \p Now to the bucket.
void fillBucket(const demand_shares &Shares, demand_account &Account,
                base::instant Now);

/// Tokens of \p Account beyond what its own callers are about to need.
double spareTokens(const demand_shares &Shares, const demand_account &Account);

/// Recomputes the shares. Call at each heartbeat. \p InContact: this instance
/// is in contact with a majority of the instances, or knows of a recent read of
/// the store; otherwise it counts as isolated. Not to be confused with
/// isInContact, which is about one member.
void divideRates(demand_shares &Shares, const membership &Membership,
                 bool InContact, base::instant Now);

/// Whether \p Account is centralized and the shares were last recomputed too
/// long ago to know who owns its bucket; see demand_limits::MaxUpdateAge.
bool isOutdated(const demand_shares &Shares, const demand_account &Account,
                base::instant Now);

/// Leaves this instance's shares to the others: from now on it announces no
/// demand and admits the idle share only. For an instance that sends its
/// callers away.
void yieldRates(demand_shares &Shares);

/// The demands to announce; from now on they count here too.
std::vector<wire::demand_report> announceDemand(demand_shares &Shares,
                                                base::instant Now);

/// The sums that a relay passes on, as of the last division.
wire::demand_digest zoneDemands(const demand_shares &Shares);
wire::demand_digest fleetDemands(const demand_shares &Shares);

/// Whether an operation is admitted.
struct demand_verdict {
  bool Admitted = false;
  /// The caller must call settleDemandToken once it is known whether the
  /// operation ran. False for an admitted operation whose token is not given
  /// back, because the share is too small to enforce.
  bool Counted = false;
  /// Admitted: how long to wait first. Refused: when a token is available.
  base::microseconds Wait{0};
  /// Refused: how many tokens were missing.
  double Missing = 0;
  /// Refused, and false: nobody who knows what is left of the rate answered, so
  /// the customer may be within it.
  bool RateKnown = true;
};

/// Takes a token of \p Customer if one is available within \p MaxWait. \p
/// Priority 0 is the highest. Unknown customers are refused.
demand_verdict takeDemandToken(demand_shares &Shares, std::string_view Customer,
                               unsigned Priority, base::microseconds MaxWait,
                               base::instant Now);

/// Settles an operation whose verdict was Counted. One that certainly ran at no
/// endpoint (\p Run is false) gives its token back: an overloaded endpoint
/// makes callers retry, and if each attempt counted, they would be refused for
/// their rate though they got nothing of it. Until then the token counts as if
/// it were in the bucket, which takes in no more in its place; otherwise, while
/// everything is turned away, tokens would add up outside of the bucket and
/// then run all at once.
void settleDemandToken(demand_shares &Shares, std::string_view Customer,
                       bool Run, base::instant Now);

} // namespace redwinggw::control
