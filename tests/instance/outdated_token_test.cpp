#include "instance_fleet.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::testing;

// Guards against an order with a lower fencing token than one before it, which
// another orderer has sent for another service.
Test(promotion, is_not_ordered_with_an_outdated_token) {
  fleet Fleet;
  const auto A = makeInstance(Fleet, "a");
  const auto B = makeInstance(Fleet, "b");
  auto First = claimAndAccept(Fleet, A, "s1");
  auto Second = claimAndAccept(Fleet, B, "s2");
  cr_assert(First && Second);
  cr_assert(First->Claim.Token < Second->Claim.Token);
  runTask(Fleet, readFleet(*A));
  runTask(Fleet, orderOnce(B, Second->Claim));
  runTask(Fleet, orderOnce(A, First->Claim));
  cr_assert(Fleet.Orders == std::vector<std::string>{"s2"});
}
