#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/time.hpp"

#include <cstdint>

/// When a failed try is repeated, and when an endpoint is left alone.
namespace redwinggw::data {

/// Limits repeats to a share of the requests, so that the end of an outage is
/// not met by a multiple of the load.
struct retry_budget {
  double Tokens = 20;
  double Limit = 20;
  /// Repeats earned by each request.
  double EarnedPerRequest = 0.2;
};

/// Counts a first try.
void noteRequest(retry_budget &Budget);

/// Takes one repeat; false when the budget is used up.
bool spendRetry(retry_budget &Budget);

/// Time to wait before try number \p Try (1 for the first repeat): doubled
/// each time, capped, and spread by \p Random, uniform in [0, 1).
base::microseconds backoff(unsigned Try, double Random);

/// State of the way to one endpoint.
struct circuit_breaker {
  unsigned Failures = 0;
  /// No request goes there before this time.
  base::instant OpenUntil;
};

/// Whether requests may go there.
bool isClosed(const circuit_breaker &Circuit, base::instant Now);

void noteSuccess(circuit_breaker &Circuit);

/// Opens the circuit after several failures in a row, for a time that grows
/// and is spread by \p Random, uniform in [0, 1).
void noteFailure(circuit_breaker &Circuit, base::instant Now, double Random);

/// What a failed try allows.
enum class retry_kind {
  Never,    ///< The answer is final.
  Anywhere, ///< Proved not run: try again, there or elsewhere.
  SameId,   ///< Outcome unknown: only a repeat that is recognised may follow.
};

retry_kind retryKindOf(const base::failure &Failure);

} // namespace redwinggw::data
