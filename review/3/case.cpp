// A service with sync_replicas = 1: one replica is being replaced and drains,
// the other one receives nothing for a while, and the primary crashes. The
// draining replica has every acknowledged commit.
#include "world.hpp"

#include <iostream>
#include <map>

namespace {

using namespace review;

struct state {
  explicit state(world &World) : World(World) {}
  world &World;
  bool Stop = false;
  std::size_t Asked = 0;
  /// Ids of acknowledged writes, and those that a promoted database lacked.
  std::vector<std::string> Acknowledged;
  std::vector<std::string> Lost;
};

task<> write(state &State, int Number) {
  int Count = 0;
  while (!State.Stop) {
    const std::string Item =
        "w" + std::to_string(Number) + "-" + std::to_string(++Count);
    ++State.Asked;
    const outcome Outcome =
        co_await State.World.operate("bag-checkout", "WRITE " + Item + " %ID");
    if (Outcome.Error.empty())
      State.Acknowledged.push_back(Outcome.Id);
    co_await pause(ms(60));
  }
}

task<> play(state &State, int &Result) {
  world &World = State.World;
  const bool Started = co_await startAll(World);
  if (!Started)
    co_return;
  for (int Number = 0; Number < 12; ++Number)
    asio::co_spawn(World.Context, write(State, Number), asio::detached);
  co_await pause(ms(3000));
  // Planned: the replica is replaced. It drains for seven seconds; the new
  // database comes once it has left, so it plays no part here.
  World.Record.line("planned: d-3 reports draining");
  World.Group.find("d-3")->Draining = true;
  co_await pause(ms(1500));
  if (hasTrouble()) {
    World.Record.line("trouble: d-2 receives nothing");
    World.Group.find("d-2")->Deaf = true;
    co_await pause(ms(1500));
    World.Record.line("trouble: the primary crashes");
    World.Group.current().crash();
  }
  co_await pause(ms(4500));
  World.Group.find("d-2")->Deaf = false;
  co_await pause(ms(1500));
  State.Stop = true;
  co_await pause(ms(3000));
  Result = 0;
}

} // namespace

int main(int, char **Arguments) {
  int Result = 2;
  try {
    world World(Arguments[1]);
    state State(World);
    World.Group.SyncReplicas = 1;
    for (const auto &[Name, Zone] : std::map<std::string, std::string>{
             {"d-1", "cluj-a"}, {"d-2", "cluj-b"}, {"d-3", "sibiu-a"}})
      World.Group.add(Name, Zone);
    World.addInstances(8);
    std::size_t Promoted = 0;
    World.Group.OnPromoted = [&](database &Old, database &New) {
      ++Promoted;
      for (const std::string &Id : State.Acknowledged)
        if (!group::has(New, Id))
          State.Lost.push_back(Id);
      World.Record.line("platform: " + New.Name + " leads in place of " +
                        Old.Name + " with " + std::to_string(New.Log.size()) +
                        " commits; d-3 has " +
                        std::to_string(World.Group.find("d-3")->Log.size()));
    };
    World.run([&] { return play(State, Result); });
    if (Result == 0 && hasTrouble() && Promoted == 0) {
      World.Record.line("no database was promoted");
      Result = 2;
    }
    if (Result == 0 && !State.Lost.empty())
      Result = 1;
    World.Record.line(
        "result: " + std::to_string(State.Asked) + " writes asked, " +
        std::to_string(State.Acknowledged.size()) +
        " acknowledged; of these, the promoted database lacked " +
        std::to_string(State.Lost.size()) + "; exit " + std::to_string(Result));
  } catch (const std::exception &Fault) {
    std::cerr << Fault.what() << "\n";
  }
  return Result;
}
