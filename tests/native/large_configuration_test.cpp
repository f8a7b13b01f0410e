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

// Guards against a configuration that never comes into force over a slow link.
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

// Guards against a configuration too large for what instances tell each other.
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
