#include "line_client.hpp"
#include "native_fleet.hpp"

#include <string>
#include <thread>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::fleet;
using standin::direction;
using standin::simulated_platform;

namespace {

/// The first one reads the store for all, and orders promotions.
enum instance_index : std::size_t { First, Second, Third };

void onThread(native_fleet &Fleet,
              const std::function<void(simulated_platform &)> &Work) {
  Fleet.World.runOnThread(Work);
}

std::string rowAt(native_fleet &Fleet, const std::string &Key) {
  std::string Row;
  onThread(Fleet, [&](simulated_platform &World) {
    Row = World.Store.value("redwinggw", Key);
  });
  return Row;
}

bool isClaimedBy(native_fleet &Fleet, const std::string &Service,
                 instance_index Index) {
  const std::string Row = rowAt(Fleet, "group/" + Service);
  return Row.find("\"moving\":true") != std::string::npos &&
         Row.find("\"orderer\":\"" + Fleet.Instances[Index].Name + '"') !=
             std::string::npos;
}

/// The first instance claims the move of "s", all acknowledge it, and it waits
/// for an endpoint that may be promoted.
void beginMove(native_fleet &Fleet) {
  Fleet.World.replicateSynchronously();
  cr_assert(eventually([&] {
    return rowAt(Fleet, "holders/s").find("\"d3\"") != std::string::npos;
  }));
  cr_assert(eventually([&] {
    line_client Caller(Fleet.Instances[First].Callers, "strict", "key");
    return Caller.run("WRITE a 1").Error.empty();
  }));
  Fleet.World.crash("d3");
  Fleet.World.crash("d1");
  for (const native_process &Instance : Fleet.Instances)
    line_client(Instance.Callers, "strict", "key").run("READ a");
  cr_assert(eventually([&] {
    const std::string Log = Fleet.Instances[First].Process->output();
    return Log.find("\"target\":\"none\"") != std::string::npos;
  }));
  cr_assert(isClaimedBy(Fleet, "s", First));
}

/// The others hear nothing of the first instance, and cannot claim its move
/// before the store answers them.
void isolateFirst(native_fleet &Fleet) {
  onThread(Fleet, [&](simulated_platform &) {
    for (const instance_index Index : {Second, Third})
      Fleet.Instances[Index].Store->hold(direction::ToServer);
    Fleet.Instances[First].Promotions->hold(direction::ToServer);
  });
  Fleet.cut(First, Second, true);
  Fleet.cut(First, Third, true);
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
}

/// The first instance orders, and the network holds the order.
void holdOrder(native_fleet &Fleet) {
  Fleet.World.restart("d3");
  standin::fault_proxy &Link = *Fleet.Instances[First].Promotions;
  cr_assert(eventually([&] {
    bool Sent = false;
    onThread(Fleet, [&](simulated_platform &) {
      Sent = Link.heldBytes(direction::ToServer) > 0;
    });
    return Sent;
  }));
  onThread(Fleet, [&](simulated_platform &) { Link.holdNoNewConnections(); });
}

/// Whether the second instance orders while the order of the first one is
/// unanswered. It claims the move of "s" meanwhile; \p OtherClaim: a later
/// claim of another service is in the store by then.
bool ordersBesideAnother(native_fleet &Fleet, bool OtherClaim) {
  beginMove(Fleet);
  isolateFirst(Fleet);
  bool Ordered = false;
  bool BesideAnother = false;
  onThread(Fleet, [&](simulated_platform &World) {
    World.OnPromotion = [&](const standin::promotion &Promotion) {
      const bool Others = Promotion.Orderer != Fleet.Instances[First].Name;
      Ordered |= Others;
      BesideAnother |= Others && Fleet.Instances[First].Promotions->isAwaited();
    };
  });
  holdOrder(Fleet);
  // The claim comes so late that its wait for the first instance's lease ends
  // after that one's order.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  onThread(Fleet, [&](simulated_platform &) {
    Fleet.Instances[Second].Store->release(direction::ToServer);
  });
  cr_assert(eventually([&] { return isClaimedBy(Fleet, "s", Second); }));
  if (OtherClaim)
    onThread(Fleet, [](simulated_platform &World) {
      World.Store.put("redwinggw", "group/s2",
                      R"({"primary":"s2-d1","moving":false,"orderer":"i2",)"
                      R"("token":1,"term":1})");
    });
  Fleet.cut(First, Second, false);
  Fleet.cut(First, Third, false);
  cr_assert(eventually([&] {
    bool Over = false;
    onThread(Fleet, [&](simulated_platform &) { Over = Ordered; });
    return Over;
  }));
  onThread(Fleet, [](simulated_platform &World) { World.OnPromotion = {}; });
  return BesideAnother;
}

} // namespace

// Guards against an acknowledgement by an instance whose own order is
// unanswered.
Test(claim_acknowledgement, waits_for_an_unanswered_order) {
  native_fleet Fleet({3, 2, "", true});
  cr_assert(!ordersBesideAnother(Fleet, false));
}

// Guards against the same by one that knows a later claim of another service.
Test(claim_acknowledgement, is_not_given_by_a_claim_of_another_service) {
  native_fleet Fleet({3, 2, "", true});
  cr_assert(!ordersBesideAnother(Fleet, true));
}
