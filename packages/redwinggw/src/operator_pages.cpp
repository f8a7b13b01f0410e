#include "instance_state.hpp"

#include "redwinggw/control/operator_routes.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <iterator>

namespace redwinggw {
namespace {

namespace json = boost::json;

json::value instanceStatus(const instance_state &State) {
  return json::object{
      {"name", State.Settings.Name},
      {"zone", State.Settings.Zone},
      {"state", kernel::lifeStateName(State.Life.state())},
      {"version", State.Configuration.inForce().Version},
      {"currency", control::configFreshnessName(State.Freshness)},
      {"callers", http::toText(State.Settings.Callers)},
      {"operators", http::toText(State.Settings.Operators)},
      {"caller_connections", State.Callers.Server.openConnections()},
      {"open_transactions", State.Transactions.Open.size()}};
}

json::object memberStatus(const instance_state &State,
                          const data::group_view &View,
                          const data::member_view &Member) {
  json::object Status{{"name", Member.Endpoint.Name},
                      {"zone", Member.Endpoint.Zone},
                      {"failures", Member.Failures}};
  if (Member.State) {
    Status["role"] = data::roleName(Member.State->Role);
    Status["term"] = Member.State->Term;
    Status["received"] = Member.State->Received;
    Status["applied"] = Member.State->Applied;
    if (const auto Age = ageOf(View, Member.State->Applied, Member.AskedAt))
      Status["age_ms"] = static_cast<double>(Age->count()) / 1000;
  }
  const auto Found = State.Statements.Dispatchers.find(Member.Endpoint.Name);
  if (Found == State.Statements.Dispatchers.end())
    return Status;
  data::dispatcher &Dispatcher = *Found->second;
  Status["connections"] = Dispatcher.pool().open();
  Status["idle"] = Dispatcher.pool().idle();
  Status["running"] = Dispatcher.running();
  Status["waiting"] = Dispatcher.waiting();
  Status["window"] = Dispatcher.windowSize();
  Status["circuit"] =
      isClosed(Dispatcher.breaker(), base::now()) ? "closed" : "open";
  return Status;
}

json::value groupStatus(const instance_state &State) {
  json::array Groups;
  for (const auto &Group : control::groupsOf(State.Configuration.inForce())) {
    const data::group_view &View = State.Groups.view(Group);
    json::array Members;
    std::ranges::transform(View.Members, std::back_inserter(Members),
                           [&](const data::member_view &Member) {
                             return memberStatus(State, View, Member);
                           });
    Groups.push_back(json::object{{"name", Group},
                                  {"term", View.Term},
                                  {"primary", View.Primary.value_or("")},
                                  {"members", std::move(Members)}});
  }
  return Groups;
}

json::value peerStatus(const instance_state &State) {
  json::array Peers;
  for (const control::member &Member : State.Peers.view().Members)
    Peers.push_back(
        json::object{{"name", Member.Name},
                     {"zone", Member.Zone},
                     {"state", control::memberStateName(Member.State)},
                     {"version", Member.Report.Version}});
  return Peers;
}

json::value shareStatus(const instance_state &State) {
  const control::share_status Status = State.Shares.status();
  return json::object{{"given", Status.Allocated},
                      {"spent", Status.Spent},
                      {"refused", Status.Refused},
                      {"refused_unanswered", Status.RefusedUnanswered},
                      {"waiting", Status.Waiting},
                      {"leases", Status.Leases}};
}

json::value statementStatus(const instance_state &State) {
  const data::statement_counters &Counters = State.Statements.Counters;
  return json::object{{"requests", Counters.Requests},
                      {"done", Counters.Done},
                      {"not_run", Counters.NotRun},
                      {"unknown", Counters.Unknown},
                      {"reads", Counters.Reads},
                      {"reads_allowed_at_replicas", Counters.ReadsAllowed},
                      {"reads_at_replicas", Counters.ReadsAtReplica},
                      {"replica_misses", Counters.ReplicaMisses},
                      {"writes", Counters.Writes},
                      {"retries", Counters.Retries},
                      {"retries_refused", Counters.RetriesRefused}};
}

base::task<base::result<json::object>> timelinePage(instance_state &State) {
  const std::string Text = toJson(eventsOf(State.Timeline));
  co_return json::parse(Text).as_object();
}

base::task<base::result<json::object>> drainPage(std::function<void()> Stop) {
  Stop();
  co_return json::object{{"draining", true}};
}

} // namespace

void addOperatorPages(instance_state &State, std::function<void()> Stop) {
  control::operator_server &Server = State.Operators;
  control::addConfigurationRoutes(Server, State.Configuration);
  control::addInstancesRoute(Server, State.Store);
  Server.addStatus("instance", [&State] { return instanceStatus(State); });
  Server.addStatus("groups", [&State] { return groupStatus(State); });
  Server.addStatus("peers", [&State] { return peerStatus(State); });
  Server.addStatus("shares", [&State] { return shareStatus(State); });
  Server.addStatus("statements", [&State] { return statementStatus(State); });
  Server.addRoute("/operators/timeline",
                  [&State](json::object) { return timelinePage(State); });
  Server.addRoute("/operators/drain",
                  [Stop](json::object) { return drainPage(Stop); });
  Server.setMetrics([&State] {
    collectMetrics(State);
    return base::toPrometheus(State.Statements.Metrics);
  });
}

} // namespace redwinggw
