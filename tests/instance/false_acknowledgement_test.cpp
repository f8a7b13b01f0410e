#include "instance_fleet.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::testing;

// Guards against a promotion while instances that have finished a move of
// another service still use the old primary.
Test(acknowledgements, do_not_count_the_end_of_another_services_move) {
  fleet Fleet;
  const auto A = makeInstance(Fleet, "a");
  const auto B = makeInstance(Fleet, "b");
  const auto C = makeInstance(Fleet, "c");
  beginFleet({A, B, C});
  // "b" has claimed "s1" in epoch 12, and none of its heartbeats arrives.
  acceptClaim(*A, claim("s2", 13, false, "a"));
  deliver(A, C);
  deliver(A, B);
  deliver(C, B);
  const primary_claim Claim = claim("s1", 12, true, "b");
  claimAs(B, Claim);
  cr_assert(primaryLeaseFor(*A, "s1") && primaryLeaseFor(*C, "s1"));
  cr_assert(!isAcknowledgedByAll(B, Claim));
}

// Guards against a promotion while an earlier orderer, which has accepted a
// later claim of another service only, has an order under way.
Test(acknowledgements, do_not_count_an_orderer_that_refused_the_claim) {
  fleet Fleet;
  const auto A = makeInstance(Fleet, "a");
  const auto B = makeInstance(Fleet, "b");
  const auto C = makeInstance(Fleet, "c");
  beginFleet({A, B, C});
  A->PromotionsInFlight.insert("s1");
  const primary_claim Claim = claim("s1", 12, true, "b");
  claimAs(B, Claim);
  claimAs(B, claim("s2", 13, true, "b"));
  for (const instance &Other : {A, C}) {
    deliver(B, Other);
    deliver(Other, B);
  }
  cr_assert(!primaryLeaseFor(*A, "s1"));
  cr_assert(A->Claims.CompleteUpTo < Claim.Epoch);
  cr_assert(!isAcknowledgedByAll(B, Claim));
}
