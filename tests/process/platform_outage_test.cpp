#include "background_writer.hpp"
#include "fleet.hpp"

#include <boost/json.hpp>

#include <iostream>

#include "criterion_test.hpp"

using namespace redwinggw::fleet;

namespace {

constexpr const char *Primary = "orders-db-1";

/// Writes before, during and after an outage of all of the platform's services,
/// which begins after \p Before writes.
void writeThroughAnOutage(std::size_t Before) {
  running_fleet Fleet(smallPlan());
  Fleet.start();
  background_writer Writer(caller(customerKey("dulciuri"), "orders"),
                           callerAddresses(Fleet), 1);
  cr_assert(writesContinue(Fleet, Writer, Before));
  Fleet.setFault("platform", {{"kind", "outage"}});
  for (int Round = 0; Round < 5; ++Round)
    cr_assert(writesContinue(Fleet, Writer));
  Fleet.setFault("platform", {{"kind", "none"}});
  cr_assert(writesContinue(Fleet, Writer));
  cr_assert(consistencyViolations(Fleet, Primary, Writer.stop()).empty());
}

} // namespace

// The platform's services go down for all instances some seconds after the
// start, when the leases of the share allocators have settled. Callers must not
// notice it.
Test(platform_outage, traffic_goes_on_while_the_platform_is_down) {
  constexpr std::size_t Settled = 500;
  writeThroughAnOutage(Settled);
}

// The same right after the start. After about two seconds every request was
// refused with over_rate: leases of rate shares were about to move to the
// instance that had started last, and no instance allocated shares until the
// store was back.
Test(platform_outage, traffic_goes_on_when_it_goes_down_right_after_the_start) {
  writeThroughAnOutage(0);
}
