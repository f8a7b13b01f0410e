#include "line_client.hpp"
#include "native_fleet.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::fleet;
using standin::simulated_platform;

namespace {

/// A configuration of about a megabyte.
constexpr std::size_t ManyRoutes = 5000;

void configureLargely(simulated_platform &World) {
  constexpr double Rate = 1000;
  World.configure({"other"}, Rate, ManyRoutes);
}

} // namespace

// A large configuration must come into force although the link to the store is
// slow.
Test(large_configuration, arrives_over_a_slow_link) {
  native_fleet Fleet(2);
  line_client Caller(Fleet.Instances[1].Callers, "strict", "key");
  cr_assert(Caller.run("READ a").Error.empty());
  Fleet.World.runOnThread([](simulated_platform &World) {
    constexpr std::size_t BytesPerSecond = 500'000;
    World.SecondStoreProxy->setSpeed(BytesPerSecond);
    configureLargely(World);
  });
  cr_assert(eventually([&] { return Caller.run("READ a").Error == "DENIED"; }));
}

// The store rejects one instance: a configuration that is too large for a
// heartbeat must reach it from the other instances.
Test(large_configuration, reaches_an_instance_that_the_store_turns_away) {
  native_fleet Fleet(3);
  line_client Caller(Fleet.Instances[2].Callers, "strict", "key");
  cr_assert(Caller.run("READ a").Error.empty());
  Fleet.World.runOnThread([](simulated_platform &World) {
    World.SecondStoreDown = true;
    configureLargely(World);
  });
  cr_assert(eventually([&] { return Caller.run("READ a").Error == "DENIED"; }));
}
