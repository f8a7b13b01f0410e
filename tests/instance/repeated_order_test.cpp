#include "instance_fleet.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::testing;

// Guards against an orderer that repeats its order though another one has
// claimed the move meanwhile.
Test(promotion, is_not_ordered_again_after_a_later_claim) {
  fleet Fleet;
  Fleet.AnswerTime = milliseconds(5000);
  const auto A = makeInstance(Fleet, "a");
  const auto B = makeInstance(Fleet, "b");
  const auto Move = claimAndAccept(Fleet, A, "s1");
  cr_assert(Move);
  bool Ended = false;
  asio::co_spawn(Fleet.Context, orderInTouch(A, Move->Claim, Ended),
                 asio::detached);
  runUntil(Fleet, [&] { return Fleet.Orders.size() == 1; });
  runTask(Fleet, readFleet(*B));
  const auto Later = claimAndAccept(Fleet, B, "s1");
  cr_assert(Later && Later->Claim.Token > Move->Claim.Token);
  runTask(Fleet, readFleet(*A));
  cr_assert(A->PromotionsInFlight.contains("s1"));
  runUntil(Fleet, [&] { return Ended; });
  cr_assert(Fleet.Orders.size() == 1);
}
