#include "instance_fleet.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::testing;

// Guards against a primary that the only instance left never replaces.
Test(handover, counts_this_instance_among_those_that_are_up) {
  fleet Fleet;
  const auto A = makeInstance(Fleet, "a");
  const primary_reports Reports = collectPrimaryReports(*A);
  cr_assert(Reports.Up.empty());
  cr_assert(viewOf(*A, Reports, "s1").Instances == 1);
}
