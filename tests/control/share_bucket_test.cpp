#include "redwinggw/control/share_bucket.hpp"
#include "redwinggw/control/share_consumer.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using base::instant;
using base::microseconds;
using base::milliseconds;

namespace {

const instant Start{milliseconds(1000)};
const share_limits Limits;

share_bucket fullBucket(double Rate, double Burst) {
  share_bucket Bucket;
  Bucket.Plan = planOf(Rate, Burst, Limits);
  Bucket.Tokens = Burst;
  Bucket.FilledAt = Start;
  return Bucket;
}

} // namespace

Test(share_bucket, a_burst_is_given_at_once_and_then_the_rate) {
  share_bucket Bucket = fullBucket(100, 100);
  cr_assert(Bucket.Plan.Ttl == milliseconds(250));
  cr_assert(allocateTokens(Bucket, 500, Start, Limits) == 100);
  // All tokens are outstanding for a Ttl; after that the bucket fills at the
  // rate.
  cr_assert(allocateTokens(Bucket, 500, Start + milliseconds(250), Limits) ==
            0);
  cr_assert(allocateTokens(Bucket, 500, Start + milliseconds(1250), Limits) ==
            100);
}

Test(share_bucket, the_time_to_the_next_token_waits_for_outstanding_grants) {
  share_bucket Bucket = fullBucket(100, 10);
  cr_assert(timeToToken(Bucket, Start) == microseconds(0));
  allocateTokens(Bucket, 10, Start, Limits);
  cr_assert(timeToToken(Bucket, Start) == Bucket.Plan.Ttl);
}

Test(share_bucket, a_small_burst_shortens_the_grants) {
  cr_assert(planOf(1000, 100, Limits).Ttl == Limits.MinTtl);
  cr_assert(planOf(100, 20, Limits).Ttl == milliseconds(50));
}

// A customer floods one instance with thousands of requests. They must not wait
// in memory for tokens that cannot come in time.
Test(share_consumer, a_flood_is_refused_early_with_the_time_to_come_back) {
  share_consumer Consumer;
  Consumer.Accounts["c"].Plan = planOf(100, 10, Limits);
  for (int Count = 0; Count < 1000; ++Count)
    waitForToken(Consumer, "c", Start, Start + milliseconds(60000));
  const auto Requests = dueRequests(Consumer, Start);
  cr_assert(Requests.size() == 1);
  wire::share_message Grant = Requests[0];
  Grant.Kind = wire::share_kind::Grant;
  Grant.Entries[0].Tokens = 10;
  Grant.Entries[0].TtlUs = 30000;
  Grant.Entries[0].WaitUs = 10000;
  cr_assert(onGrant(Consumer, Grant, Start).size() == 10);
  const auto Verdicts = dueVerdicts(Consumer, Start);
  cr_assert(Verdicts.size() > 900 && !Verdicts[0].Admitted);
  cr_assert(Verdicts[0].RetryAfter == milliseconds(10));
  cr_assert(onGrant(Consumer, Grant, Start).empty());
  cr_assert(Consumer.Counters.UnexpectedGrants == 1);
}
