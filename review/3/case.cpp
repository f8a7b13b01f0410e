// A caller writes a value of two lines: the protocol ends a line with CR LF, so
// a lone LF is a character of the value.
#include "world.hpp"

#include <iostream>
#include <map>

namespace {

using namespace review;

struct state {
  explicit state(world &World) : World(World) {}
  world &World;
  /// Texts that clients have sent, by id.
  std::map<std::string, std::string> Sent;
  std::size_t Unasked = 0;
  std::size_t Changed = 0;
  std::size_t Wrong = 0;
};

task<> play(state &State, int &Result) {
  world &World = State.World;
  const bool Started = co_await startAll(World);
  if (!Started)
    co_return;
  co_await pause(ms(1000));
  const std::string Break = hasTrouble() ? "\n" : " ";
  for (int Number = 1; Number <= 10; ++Number) {
    const std::string Item = "note" + std::to_string(Number);
    const std::string Value = "first" + Break + "QUERY forged" +
                              std::to_string(Number) + " WRITE other" +
                              std::to_string(Number) + " x";
    const outcome Written =
        co_await World.operate("bag-checkout", "WRITE " + Item + " " + Value);
    const outcome Read = co_await World.operate("bag-checkout", "READ " + Item);
    const bool Differs =
        Written.Error.empty() && Read.Error.empty() && Read.Value != Value;
    State.Wrong += Differs ? 1 : 0;
    if (Differs)
      World.Record.line("the acknowledged value is not what was written: " +
                        Read.Value);
    co_await pause(ms(100));
  }
  Result = 0;
}

} // namespace

int main(int, char **Arguments) {
  int Result = 2;
  try {
    world World(Arguments[1]);
    state State(World);
    for (const auto &[Name, Zone] : std::map<std::string, std::string>{
             {"d-1", "cluj-a"}, {"d-2", "cluj-b"}, {"d-3", "sibiu-a"}})
      World.Group.add(Name, Zone);
    World.addInstances(8);
    World.OnSend = [&](const std::string &Id, const std::string &Text) {
      State.Sent[Id] = Text;
    };
    World.Group.OnRequest = [&](database &Own, const std::string &Id,
                                const std::string &Text) {
      if (Id == "-")
        return;
      const auto Found = State.Sent.find(Id);
      const bool Unasked = Found == State.Sent.end();
      // A read may be preceded by AFTER; no read here has such a text.
      const bool Changed = !Unasked && !Text.ends_with(Found->second);
      State.Unasked += Unasked ? 1 : 0;
      State.Changed += Changed ? 1 : 0;
      World.Record.line("database: " + Own.Name + " got " + Id + " " + Text +
                        (Unasked   ? ", which no client sent"
                         : Changed ? ", which is not what the client sent"
                                   : ""));
    };
    World.run([&] { return play(State, Result); });
    if (Result == 0 && State.Unasked + State.Changed > 0)
      Result = 1;
    World.Record.line(
        "result: databases got " + std::to_string(State.Unasked) +
        " statements that no client sent and " + std::to_string(State.Changed) +
        " with changed text; " + std::to_string(State.Wrong) +
        " acknowledged values are others than were written; exit " +
        std::to_string(Result));
  } catch (const std::exception &Fault) {
    std::cerr << Fault.what() << "\n";
  }
  return Result;
}
