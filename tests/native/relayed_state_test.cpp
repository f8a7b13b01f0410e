#include "line_client.hpp"
#include "native_fleet.hpp"

#include <algorithm>
#include <string>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::fleet;
using standin::simulated_platform;

namespace {

/// More than exchange heartbeats without relays.
constexpr std::size_t Instances = 20;

std::size_t countIn(const std::string &Text, std::string_view Part) {
  std::size_t Count = 0;
  for (auto At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

/// How many instances have logged \p Event.
std::size_t loggedBy(const native_fleet &Fleet, std::string_view Event) {
  return static_cast<std::size_t>(std::ranges::count_if(
      Fleet.Instances, [&](const native_process &Instance) {
        return countIn(Instance.Process->output(), Event) > 0;
      }));
}

/// Whether the store has a row of each instance, most of which relays wrote.
bool allRegistered(native_fleet &Fleet) {
  std::size_t Registered = 0;
  Fleet.World.runOnThread([&](simulated_platform &World) {
    for (const native_process &Instance : Fleet.Instances)
      Registered +=
          World.Store.value("redwinggw", "instance/" + Instance.Name).empty()
              ? 0
              : 1;
  });
  return Registered == Fleet.Instances.size();
}

/// How many instances have put their last configuration in force as a relay
/// sent it.
std::size_t takenFromRelays(const native_fleet &Fleet) {
  return static_cast<std::size_t>(std::ranges::count_if(
      Fleet.Instances, [](const native_process &Instance) {
        const std::string Log = Instance.Process->output();
        const auto Last = Log.rfind(R"("event":"configuration_in_force")");
        return Last != std::string::npos &&
               Log.substr(Last, Log.find('\n', Last) - Last)
                       .find(R"("from":"relay")") != std::string::npos;
      }));
}

constexpr std::string_view EndpointsFetched =
    R"("event":"state_fetched","state":"endpoints")";
constexpr std::string_view ConfigurationFetched =
    R"("event":"state_fetched","state":"configuration")";

/// A state that was fetched and could not be used.
constexpr std::string_view NotRead = "bad_message";

} // namespace

// Guards against a start in which each instance reads the whole list from the
// store: the bytes would grow with the square of the fleet.
Test(relayed_state, reaches_instances_that_start_together) {
  native_fleet Fleet(Instances);
  // The rows of the first start tell the size of the fleet.
  cr_assert(eventually([&] { return allRegistered(Fleet); }));
  for (native_process &Instance : Fleet.Instances)
    Instance.Process->signal(SIGKILL);
  for (native_process &Instance : Fleet.Instances)
    Fleet.start(Instance);
  for (const native_process &Instance : Fleet.Instances) {
    cr_assert(eventually([&] { return isReady(Instance); }));
    line_client Caller(Instance.Callers, "strict", "key");
    cr_assert(eventually([&] { return Caller.run("READ a").Error.empty(); }));
  }
  const auto LoggedByHalf = [&](std::string_view Event) {
    return eventually([&] { return loggedBy(Fleet, Event) >= Instances / 2; });
  };
  cr_assert(LoggedByHalf(EndpointsFetched));
  cr_assert(LoggedByHalf(ConfigurationFetched));
  cr_assert(loggedBy(Fleet, NotRead) == 0);
}

// Guards against a change that reaches relays only.
Test(relayed_state, brings_a_change_of_the_configuration_to_all) {
  native_fleet Fleet(Instances);
  cr_assert(eventually([&] { return allRegistered(Fleet); }));
  Fleet.World.runOnThread([](simulated_platform &World) {
    constexpr double Rate = 1000;
    World.configure({"other"}, Rate);
  });
  for (const native_process &Instance : Fleet.Instances)
    cr_assert(eventually([&] {
      line_client Caller(Instance.Callers, "strict", "key");
      return Caller.failed() == "DENIED";
    }));
  // Log lines are written a moment after what they report.
  cr_assert(
      eventually([&] { return takenFromRelays(Fleet) >= Instances / 2; }));
  cr_assert(loggedBy(Fleet, NotRead) == 0);
}
