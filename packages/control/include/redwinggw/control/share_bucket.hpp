#pragma once

#include "redwinggw/base/time.hpp"

#include <cstdint>
#include <deque>

/// The budget of one customer at its share giver.
///
/// Bound: in every window of length w at most Burst + Rate * w tokens are
/// spent over the whole fleet. Proof: Tokens + Outstanding never exceeds Burst,
/// where a grant counts as outstanding from when it is made until Ttl later.
/// The requester counts Ttl from before it sent its request, so a grant is
/// spent while it is outstanding or never. A token spent in [a, b] was
/// therefore in the bucket or outstanding at a (at most Burst of them), or was
/// filled in since (at most Rate * (b - a)). Returning nothing and losing
/// messages only lowers what is spent.
///
/// Price: while much is outstanding the bucket does not fill, so the full rate
/// needs Burst >= Rate * Ttl. Ttl is chosen accordingly; see planOf.
namespace redwinggw::control {

struct share_limits {
  base::microseconds MaxTtl{250'000};
  /// Shorter grants would lapse on their way.
  base::microseconds MinTtl{30'000};
  /// Switched off by tests only: outstanding grants do not fill the bucket.
  bool CountOutstanding = true;
  /// Switched off by tests only: a holder spends lapsed tokens too.
  bool CheckExpiry = true;
  /// Switched off by tests only: a holder takes doubled and unasked grants.
  bool MatchNumbers = true;
};

/// What a customer is entitled to, and for how long a grant counts.
struct share_plan {
  double Rate = 0;
  double Burst = 0;
  base::microseconds Ttl{0};

  friend bool operator==(const share_plan &, const share_plan &) = default;
};

/// Chooses Ttl so that at the full rate about a quarter of the burst is
/// outstanding. Below Burst = Rate * MinTtl the full rate is not reached.
share_plan planOf(double Rate, double Burst, const share_limits &Limits);

/// A grant that may still be spent.
struct outstanding_grant {
  base::instant Until;
  double Tokens = 0;
};

/// Not thread safe. Precondition of all functions: Now never decreases.
struct share_bucket {
  share_plan Plan;
  double Tokens = 0;
  /// By Until, ascending.
  std::deque<outstanding_grant> Outstanding;
  base::instant FilledAt;
};

double outstandingTokens(const share_bucket &Bucket);

/// Brings the bucket up to \p Now.
void advance(share_bucket &Bucket, base::instant Now,
             const share_limits &Limits);

/// Changes the plan at \p Now; a lower burst takes effect at once.
void setPlan(share_bucket &Bucket, const share_plan &Plan, base::instant Now,
             const share_limits &Limits);

/// Takes up to \p Wanted whole tokens out and counts them as outstanding.
double allocateTokens(share_bucket &Bucket, double Wanted, base::instant Now,
                      const share_limits &Limits);

/// Time until a whole token can be there; zero when it is.
base::microseconds timeToToken(const share_bucket &Bucket, base::instant Now);

} // namespace redwinggw::control
