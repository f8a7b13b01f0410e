#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/demand_shares.hpp"
#include "redwinggw/control/membership.hpp"

#include <optional>
#include <string_view>

/// In a large fleet, one token bucket for each customer's whole rate. Decisions
/// without I/O.
///
/// The load that this is for: many customers with a few operations per second
/// each, at a hundred instances. A share of such a rate holds less than one
/// operation, so most operations were refused within the rate; their callers
/// retried, which looked like even more demand.
///
/// In a fleet with relays, one instance owns the whole bucket of a customer,
/// and the others ask this owner for each operation: a round trip between
/// instances, which is short compared with any operation. Bounds:
///
/// - Each instance chooses the owner by hash among the instances that it sees
///   alive. So the owner changes when an instance joins, leaves or becomes
///   suspect. Only an instance in contact with a majority owns buckets.
/// - A new owner starts a delay after it was chosen. An owner that was cut off
///   becomes suspect only after a longer silence than the one after which it
///   loses contact, so it has stopped by the end of the delay. There is no
///   delay after an owner that announced that it leaves, as it has stopped
///   already.
/// - A new owner starts with an empty bucket. Where no instance in contact has
///   centralized buckets for more than a moment, as after the loss of all,
///   there is no former owner: the new one does not wait, and starts with the
///   tokens of a fraction of a second.
/// - The owner's bucket gets the rate minus the shares that silent instances
///   keep, as where rates are divided: those on the other side of a partition
///   go on with these shares.
/// - An instance that is not in contact with a majority divides rates by
///   demand, see demand_shares.hpp, once the owners have noticed that it is
///   silent.
/// - While the owner does not answer, nobody else knows what is left of the
///   customer's rate. The customer is refused, unless the fleet has reserves,
///   which grant a part of the tolerated excess; see bucket_reserve.hpp.
namespace redwinggw::control {

/// Chooses the owner of each customer's bucket, if buckets are centralized at
/// all: in a fleet with relays, while this instance is in contact with a
/// majority and \p InContact is set. Call it after each divideRates with the
/// same arguments; it replaces the shares computed there.
void centralizeBuckets(demand_shares &Shares, const membership &Membership,
                       bool InContact, base::instant Now);

/// Whether this instance has centralized buckets for long enough that there may
/// have been owners; false for a moment after isCentralized has become true.
/// The others have to know this.
bool hasCentralizedBuckets(const demand_shares &Shares, base::instant Now);

/// Whether one instance owns the whole bucket of \p Customer.
bool isCentralized(const demand_shares &Shares, std::string_view Customer);

/// Whether this instance owns the bucket of \p Customer.
bool ownsBucket(const demand_shares &Shares, std::string_view Customer);

/// How long this instance, which has just started, is expected to know no
/// bucket owners from now on; nothing when it knows them. Not thread safe.
std::optional<base::microseconds> ownersExpected(const demand_shares &Shares,
                                                 base::instant Now);

/// The member that owns the bucket of \p Customer; null when it is this
/// instance or nobody.
const member *bucketOwner(const demand_shares &Shares,
                          const membership &Membership,
                          std::string_view Customer);

/// The time after which callers are told to retry when the owner did not
/// answer, in a fleet without reserves: another one may have been chosen then
/// if it is gone. The change takes longer from its last report on; see
/// nextOwnerExpected.
constexpr base::milliseconds NextOwnerWithin{900};

/// How long it takes from now until the next owner of the bucket of \p Customer
/// has its first token, if the owner that is seen here is gone: it becomes
/// suspect, the next one starts after its delay, with an empty bucket. \p
/// UnansweredSince: when the first request was sent that it did not answer.
base::microseconds
nextOwnerExpected(const demand_shares &Shares, const membership &Membership,
                  std::string_view Customer,
                  std::optional<base::instant> UnansweredSince,
                  base::instant Now);

/// An owner's answer to a request for one operation's token.
struct bucket_owner_answer {
  bool Granted = false;
  /// Granted: how long to wait first. Otherwise: when a token is available.
  base::microseconds Wait{0};
};

/// Takes a token out of a bucket that this instance owns, for an operation of
/// \p Priority at another instance that can wait \p MaxWait. Nothing when this
/// instance does not own the bucket of \p Customer.
std::optional<bucket_owner_answer>
grantToken(demand_shares &Shares, std::string_view Customer, unsigned Priority,
           base::microseconds MaxWait, base::instant Now);

/// The verdict on an operation for which the owner gave \p Answer.
demand_verdict verdictFromOwner(demand_shares &Shares,
                                std::string_view Customer,
                                const bucket_owner_answer &Answer);

} // namespace redwinggw::control
