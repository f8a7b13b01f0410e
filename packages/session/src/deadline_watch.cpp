#include "redwinggw/session/deadline_watch.hpp"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <utility>

namespace redwinggw::session {

namespace asio = boost::asio;

struct deadline_watch::state : std::enable_shared_from_this<state> {
  state(asio::any_io_executor Executor, base::milliseconds TickInterval)
      : Timer(Executor), TickInterval(TickInterval) {}

  void arm();
  void expire();

  asio::steady_timer Timer;
  base::milliseconds TickInterval;
  std::map<std::pair<base::instant, id>, std::function<void()>> Watched;
  std::map<id, base::instant> Deadlines;
  id LastId = 0;
  bool Armed = false;
};

void deadline_watch::state::arm() {
  if (Armed || Watched.empty())
    return;
  Armed = true;
  Timer.expires_after(TickInterval);
  Timer.async_wait([Self = shared_from_this()](boost::system::error_code) {
    Self->Armed = false;
    Self->expire();
    Self->arm();
  });
}

void deadline_watch::state::expire() {
  const base::instant Now = base::now();
  while (!Watched.empty() && Watched.begin()->first.first <= Now) {
    auto Node = Watched.extract(Watched.begin());
    Deadlines.erase(Node.key().second);
    Node.mapped()();
  }
}

deadline_watch::deadline_watch(asio::any_io_executor Executor,
                               base::milliseconds TickInterval)
    : State(std::make_shared<state>(std::move(Executor), TickInterval)) {}

deadline_watch::~deadline_watch() {
  State->Watched.clear();
  State->Timer.cancel();
}

deadline_watch::id deadline_watch::add(base::instant Deadline,
                                       std::function<void()> Expired) {
  const id Id = ++State->LastId;
  State->Watched.emplace(std::pair(Deadline, Id), std::move(Expired));
  State->Deadlines.emplace(Id, Deadline);
  State->arm();
  return Id;
}

void deadline_watch::drop(id Id) {
  const auto Found = State->Deadlines.find(Id);
  if (Found == State->Deadlines.end())
    return;
  State->Watched.erase({Found->second, Id});
  State->Deadlines.erase(Found);
}

deadline_guard::deadline_guard(deadline_watch &Watch, base::instant Deadline,
                               std::function<void()> Expired)
    : Watch(Watch),
      Id(Watch.add(Deadline, [this, Expired = std::move(Expired)] {
        HasExpired = true;
        Expired();
      })) {}

} // namespace redwinggw::session
