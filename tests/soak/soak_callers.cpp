#include "soak_callers.hpp"

#include "line_client.hpp"

#include <memory>

namespace redwinggw::soak {

std::string routeOf(std::size_t Index) {
  return Index == 0 ? "strict" : "strict" + std::to_string(Index + 1);
}

callers::callers(const fleet::native_fleet &Fleet) {
  const auto &Groups = Fleet.World.Groups;
  for (std::size_t Index = 0; Index < Groups.size(); ++Index)
    for (const fleet::native_process &Instance : Fleet.Instances)
      Threads.emplace_back(
          [this, &Instance, Service = Groups[Index].Service,
           Route = routeOf(Index)] { run(Instance, Service, Route); });
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
    const std::string Error =
        Client->failed().empty()
            ? Client->run("WRITE " + Instance.Name + " 1").Error
            : "closed";
    if (Error.empty()) {
      const std::lock_guard Guard(Mutex);
      Acknowledged[Service].insert(Client->statementId());
    }
    if (Error == "closed")
      Client.reset();
    std::this_thread::sleep_for(Pause);
  }
}

} // namespace redwinggw::soak
