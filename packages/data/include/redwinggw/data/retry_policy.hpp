#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/time.hpp"

#include <cstdint>

/// Retry budget, backoff and circuit breaker.
namespace redwinggw::data {

/// Token bucket that limits retries to a fraction of the requests, so that
/// retries do not multiply the load at the end of an outage.
struct retry_budget {
  double Tokens = 20;
  double Limit = 20;
  /// Tokens added by each request.
  double EarnedPerRequest = 0.2;
};

/// Adds the tokens that a first try earns.
void noteRequest(retry_budget &Budget);

/// Takes a token for one retry; false when the budget is used up.
bool spendRetry(retry_budget &Budget);

/// Delay before try number \p Try (1 for the first retry): exponential, capped,
/// with jitter from \p Random, uniform in [0, 1).
base::microseconds backoff(unsigned Try, double Random);

/// Circuit breaker of one endpoint.
struct circuit_breaker {
  unsigned Failures = 0;
  /// No requests are sent to the endpoint before this time.
  base::instant OpenUntil;
};

/// Whether requests may be sent to the endpoint.
bool isClosed(const circuit_breaker &Circuit, base::instant Now);

void noteSuccess(circuit_breaker &Circuit);

/// Opens the circuit after several consecutive failures, for an exponentially
/// growing time with jitter from \p Random, uniform in [0, 1).
void noteFailure(circuit_breaker &Circuit, base::instant Now, double Random);

/// Which retry is safe after a failed try.
enum class retry_kind {
  Never,    ///< The failure is final.
  Anywhere, ///< Proved not run: may be retried at any endpoint.
  SameId,   ///< Outcome unknown: only a retry under the same id is safe.
};

retry_kind retryKindOf(const base::failure &Failure);

} // namespace redwinggw::data
