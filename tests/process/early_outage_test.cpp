#include "background_writer.hpp"
#include "fleet.hpp"

#include <boost/json.hpp>

#include <iostream>

#include "criterion_test.hpp"

using namespace redwinggw::fleet;

namespace {

constexpr const char *Primary = "orders-db-1";

std::vector<redwinggw::http::address> callersOf(running_fleet &Fleet) {
  std::vector<redwinggw::http::address> Addresses;
  for (const auto &Instance : Fleet.instances())
    Addresses.push_back(Instance->Callers);
  return Addresses;
}

/// Waits for more acknowledged writes, and shows the logs when none come.
void waitForWrites(running_fleet &Fleet, background_writer &Writer,
                   std::size_t Enough = 50) {
  const std::size_t Wanted = Writer.done() + Enough;
  const bool Came = eventually([&] { return Writer.done() >= Wanted; });
  if (!Came) {
    Writer.stop();
    std::cerr << Writer.refusals() << Fleet.logs();
  }
  cr_assert(Came);
}

} // namespace

// The platform's services go down for everybody right after the fleet started.
// After some two seconds every request is refused with over_rate, because
// nobody gives shares of the rates any more.
Test(early_outage, traffic_goes_on_while_the_platform_is_down) {
  running_fleet Fleet(smallPlan());
  Fleet.start();
  background_writer Writer(caller(customerKey("dulciuri"), "orders"),
                           callersOf(Fleet), 1);
  Fleet.setFault("platform", {{"kind", "outage"}});
  for (int Round = 0; Round < 5; ++Round)
    waitForWrites(Fleet, Writer);
  Fleet.setFault("platform", {{"kind", "none"}});
  waitForWrites(Fleet, Writer);
  cr_assert(lies(Fleet, Primary, Writer.stop()).empty());
}
