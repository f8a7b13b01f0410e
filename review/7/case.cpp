#include "fleet.hpp"

#include "redwinggw/base/time.hpp"

#include <boost/json.hpp>

#include <thread>

/// Configurations in quick succession move a read_your_writes route to another
/// service and back, while replicas receive nothing. A session writes at both
/// services. Does it then read its own write?
namespace {

using namespace review;
namespace json = boost::json;
using clock_type = std::chrono::steady_clock;

/// Between two changes of the configuration; config_storm names 0.33 s.
constexpr milliseconds ChangeGap{340};

/// Publishes the configuration with the route "own" at \p Service.
void moveRoute(small_fleet &Fleet, const std::string &Service) {
  Fleet.World.runOnThread([&](simulated_platform &World) {
    json::object Body =
        json::parse(World.Store.value("op", "config")).as_object();
    for (json::value &Route : Body.at("routes").as_array())
      if (Route.at("host").as_string() == "own")
        Route.as_object()["service"] = Service;
    Body["version"] = Body.at("version").to_number<std::uint64_t>() + 3;
    World.Store.put("op", "config", json::serialize(Body));
  });
}

void setDeaf(small_fleet &Fleet, bool Deaf) {
  Fleet.World.runOnThread([&](simulated_platform &World) {
    replicate(World.Group, redwinggw::base::now());
    World.database("d2").Deaf = World.database("d3").Deaf = Deaf;
  });
}

/// Whether a database of the service number \p Index (from 0) ran \p Id.
bool ranAt(small_fleet &Fleet, std::size_t Index, const std::string &Id) {
  bool Ran = false;
  Fleet.World.runOnThread([&](simulated_platform &World) {
    Ran = World.Groups.at(Index).Runs.contains(Id);
  });
  return Ran;
}

/// Repeats \p Text on \p Session until the service \p Index runs it.
std::optional<line_answer> runAt(small_fleet &Fleet, line_client &Session,
                                 std::size_t Index, const std::string &Text,
                                 record &Log) {
  constexpr milliseconds Patience{2500};
  const auto Until = clock_type::now() + Patience;
  while (clock_type::now() < Until) {
    const line_answer Answer = Session.run(Text);
    if (ranAt(Fleet, Index, Session.statementId())) {
      Log.note(Session.statementId() + " " + Text + " -> " + describe(Answer) +
               ", at service " + (Index == 0 ? "s" : "s2"));
      return Answer;
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  return std::nullopt;
}

/// One round. \p Number makes its values unique.
int round(small_fleet &Fleet, int Number, record &Log) {
  const std::string Value = "v" + std::to_string(Number);
  const std::string Item = "a" + std::to_string(Number);
  line_client Session(Fleet.Instances[0].Callers, "own", "key");
  if (!Session.failed().empty())
    return CouldNotRun;
  // Other callers of the service s.
  if (!Fleet.runEventually(1, "strict", "READ other", &Log))
    return CouldNotRun;
  if (withTrouble())
    setDeaf(Fleet, true);
  Log.note(withTrouble() ? "d2 and d3 receive nothing"
                         : "d2 and d3 receive as ever");
  std::this_thread::sleep_for(milliseconds(100));
  Fleet.runOnce(0, "strict", "READ other", &Log);
  const line_answer Written = Session.run("WRITE " + Item + " " + Value);
  Log.note(Session.statementId() + " WRITE " + Item + " " + Value + " -> " +
           describe(Written) + ", at service s");
  if (!Written.Error.empty())
    return CouldNotRun;
  int Code = Held;
  moveRoute(Fleet, "s2");
  Log.note("configuration: the route is at s2");
  const auto MovedAt = clock_type::now();
  const auto There = runAt(Fleet, Session, 1, "WRITE b " + Value, Log);
  std::this_thread::sleep_until(MovedAt + ChangeGap);
  moveRoute(Fleet, "s");
  Log.note("configuration: the route is at s again");
  // The read that is judged is the first one that runs at s.
  const auto Back = runAt(Fleet, Session, 0, "READ " + Item, Log);
  const bool Served =
      There && There->Error.empty() && Back && Back->Error.empty();
  if (Served && Back->Rows != std::vector<std::string>{Value}) {
    Log.note("the session does not read its own acknowledged write");
    Code = Broken;
  }
  setDeaf(Fleet, false);
  return Served ? Code : CouldNotRun;
}

int run(record &Log) {
  constexpr int Rounds = 8;
  small_fleet Fleet(3, 2);
  int Ran = 0;
  for (int Number = 1; Number <= Rounds; ++Number) {
    std::this_thread::sleep_for(milliseconds(600));
    const int Code = round(Fleet, Number, Log);
    if (Code == Broken)
      return Broken;
    Ran += Code == Held ? 1 : 0;
    std::this_thread::sleep_for(milliseconds(3000));
  }
  return Ran == 0 ? CouldNotRun : Held;
}

} // namespace

int main() { return review::runCase("review/7", run); }
