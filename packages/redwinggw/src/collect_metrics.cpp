#include "instance_state.hpp"

#include "redwinggw/base/metrics.hpp"

#include <array>

namespace redwinggw {
namespace {

using base::metric;

void collectEndpoints(instance_state &State, base::metrics &Metrics) {
  for (const auto &[Name, Dispatcher] : State.Statements.Dispatchers) {
    const auto Open = static_cast<double>(Dispatcher->pool().open());
    const auto Idle = static_cast<double>(Dispatcher->pool().idle());
    set(gaugeOf(Metrics, metric::EndpointConnections, {Name, "idle"}), Idle);
    set(gaugeOf(Metrics, metric::EndpointConnections, {Name, "busy"}),
        Open - Idle);
  }
}

void collectPeers(instance_state &State, base::metrics &Metrics) {
  using control::member_state;
  for (const member_state Value : {member_state::Alive, member_state::Suspect,
                                   member_state::Dead, member_state::Leaving}) {
    const auto &Members = State.Peers.view().Members;
    const auto Count =
        std::ranges::count(Members, Value, &control::member::State);
    set(gaugeOf(Metrics, metric::Peers,
                {std::string(control::memberStateName(Value))}),
        static_cast<double>(Count));
  }
  observeTraffic(Metrics, State.Peers.traffic());
}

} // namespace

void collectMetrics(instance_state &State) {
  base::metrics &Metrics = State.Statements.Metrics;
  observeProcess(Metrics);
  collectEndpoints(State, Metrics);
  collectPeers(State, Metrics);
  set(gaugeOf(Metrics, metric::ConfigurationVersion),
      static_cast<double>(State.Configuration.inForce().Version));
  set(gaugeOf(Metrics, metric::CallerConnections),
      static_cast<double>(State.Callers.Server.openConnections()));
  set(gaugeOf(Metrics, metric::OpenTransactions),
      static_cast<double>(State.Transactions.Open.size()));
  counterOf(Metrics, metric::StoreReadsTotal, {"all"}).Value =
      static_cast<double>(State.Store.Reads);
  counterOf(Metrics, metric::StoreWritesTotal, {"all"}).Value =
      static_cast<double>(State.Store.Writes);
  counterOf(Metrics, metric::TimelineEventsTotal).Value =
      static_cast<double>(State.Timeline.Recorded);
}

} // namespace redwinggw
