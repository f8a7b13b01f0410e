#include "soak_callers.hpp"

#include "line_client.hpp"

#include <algorithm>
#include <iterator>
#include <memory>

namespace redwinggw::soak {

std::string routeOf(std::size_t Index) {
  return Index == 0 ? "strict" : "strict" + std::to_string(Index + 1);
}

callers::callers(const fleet::native_fleet &Fleet, bool AllKinds,
                 std::uint64_t Seed) {
  constexpr double AnyBytes = 0.3;
  constexpr std::uint64_t SeedsOfRun = 1000;
  const auto &Groups = Fleet.World.Groups;
  for (std::size_t Index = 0; Index < Groups.size(); ++Index)
    for (const fleet::native_process &Instance : Fleet.Instances) {
      const std::string &Service = Groups[Index].Service;
      Threads.emplace_back([this, &Instance, Service, Route = routeOf(Index)] {
        run(Instance, Service, Route);
      });
      if (!AllKinds)
        continue;
      fleet::caller_plan Plan;
      Plan.Address = Instance.Callers;
      Plan.Database = routeOf(Index);
      Plan.Seed = Seed * SeedsOfRun + Threads.size();
      Plan.Operations = SIZE_MAX;
      Plan.AnyBytes = AnyBytes;
      Plan.Stopped = &Stopped;
      Threads.emplace_back([this, Service, Plan] {
        addStatements(Service, fleet::runCaller(Plan));
      });
    }
}

void callers::addStatements(const std::string &Service,
                            std::vector<fleet::statement_record> Added) {
  const std::lock_guard Guard(Mutex);
  std::ranges::move(Added, std::back_inserter(Records[Service]));
}

callers::~callers() { stop(); }

void callers::stop() {
  Stopped = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  Threads.clear();
}

void callers::run(const fleet::native_process &Instance,
                  const std::string &Service, const std::string &Route) {
  constexpr std::chrono::milliseconds Pause{10};
  std::unique_ptr<fleet::line_client> Client;
  while (!Stopped) {
    if (!Client)
      Client =
          std::make_unique<fleet::line_client>(Instance.Callers, Route, "key");
    fleet::statement_record Record;
    Record.Text = "WRITE " + Instance.Name + " 1";
    Record.Answer.Error = "closed";
    if (Client->failed().empty()) {
      Record.Answer = Client->run(Record.Text);
      Record.Id = Client->statementId();
    }
    const std::string Error = Record.Answer.Error;
    if (!Record.Id.empty()) {
      const std::lock_guard Guard(Mutex);
      if (Error.empty())
        Acknowledged[Service].insert(Record.Id);
      Records[Service].push_back(std::move(Record));
    }
    if (Error == "closed")
      Client.reset();
    std::this_thread::sleep_for(Pause);
  }
}

} // namespace redwinggw::soak
