#include "fleet.hpp"

#include "redwinggw/base/time.hpp"

#include <algorithm>
#include <thread>

/// A replica that still receives commits is cut off from the platform's store,
/// so that its entry expires. Then the other replica falls behind and the
/// primary crashes. Is an acknowledged commit in the log of the database that
/// is promoted?
namespace {

using namespace review;

/// Of the cut: the last heartbeat before it was accepted 1.1 s before it began,
/// the next one is due every 1.2 s. So the entry expires three intervals after
/// that heartbeat, and is back with the first one after the end of the cut.
constexpr milliseconds CutFor{5000};
constexpr milliseconds ExpiresAfter{2500};
constexpr milliseconds BackAfter{6100};
/// replica_lag: how long a replica receives nothing.
constexpr milliseconds DeafFor{6500};

bool isRecorded(small_fleet &Fleet, const std::string &Name) {
  bool Recorded = false;
  Fleet.World.runOnThread([&](simulated_platform &World) {
    Recorded =
        World.Store.value("redwinggw", "holders/s").find('"' + Name + '"') !=
        std::string::npos;
  });
  return Recorded;
}

/// The log of the first database that was promoted, at the order.
struct promoted_log {
  bool Any = false;
  std::string Name;
  bool HoldsWrite = false;
};

int run(record &Log) {
  small_fleet Fleet(3);
  Fleet.World.replicateSynchronously();
  Log.note("service s: d1 primary, d2 and d3 replicas, sync_replicas 1");
  if (!eventually(
          [&] { return isRecorded(Fleet, "d2") && isRecorded(Fleet, "d3"); }) ||
      !Fleet.runEventually(0, "strict", "WRITE a 0", &Log))
    return CouldNotRun;
  std::this_thread::sleep_for(milliseconds(300));

  promoted_log Promoted;
  Fleet.World.runOnThread([&](simulated_platform &World) {
    World.PromotionTime = milliseconds(300);
    World.OnPromotion = [&](const redwinggw::standin::promotion &Order) {
      if (Promoted.Any)
        return;
      const simulated_database &Target = World.database(Order.Database);
      Promoted = {true, Order.Database,
                  std::ranges::any_of(Target.Log, [](const auto &Entry) {
                    return Entry.Item == "a" && Entry.Data == "1";
                  })};
    };
  });

  const auto CutAt = std::chrono::steady_clock::now();
  const auto sleepUntil = [&](milliseconds Time) {
    std::this_thread::sleep_until(CutAt + Time);
  };
  if (withTrouble()) {
    Log.note("d2 is cut off from the store; it runs, and d1 reaches it");
    sleepUntil(ExpiresAfter);
    Fleet.World.runOnThread(
        [](simulated_platform &World) { World.Store.remove("servers", "d2"); });
    Log.note("the entry of d2 expires");
    while (isRecorded(Fleet, "d2") &&
           std::chrono::steady_clock::now() < CutAt + BackAfter)
      std::this_thread::sleep_for(milliseconds(5));
    Log.note(isRecorded(Fleet, "d2") ? "holders/s names d2 still"
                                     : "holders/s does not name d2 any more");
    Fleet.World.runOnThread([](simulated_platform &World) {
      replicate(World.Group, redwinggw::base::now());
      World.database("d3").Deaf = true;
    });
    Log.note("d3 receives nothing from now on");
  }
  const auto DeafAt = std::chrono::steady_clock::now();
  const line_answer Written = Fleet.runOnce(0, "strict", "WRITE a 1", &Log);
  if (!Written.Error.empty())
    return CouldNotRun;
  if (!withTrouble()) {
    const line_answer Read = Fleet.runOnce(1, "strict", "READ a", &Log);
    return Read.Rows == std::vector<std::string>{"1"} ? Held : Broken;
  }
  Fleet.World.crash("d1");
  Log.note("d1 crashes");
  bool Back = false;
  bool Heard = false;
  // Callers go on using the service.
  while (std::chrono::steady_clock::now() < CutAt + milliseconds(20000)) {
    for (std::size_t Index = 0; Index < Fleet.Instances.size(); ++Index)
      Fleet.runOnce(Index, "strict", "READ a");
    const auto Now = std::chrono::steady_clock::now();
    if (!Back && Now >= CutAt + BackAfter) {
      Back = true;
      Fleet.World.restart("d2");
      Log.note("the cut has ended: d2 has its entry again");
    }
    if (!Heard && Now >= DeafAt + DeafFor) {
      Heard = true;
      Fleet.World.runOnThread(
          [](simulated_platform &World) { World.database("d3").Deaf = false; });
      Log.note("d3 receives again");
    }
    bool Any = false;
    Fleet.World.runOnThread([&](simulated_platform &) { Any = Promoted.Any; });
    if (Any)
      break;
    std::this_thread::sleep_for(milliseconds(20));
  }
  if (!Promoted.Any) {
    Log.note("nothing was promoted");
    return Held;
  }
  Log.note("promoted: " + Promoted.Name + ", its log " +
           (Promoted.HoldsWrite ? "has" : "lacks") +
           " the acknowledged WRITE a 1");
  std::this_thread::sleep_for(milliseconds(500));
  Fleet.runEventually(0, "strict", "READ a", &Log);
  return Promoted.HoldsWrite ? Held : Broken;
}

} // namespace

int main() { return review::runCase("review/5", run); }
