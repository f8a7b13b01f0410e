#include "instance_fleet.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::testing;

Test(acknowledgements, count_instances_that_know_the_claim) {
  fleet Fleet;
  const auto A = makeInstance(Fleet, "a");
  const auto B = makeInstance(Fleet, "b");
  const auto C = makeInstance(Fleet, "c");
  beginFleet({A, B, C});
  const primary_claim Claim = claim("s1", 12, true, "b");
  claimAs(B, Claim);
  cr_assert(!isAcknowledgedByAll(B, Claim));
  for (const instance &Other : {A, C}) {
    deliver(B, Other);
    deliver(Other, B);
    cr_assert(!primaryLeaseFor(*Other, "s1"));
  }
  cr_assert(isAcknowledgedByAll(B, Claim));
}

Test(promotion, is_ordered_again_while_unanswered) {
  fleet Fleet;
  Fleet.AnswerTime = milliseconds(5000);
  const auto A = makeInstance(Fleet, "a");
  const auto Move = claimAndAccept(Fleet, A, "s1");
  cr_assert(Move);
  bool Ended = false;
  asio::co_spawn(Fleet.Context, orderInTouch(A, Move->Claim, Ended),
                 asio::detached);
  runUntil(Fleet, [&] { return Ended; });
  cr_assert(Fleet.Orders.size() >= 2);
}

Test(handover, takes_over_a_move_that_it_knows) {
  fleet Fleet;
  const auto A = makeInstance(Fleet, "a");
  const auto B = makeInstance(Fleet, "b");
  const auto Running = claimAndAccept(Fleet, B, "s1");
  cr_assert(Running);
  runTask(Fleet, readFleet(*A));
  const auto Second = runTask(Fleet, claimMove(*A, "s1", "p"));
  cr_assert(Second && Second->Resumed);
  cr_assert(Second->Claim.Token > Running->Claim.Token);
}
