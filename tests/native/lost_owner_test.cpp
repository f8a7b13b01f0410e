#include "line_client.hpp"
#include "native_fleet.hpp"

#include <algorithm>
#include <csignal>
#include <regex>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::fleet;
using standin::simulated_platform;

namespace {

/// Owner and standby owner of d1 as \p Instance logged them last; empty when it
/// has logged none.
std::vector<std::string> ownersAt(const native_process &Instance) {
  static const std::regex Line(
      R"re("owner_changed","endpoint":"d1",.*"is":"(\w+)","standby":"(\w+)")re");
  const std::string Log = Instance.Process->output();
  std::vector<std::string> Owners;
  for (std::sregex_iterator Found(Log.begin(), Log.end(), Line), End;
       Found != End; ++Found)
    Owners = {(*Found)[1], (*Found)[2]};
  return Owners;
}

bool allAgree(const native_fleet &Fleet) {
  const auto First = ownersAt(Fleet.Instances.front());
  return First.size() == 2 &&
         std::ranges::all_of(Fleet.Instances,
                             [&](const native_process &Instance) {
                               return ownersAt(Instance) == First;
                             });
}

native_process &named(native_fleet &Fleet, std::string_view Name) {
  return *std::ranges::find(Fleet.Instances, Name, &native_process::Name);
}

/// The instance that is neither owner nor standby owner of d1. Precondition:
/// all agree.
native_process &third(native_fleet &Fleet) {
  const auto Owners = ownersAt(Fleet.Instances.front());
  return *std::ranges::find_if(
      Fleet.Instances, [&](const native_process &Instance) {
        return std::ranges::find(Owners, Instance.Name) == Owners.end();
      });
}

void checkNothingRanTwice(native_fleet &Fleet) {
  Fleet.World.runOnThread([](simulated_platform &World) {
    for (const auto &[Id, Count] : World.Group.Runs)
      cr_assert(Count == 1, "%s ran %u times", Id.c_str(), Count);
  });
}

const std::string ByCapacity = "[policy]\nowners = capacity\n";

} // namespace

// The owner of the primary's connections is killed: the next write goes to the
// standby owner.
Test(lost_owner, is_replaced_by_the_standby_when_killed) {
  native_fleet Fleet(3, ByCapacity);
  cr_assert(eventually([&] { return allAgree(Fleet); }));
  native_process &Third = third(Fleet);
  line_client Caller(Third.Callers, "strict", "key");
  cr_assert(Caller.run("WRITE a 1").Error.empty());
  const auto Owners = ownersAt(Third);
  native_process &Owner = named(Fleet, Owners.front());
  Owner.Process->signal(SIGKILL);
  // A write that is sent before the end of the process is in doubt.
  cr_assert(Owner.Process->wait(std::chrono::seconds(30)).has_value());
  const line_answer Answer = Caller.run("WRITE b 2");
  cr_assert(Answer.Error.empty(), "%s", Answer.Error.c_str());
  // Its connections are of use to the next owner.
  cr_assert(
      eventually([&] { return ownersAt(Third).front() == Owners.back(); }));
  checkNothingRanTwice(Fleet);
}

// The owner is stopped and resumed. Writes are served meanwhile; the one that
// it received may run when it is resumed, and was not sent again.
Test(lost_owner, is_replaced_while_frozen) {
  native_fleet Fleet(3, ByCapacity);
  cr_assert(eventually([&] { return allAgree(Fleet); }));
  native_process &Third = third(Fleet);
  native_process &Owner = named(Fleet, ownersAt(Third).front());
  line_client Caller(Third.Callers, "strict", "key");
  cr_assert(Caller.run("WRITE a 1").Error.empty());
  Owner.Process->signal(SIGSTOP);
  const std::string Error = Caller.run("WRITE b 2").Error;
  // Empty if the owner was found to be lost before.
  cr_assert(Error.empty() || Error == "INDOUBT" || Error == "TIMEOUT", "%s",
            Error.c_str());
  cr_assert(eventually([&] { return Caller.run("WRITE c 3").Error.empty(); }));
  Owner.Process->signal(SIGCONT);
  cr_assert(eventually([&] { return allAgree(Fleet); }));
  cr_assert(eventually([&] { return Caller.run("WRITE d 4").Error.empty(); }));
  checkNothingRanTwice(Fleet);
}
