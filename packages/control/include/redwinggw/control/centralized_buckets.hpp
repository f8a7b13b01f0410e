#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/demand_shares.hpp"
#include "redwinggw/control/membership.hpp"

#include <optional>
#include <string_view>

/// One bucket for each customer's rate in a large fleet. Decisions without I/O.
///
/// The load it answers: many customers that ask for a few operations a second
/// each, at a hundred instances. A part of such a rate holds less than one
/// operation, so most were refused inside their rate; their callers came again,
/// which looked like still more demand.
///
/// In a fleet with relays the whole bucket of a customer stands at one
/// instance, its keeper, and the others ask it for each operation: a round trip
/// between instances, short against any operation. Bounds:
///
/// - The keeper is drawn among the instances that are up. Only one that hears a
///   majority keeps buckets. It is passed over only when nobody has heard it
///   for as long as a majority counts, and the next one begins a pause later;
///   so a keeper that was cut off has stopped by then. A new one begins with an
///   empty bucket.
///   Where no instance that is heard has gathered rates for long, as after the
///   loss of all, there is no former keeper to wait for.
/// - The keeper's bucket holds what is left of the rate beside the parts of
///   silent instances, as where rates are divided: those on the other side of a
///   partition go on with these parts.
/// - An instance that hears no majority divides rates by demand, see
///   demand_shares.hpp, from when the keepers have noticed that it is silent.
/// - While the keeper does not answer, the customer is refused: nobody else
///   knows what is left of its rate.
namespace redwinggw::control {

/// Works out which instance keeps each customer's bucket, if rates are gathered
/// at all. Call it after each divideRates with the same arguments; it replaces
/// the parts that were divided.
void centralizeBuckets(demand_shares &Shares, const membership &Membership,
                       bool InContact, base::instant Now);

/// Whether this instance has gathered rates for long enough that there may have
/// been keepers; the others have to know.
bool hasCentralizedBuckets(const demand_shares &Shares, base::instant Now);

/// Whether \p Customer's bucket stands at one instance.
bool isCentralized(const demand_shares &Shares, std::string_view Customer);

/// The member that keeps the bucket of \p Customer; null when it is this
/// instance or nobody.
const member *bucketOwner(const demand_shares &Shares,
                          const membership &Membership,
                          std::string_view Customer);

/// After so long another keeper has usually been drawn in place of one that is
/// gone.
constexpr base::milliseconds NextOwnerWithin{900};

/// What a keeper answers to a request for one operation.
struct bucket_owner_answer {
  bool Granted = false;
  /// Granted: how long to wait first. Otherwise: when there is a token.
  base::microseconds Wait{0};
};

/// Takes a token out of the bucket that this instance keeps, for an operation
/// elsewhere of \p Priority that can wait \p MaxWait. Nothing when it does not
/// keep the bucket of \p Customer.
std::optional<bucket_owner_answer>
grantToken(demand_shares &Shares, std::string_view Customer, unsigned Priority,
           base::microseconds MaxWait, base::instant Now);

/// The verdict on an operation for which the keeper gave an answer.
demand_verdict verdictFromOwner(demand_shares &Shares,
                                std::string_view Customer,
                                const bucket_owner_answer &Answer);

} // namespace redwinggw::control
