#include "fleet_callers.hpp"

#include <algorithm>
#include <csignal>
#include <functional>
#include <string_view>
#include <thread>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::fleet;
using standin::simulated_platform;

namespace {

std::size_t statementsAt(native_fleet &Fleet, std::size_t Database) {
  std::size_t Statements = 0;
  Fleet.World.runOnThread([&](simulated_platform &World) {
    Statements = World.Group.Databases[Database].Statements;
  });
  return Statements;
}

} // namespace

// Guards against statements at endpoints of an evacuated zone, a primary among
// them, and against a zone that stays unused after its evacuation has ended.
Test(evacuation_path, leaves_an_evacuated_zone_and_returns) {
  native_fleet Fleet(2);
  Fleet.World.placeIn("d1", "z2");
  Fleet.World.placeIn("d2", "z2");
  cr_assert(writeEventually(Fleet.Instances[0], "a", "1"));
  Fleet.World.evacuate("z2");
  cr_assert(eventually([&] {
    bool Moved = false;
    Fleet.World.runOnThread([&](simulated_platform &World) {
      Moved = World.Group.Databases[2].Primary;
    });
    return Moved;
  }));
  cr_assert(writeEventually(Fleet.Instances[1], "b", "2"));
  const std::size_t Before = statementsAt(Fleet, 0) + statementsAt(Fleet, 1);
  line_client Caller(Fleet.Instances[0].Callers, "own", "key");
  for (int Round = 0; Round < 20; ++Round) {
    cr_assert(Caller.run("WRITE c 3").Error.empty());
    cr_assert(Caller.run("READ a").Rows == std::vector<std::string>{"1"});
  }
  cr_assert(statementsAt(Fleet, 0) + statementsAt(Fleet, 1) == Before);
  Fleet.World.endEvacuation("z2");
  cr_assert(eventually([&] {
    Caller.run("READ a");
    return statementsAt(Fleet, 1) + statementsAt(Fleet, 0) > Before;
  }));
}

namespace {

/// Sends writes until \p Wanted were served; the number of those that were.
unsigned writeRepeatedly(const native_process &Instance, unsigned Wanted) {
  constexpr unsigned MostTries = 3000;
  line_client Caller(Instance.Callers, "strict", "key");
  unsigned Served = 0;
  for (unsigned Tries = 0; Tries < MostTries && Served < Wanted; ++Tries) {
    Served += Caller.run("WRITE b 2").Error.empty() ? 1 : 0;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return Served;
}

} // namespace

// Guards against a zone that gets all its load back when its evacuation ends,
// before the list says that its endpoints are cold, and against endpoints that
// nobody may send to.
Test(evacuation_path, limits_requests_to_cold_endpoints_after_an_evacuation) {
  native_fleet Fleet(2, "[endpoints]\ncold_overshoot = 1.5\ncold_slack = 5\n");
  cr_assert(writeEventually(Fleet.Instances[0], "a", "1"));
  Fleet.World.evacuate("z1");
  for (const native_process &Instance : Fleet.Instances)
    cr_assert(eventually([&] {
      line_client Caller(Instance.Callers, "strict", "key");
      return Caller.run("READ a").Error == "BUSY";
    }));
  const auto Requests = [&] {
    std::size_t Count = 0;
    Fleet.World.runOnThread([&](simulated_platform &World) {
      Count = World.Group.Databases[0].Requests;
    });
    return Count;
  };
  const std::size_t Before = Requests();
  const base::instant Begun = base::now();
  Fleet.World.endEvacuation("z1");
  Fleet.World.makeCold("d1", base::milliseconds(60000));
  constexpr unsigned Each = 30;
  std::thread Other(
      [&] { cr_assert(writeRepeatedly(Fleet.Instances[1], Each) == Each); });
  const unsigned Served = writeRepeatedly(Fleet.Instances[0], Each);
  Other.join();
  cr_assert(Served == Each, "%s", Fleet.Instances[0].Process->output().c_str());
  // 20 requests per second, and the depth of the bucket.
  const double Seconds =
      std::chrono::duration<double>(base::now() - Begun).count();
  cr_assert(static_cast<double>(Requests() - Before) <= 10 + 20 * Seconds);
  const auto Logged = [&](std::string_view Text) {
    return std::ranges::any_of(
        Fleet.Instances, [&](const native_process &Instance) {
          return Instance.Process->output().find(Text) != std::string::npos;
        });
  };
  cr_assert(Logged("endpoint_cold"));
}
