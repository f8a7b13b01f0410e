#include "redwinggw/data/retry_policy.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::data;
using std::chrono::milliseconds;

namespace {

const base::instant Start{std::chrono::seconds(100)};

} // namespace

// Guards against a retry storm: when a database recovers from an outage, the
// waiting requests and all their retries would arrive at once and overload it
// again.
Test(retry_policy, retries_are_a_bounded_fraction_of_the_requests) {
  retry_budget Budget;
  int Retries = 0;
  for (int Request = 0; Request < 1000; ++Request) {
    noteRequest(Budget);
    while (spendRetry(Budget))
      ++Retries;
  }
  cr_assert(Retries <= 220);
}

Test(retry_policy, backoff_grows_is_capped_and_has_jitter) {
  cr_assert(backoff(1, 0.0) < backoff(3, 0.0));
  cr_assert(backoff(30, 0.999) <= milliseconds(100));
  cr_assert(backoff(3, 0.0) != backoff(3, 0.9));
}

Test(retry_policy, a_circuit_opens_only_after_consecutive_failures) {
  circuit_breaker Circuit;
  for (int Failure = 0; Failure < 2; ++Failure)
    noteFailure(Circuit, Start, 0.5);
  cr_assert(isClosed(Circuit, Start));
  noteFailure(Circuit, Start, 0.5);
  cr_assert(!isClosed(Circuit, Start));
  cr_assert(isClosed(Circuit, Start + std::chrono::seconds(2)));
  noteSuccess(Circuit);
  cr_assert(isClosed(Circuit, Start));
}

// Guards against a write that runs twice: its answer was lost, so only a retry
// with the same request id is safe.
Test(retry_policy, an_unknown_outcome_is_retried_only_under_the_same_id) {
  using base::errc;
  cr_assert(retryKindOf({errc::OutcomeUnknown}) == retry_kind::SameId);
  cr_assert(retryKindOf({errc::TruncatedAnswer}) == retry_kind::SameId);
  cr_assert(retryKindOf({errc::NotPrimary}) == retry_kind::Anywhere);
  cr_assert(retryKindOf({errc::StatementFailed}) == retry_kind::Never);
  cr_assert(retryKindOf({errc::DeadlinePassed}) == retry_kind::Never);
}
