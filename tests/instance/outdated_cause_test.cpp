#include "instance_fleet.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::testing;

// Guards against an orderer that takes a move over which another one has
// claimed after the cause for its own was found.
Test(handover, does_not_take_over_a_move_that_it_only_learns_of_by_claiming) {
  fleet Fleet;
  const auto A = makeInstance(Fleet, "a");
  const auto B = makeInstance(Fleet, "b");
  for (const instance &Instance : {A, B})
    acceptClaim(*Instance, claim("s1", 1, false, "a"));
  const auto Running = claimAndAccept(Fleet, B, "s1");
  cr_assert(Running);
  const auto Second = runTask(Fleet, claimMove(*A, "s1", "p"));
  cr_assert(!Second);
}
