#include "fleet.hpp"

#include <boost/json.hpp>

#include <thread>
#include <vector>

/// The primary of a service is lost for good, and right after it all processes
/// of the program are. When they are back, the primary's entry expires. Is the
/// service served again?
namespace {

using namespace review;

/// Of the primary's last heartbeat before it was lost; the entry expires three
/// heartbeat intervals of 1.2 s after it.
constexpr milliseconds EntryExpiresAfter{2500};
constexpr milliseconds ProcessesLostAfter{500};
/// down_s of the final fault.
constexpr milliseconds ProcessesDownFor{1100};
/// recovery_s.
constexpr milliseconds RecoveryTime{12000};
constexpr milliseconds JudgedFor{8000};

/// The requests that were sent and those that were served.
struct tally {
  std::size_t Sent = 0;
  std::size_t Served = 0;
};

/// Reads and writes through each instance at the same time until \p Until.
tally callUntil(small_fleet &Fleet,
                std::chrono::steady_clock::time_point Until) {
  std::vector<tally> Tallies(Fleet.Instances.size());
  std::vector<std::thread> Callers;
  for (std::size_t Index = 0; Index < Tallies.size(); ++Index)
    Callers.emplace_back([&Fleet, &Tally = Tallies[Index], Index, Until] {
      while (std::chrono::steady_clock::now() < Until) {
        const bool Writes = Tally.Sent % 2 == 0;
        const line_answer Answer =
            Fleet.runOnce(Index, Writes ? "strict" : "bounded",
                          Writes ? "WRITE a 1" : "READ a");
        ++Tally.Sent;
        Tally.Served += Answer.Error.empty() ? 1 : 0;
        std::this_thread::sleep_for(milliseconds(30));
      }
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  tally Sum;
  for (const tally &Tally : Tallies)
    Sum = {Sum.Sent + Tally.Sent, Sum.Served + Tally.Served};
  return Sum;
}

std::string textOf(const tally &Tally) {
  return std::to_string(Tally.Served) + " of " + std::to_string(Tally.Sent) +
         " requests served";
}

/// Lists d1 at the address of a proxy, which can make it silent.
redwinggw::standin::fault_proxy &putBehindProxy(small_fleet &Fleet) {
  boost::json::object Entry;
  Fleet.World.runOnThread([&](simulated_platform &World) {
    Entry = boost::json::parse(World.Store.value("servers", "d1")).as_object();
  });
  auto &Proxy = Fleet.World.addProxy(
      redwinggw::http::parseAddress(Entry.at("address").as_string()).value());
  Fleet.World.runOnThread([&](simulated_platform &World) {
    Entry["address"] = redwinggw::http::toText(Proxy.address());
    World.Store.put("servers", "d1", boost::json::serialize(Entry));
  });
  return Proxy;
}

int run(record &Log) {
  constexpr std::size_t Least = 4; // A quarter.
  small_fleet Fleet(3);
  auto &Proxy = putBehindProxy(Fleet);
  std::this_thread::sleep_for(milliseconds(2000));
  using clock_type = std::chrono::steady_clock;
  const tally Before = callUntil(Fleet, clock_type::now() + milliseconds(2000));
  Log.note("before: " + textOf(Before));
  if (Before.Served * Least < Before.Sent)
    return CouldNotRun;
  const auto LostAt = clock_type::now();
  if (withTrouble()) {
    Fleet.World.runOnThread([&](simulated_platform &World) {
      Proxy.hold(redwinggw::standin::direction::ToServer);
      Proxy.hold(redwinggw::standin::direction::ToClient);
      World.database("d1").Down = true;
    });
    Log.note("d1, the primary, is lost for good and silent");
  }
  std::thread Callers([&] { callUntil(Fleet, LostAt + EntryExpiresAfter); });
  std::this_thread::sleep_until(LostAt + ProcessesLostAfter);
  Fleet.killAll();
  Log.note("all processes are lost");
  std::this_thread::sleep_for(ProcessesDownFor);
  Fleet.startAll();
  const auto BackAt = clock_type::now();
  Log.note("all processes are started again");
  std::this_thread::sleep_until(LostAt + EntryExpiresAfter);
  if (withTrouble()) {
    Fleet.World.runOnThread(
        [](simulated_platform &World) { World.Store.remove("servers", "d1"); });
    Log.note("the entry of d1 expires; d2 and d3 are listed and run");
  }
  Callers.join();
  callUntil(Fleet, BackAt + RecoveryTime);
  const tally After = callUntil(Fleet, clock_type::now() + JudgedFor);
  Log.note("later than 12 s after the processes were back: " + textOf(After));
  Fleet.World.runOnThread([&](simulated_platform &World) {
    Log.note(std::to_string(World.Promotions.size()) +
             " promotions were ordered");
  });
  return After.Served * Least < After.Sent ? Broken : Held;
}

} // namespace

int main() { return review::runCase("review/4", run); }
