#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/centralized_buckets.hpp"
#include "redwinggw/control/demand_shares.hpp"
#include "redwinggw/control/membership.hpp"
#include "redwinggw/control/rate_bound.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

/// A second source of tokens for a customer whose bucket owner does not answer.
/// Decisions without I/O.
///
/// The load that this is for: a customer within its rate whose bucket owner is
/// lost, frozen or unreachable. Until the next owner starts, nobody knows what
/// is left of the rate. The *successor*, the owner candidate with the
/// second-highest rendezvous weight, then grants from a *reserve*: tokens that
/// are part of the excess which operators tolerate, so that they may be spent
/// whatever the owner grants at the same time.
///
/// \name The bound
///
/// With the rate R, the burst B, and the operators' window W, overshoot o and
/// extra tokens s, at most RW + B + E operations may run in any window, where
/// E = o(RW + B) + s is the tolerated excess. Let f be the fraction of E that
/// one reserve grants in any window, and k = 1 - 2f. f is at most 1/2, and o
/// counts as at most 1/2.
///
/// (1) Each reserve grants at most fE tokens in any window: it counts what it
/// granted, also across the times in which it was no successor, and grants only
/// tokens that are there, without a wait. A process that starts has granted
/// nothing, and waits for HoldTime > W.
///
/// (2) At most two reserves grant in the same window. An instance grants only
/// after it has been one of the first two candidates, in contact with a
/// majority and not the owner, for HoldTime = W + ViewsAgreeWithin without a
/// break. It was not first for all of that: a candidate that is first owns the
/// bucket after OwnerChangeDelay, which ends its reserve. If two instances
/// grant within the same window, the times for which they have waited overlap
/// by more than ViewsAgreeWithin. By the end of it, instances that hear the
/// same ones name the same second candidate, so the two must hear different
/// ones: they are on different sides of a cut. One cut has two sides. Instances
/// that reach both sides name candidates of either side and grant only as one
/// of them. ViewsAgreeWithin assumes that the instances have the same list of
/// instances by then. They read it from the store, so an outage of the store
/// while instances join or leave can delay that; (2) does not cover this. More
/// than one cut at a time, each side with a majority through
/// instances that reach several, is not covered; neither are two owners then.
///
/// (3) All else stays below RW + B + kE. The parts of it, in terms of E's three
/// summands oRW, oB and s, each times k (limitsBesideReserve):
/// - An owner: RateSlack 0.5 oRW and ExtraTokens 0.7 s.
/// - What the owner takes over from silent instances in a partition, which go
/// on
///   with their shares: 0.4 ok of what it grants, so
///   (1 + 0.4 ok)(1 + 0.5 ok) <= 1 + ok for the rate, 0.4 oB for the burst, and
///   0.7 s (1 + 0.4 ok) <= s.
/// - Initial tokens of a fleet that was lost: 0.2 oRW, 0.4 oB and 0.125 s.
///   All instances may be lost twice in a window: 0.9 oRW, 0.8 oB and 0.95 s.
///   The rate of the time since the start replaces that in which nobody
///   granted.
/// - A new owner starts empty after the former one has stopped: both together
///   grant no more than one.
/// A partition in which all instances are lost as well is not covered, here and
/// without reserves.
///
/// By (1) to (3) at most RW + B + kE + 2fE = RW + B + E run in any window.
///
/// Operations count when their tokens are granted, or at the end of the wait
/// that comes with a token. Time that they spend in queues after that is in the
/// bound of neither the buckets nor the reserves; what (3) leaves of kE, and
/// the reserve that grants nothing where there is no cut, absorb it.
///
/// \name Cases
/// - The owner is alive and unreachable for some: it grants its part, and the
///   reserve its own, by (1).
/// - The owner is dead: the same, as nothing depends on whether it is alive. A
///   frozen one that resumes grants nothing until it has recomputed its contact
///   with the others (MaxUpdateAge); by then it does not own the bucket.
/// - Two successors: (2).
/// - All are lost: nobody has waited for HoldTime, so there are only the
/// initial
///   tokens and what reserves granted before, which (1) and (2) count.
/// - The successor becomes the owner: its reserve goes on until then, for as
/// long
///   as it is the next owner, and ends with the start of its empty bucket. If
///   it is successor again later, it waits again.
/// - The owner and the successor are lost: there is no reserve, as no other
///   instance has waited. The next owner starts as it does now.
///
/// All instances of a fleet must use the same bound and fraction. While a
/// change of them is rolled out, an owner may still grant by the former ones.
namespace redwinggw::control {

/// The tokens that are tolerated in a window beyond \p Rate and \p Burst.
double toleratedExcess(const rate_bound &Bound, double Rate, double Burst);

struct reserve_limits {
  rate_bound Bound;
  /// Fraction of the tolerated excess that one reserve grants in any window, at
  /// most 0.5; 0: there are no reserves.
  double Fraction = 0;
  /// Instances in contact with a majority that hear the same ones agree on
  /// their states within this time. Longer than a new owner's delay and the
  /// three heartbeats by which relayed states differ.
  base::milliseconds ViewsAgreeWithin{2000};
  /// A reserve holds at most the tokens of this time, and at least MinDepth
  /// where the fraction of the excess allows it: random arrivals come several
  /// at once or not at all.
  base::milliseconds DepthTime{500};
  double MinDepth = 3;
  /// An instance whose last heartbeat is older was frozen, and does not know
  /// the state of the others. They suspect it no sooner than this, so a slow
  /// instance that is not suspect goes on.
  base::milliseconds MaxUpdateAge = membership_limits{}.RelayedSuspectAfter;
};

bool usesReserves(const reserve_limits &Limits);

/// The limits of rates where reserves are used: the owner's part of the
/// tolerated excess shrinks by what two reserves may grant. \p Shared are those
/// without reserves, which are returned where there are none.
demand_limits limitsBesideReserve(const reserve_limits &Limits,
                                  demand_limits Shared);

/// Tokens granted in a part of a window.
struct reserve_grants {
  base::instant Begin;
  unsigned Count = 0;
};

/// The reserve of one customer at this instance.
struct customer_reserve {
  /// hashOf the names of the first and the second candidate, as seen here; 0:
  /// none.
  std::uint32_t First = 0;
  std::uint32_t Second = 0;
  /// Since when this instance is second, or first after that, without a break.
  std::optional<base::instant> HeldSince;
  double Tokens = 0;
  base::instant FilledAt;
  /// Oldest first; within the last window, and not in the same slot.
  std::deque<reserve_grants> Grants;
};

/// Not thread safe.
struct bucket_reserves {
  reserve_limits Limits;
  std::map<base::customer_name, customer_reserve, std::less<>> Customers;
  std::optional<base::instant> UpdatedAt;
};

/// Sets the limits of \p Shares: limitsBesideReserve in a fleet with relays, as
/// buckets are centralized there only, and until HoldTime after they were;
/// otherwise \p Shared. Reserves grant nothing before the smaller limits have
/// been in force for longer than a window. Call before each divideRates.
void applyReserveLimits(demand_shares &Shares, const reserve_limits &Limits,
                        const membership &Membership, base::instant Now,
                        const demand_limits &Shared = {});

/// Recomputes the successors. Call after each centralizeBuckets.
void updateReserves(bucket_reserves &Reserves, const demand_shares &Shares,
                    const membership &Membership, base::instant Now);

/// The member that is the successor of the bucket's owner; null when it is this
/// instance or nobody.
const member *bucketSuccessor(const bucket_reserves &Reserves,
                              const membership &Membership,
                              std::string_view Customer);

/// Takes a token out of this instance's reserve for \p Customer. A refusal says
/// when the reserve has one. Nothing when this instance does not grant from a
/// reserve, because it is not the successor, or is so only since a moment ago.
std::optional<bucket_owner_answer> grantFromReserve(bucket_reserves &Reserves,
                                                    const demand_shares &Shares,
                                                    std::string_view Customer,
                                                    base::instant Now);

} // namespace redwinggw::control
