#pragma once

#include "redwinggw/base/time.hpp"

#include <cstdint>
#include <deque>

/// The token bucket of one customer at its share allocator.
///
/// Bound: in every window of length w, at most Burst + Rate * w tokens are
/// spent over the whole fleet. Proof: Tokens + Outstanding never exceeds Burst,
/// where a grant counts as outstanding from when it is made until Ttl later.
/// The consumer counts Ttl from before it sent its request, so it spends a
/// grant while that is outstanding or not at all. A token spent in [a, b] was
/// therefore in the bucket or outstanding at a (at most Burst of them), or was
/// added since (at most Rate * (b - a)). Unspent tokens are not returned and
/// lost messages are not made up for, which only lowers what is spent.
///
/// Cost: while many tokens are outstanding the bucket does not fill, so the
/// full rate needs Burst >= Rate * Ttl. Ttl is chosen accordingly; see planOf.
namespace redwinggw::control {

struct share_limits {
  base::microseconds MaxTtl{250'000};
  /// Grants with a shorter Ttl would expire in transit.
  base::microseconds MinTtl{30'000};
  /// Only tests switch this off: outstanding grants take up room in the bucket.
  bool CountOutstanding = true;
  /// Only tests switch this off: a consumer does not spend expired tokens.
  bool CheckExpiry = true;
  /// Only tests switch this off: a consumer ignores duplicate and unrequested
  /// grants.
  bool MatchNumbers = true;
};

/// The limits of one customer: its rate and burst, and how long a grant is
/// valid.
struct share_plan {
  double Rate = 0;
  double Burst = 0;
  base::microseconds Ttl{0};

  friend bool operator==(const share_plan &, const share_plan &) = default;
};

/// Chooses Ttl so that about a quarter of the burst is outstanding at the full
/// rate. With Burst below Rate * MinTtl the full rate is not reached.
share_plan planOf(double Rate, double Burst, const share_limits &Limits);

/// A grant whose tokens may still be spent.
struct outstanding_grant {
  base::instant Until;
  double Tokens = 0;
};

/// Not thread safe. Precondition of all functions: Now never decreases.
struct share_bucket {
  share_plan Plan;
  double Tokens = 0;
  /// In ascending order of Until.
  std::deque<outstanding_grant> Outstanding;
  base::instant FilledAt;
};

double outstandingTokens(const share_bucket &Bucket);

/// Adds the tokens up to \p Now and drops expired grants.
void advance(share_bucket &Bucket, base::instant Now,
             const share_limits &Limits);

/// Changes the plan at \p Now; a lower burst applies at once.
void setPlan(share_bucket &Bucket, const share_plan &Plan, base::instant Now,
             const share_limits &Limits);

/// Removes up to \p Wanted whole tokens and counts them as outstanding.
double allocateTokens(share_bucket &Bucket, double Wanted, base::instant Now,
                      const share_limits &Limits);

/// Time until a whole token can be available; zero if one is.
base::microseconds timeToToken(const share_bucket &Bucket, base::instant Now);

} // namespace redwinggw::control
