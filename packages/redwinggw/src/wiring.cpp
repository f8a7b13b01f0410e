#include "instance_state.hpp"

#include "redwinggw/base/log.hpp"

#include <algorithm>
#include <iterator>

namespace redwinggw {
namespace {

using base::event_kind;

/// An entry of the registry for \p Served. \p Start reports a failure by an
/// exception.
template <typename Object>
kernel::service makeService(std::string Name,
                            std::vector<std::string> Dependencies,
                            Object &Served, std::function<void()> Start,
                            std::function<void()> Drain) {
  kernel::service Service;
  Service.Name = std::move(Name);
  Service.Dependencies = std::move(Dependencies);
  Service.Start = std::move(Start);
  Service.Drain = std::move(Drain);
  Service.Object = &Served;
  Service.Type = typeid(Object);
  return Service;
}

void require(const base::result<http::address> &Listening) {
  if (!Listening)
    base::throw_exception_from_error(Listening.error(), {});
}

data::statement_ports portsOf(instance_state &State) {
  data::statement_ports Ports;
  Ports.Configuration = [&State]() -> const control::configuration & {
    return State.Configuration.inForce();
  };
  Ports.MayServe = [&State] {
    // Checked for each request: a process that was paused may answer callers
    // before its own timers run, with keys that were withdrawn meanwhile.
    // Without a sheet there are no customers.
    return judgeFreshness(State) != control::config_freshness::Isolated &&
           State.Configuration.inForce().Version > 0;
  };
  Ports.Admit = [&State](base::customer_name Customer, base::instant Deadline) {
    return State.Shares.admit(std::move(Customer), Deadline);
  };
  Ports.View = [&State](std::string_view Group) {
    return &State.Groups.view(Group);
  };
  Ports.Confirm = [&State](base::group_name Group, base::term_number Term,
                           base::log_position Position, base::instant Deadline,
                           data::confirm_kind Kind) {
    return State.Groups.confirm(std::move(Group), Term, Position, Deadline,
                                Kind);
  };
  Ports.AwaitPrimary = [&State](base::group_name Group,
                                base::instant Deadline) {
    return State.Groups.awaitPrimary(std::move(Group), Deadline);
  };
  Ports.NoteTraffic = [&State](std::string_view Group,
                               std::string_view Endpoint, bool Answered,
                               base::instant At) {
    State.Groups.noteTraffic(Group, Endpoint, Answered, At);
  };
  Ports.NoteState = [&State](std::string_view Group,
                             const data::endpoint_state &Reported,
                             base::instant AskedAt) {
    State.Groups.noteState(Group, Reported, AskedAt);
  };
  Ports.Record = [&State](base::event_kind Kind, std::string_view Subject,
                          std::string_view Detail, std::string_view RequestId) {
    recordEvent(State, Kind, Subject, Detail, RequestId);
  };
  return Ports;
}

control::peer_service::clock_port clockOf(instance_state &State) {
  control::peer_service::clock_port Clock;
  Clock.Stamp = [&State] {
    const auto Time = tick(State.Timeline.Clock, base::wallMilliseconds());
    return wire::clock_value{Time.Wall, Time.Count};
  };
  Clock.Observe = [&State](wire::clock_value Value) {
    merge(State.Timeline.Clock, {Value.Wall, Value.Count},
          base::wallMilliseconds());
  };
  return Clock;
}

/// The other instances' reports about the groups, as the failure detector takes
/// them.
std::vector<data::peer_report> reportsOf(const instance_state &State) {
  std::vector<data::peer_report> Reports;
  const base::instant Now = base::now();
  for (const control::member &Member : State.Peers.view().Members) {
    if (!Member.ReportAt)
      continue;
    data::peer_report Report;
    Report.Instance = Member.Name;
    Report.Age =
        std::chrono::duration_cast<base::milliseconds>(Now - *Member.ReportAt);
    for (const wire::group_report &Group : Member.Report.Groups)
      if (Group.Suspect)
        Report.Suspicions.push_back({Group.Group, Group.Term});
    Reports.push_back(std::move(Report));
  }
  return Reports;
}

std::vector<wire::group_report> ownReports(const instance_state &State) {
  std::vector<wire::group_report> Reports;
  std::ranges::transform(State.Groups.suspicions(), std::back_inserter(Reports),
                         [](const data::suspicion &Suspicion) {
                           return wire::group_report{
                               Suspicion.Group, Suspicion.Term, {}, true};
                         });
  return Reports;
}

/// The other instances that are alive, with the configuration version at each.
std::vector<control::instance_version>
versionsOf(const control::peer_service &Peers) {
  std::vector<control::instance_version> Versions;
  for (const control::member &Member : Peers.view().Members)
    if (Member.State == control::member_state::Alive)
      Versions.push_back({Member.Name, Member.Report.Version});
  return Versions;
}

control::configuration_ports configurationPorts(instance_state &State) {
  control::peer_service &Peers = State.Peers;
  control::configuration_ports Ports;
  Ports.MayAccept = [&Peers] {
    return Peers.inContactWithMajority(base::now());
  };
  Ports.MajorityKnows = [&Peers](base::config_version Version) {
    return Peers.majorityKnows(Version);
  };
  Ports.Others = [&Peers] { return versionsOf(Peers); };
  Ports.NoteStoreRead = [&Peers](base::instant Sent, base::instant Answered,
                                 base::config_version Head) {
    Peers.noteStoreRead(Sent, Answered, Head);
  };
  Ports.NoteStoreContact = [&Peers] { Peers.noteStoreContact(); };
  return Ports;
}

} // namespace

void recordEvent(instance_state &State, event_kind Kind,
                 std::string_view Subject, std::string_view Detail,
                 std::string_view RequestId) {
  record(State.Timeline, base::wallMilliseconds(), Kind, Subject, Detail,
         RequestId);
}

void applyConfiguration(instance_state &State,
                        const control::configuration &Configuration) {
  const std::size_t Instances =
      std::max<std::size_t>(1, instanceCount(State.Peers.view()));
  State.Shares.apply(Configuration);
  State.Groups.apply(Configuration);
  data::applyConfiguration(State.Statements, Configuration, Instances);
  State.Peers.setVersion(Configuration.Version);
  data::closeAbandoned(State.Statements, State.Transactions, base::now());
  recordEvent(State, event_kind::ConfigurationInForce,
              std::to_string(Configuration.Version));
  base::log(base::log_level::Info, base::log_part::Configuration,
            "Version " + std::to_string(Configuration.Version) +
                " is in force.");
}

control::config_freshness judgeFreshness(instance_state &State) {
  const control::config_freshness Before = State.Freshness;
  State.Freshness = State.Peers.configFreshness(base::now());
  if (State.Freshness == Before)
    return State.Freshness;
  const std::string Name(control::configFreshnessName(State.Freshness));
  recordEvent(State, event_kind::ConfigurationStale, Name);
  base::log(base::log_level::Info, base::log_part::Configuration,
            "Configuration freshness is " + Name + ".");
  return State.Freshness;
}

void announceSuspicions(instance_state &State) {
  State.Peers.setGroupReports(ownReports(State));
}

void connectServices(instance_state &State) {
  State.Statements.Ports = portsOf(State);
  State.Peers.setClock(clockOf(State));
  State.Configuration.onChange([&State](const control::configuration &Changed) {
    applyConfiguration(State, Changed);
  });
  State.Configuration.setPorts(configurationPorts(State));
  State.Groups.setPeers([&State] { return reportsOf(State); });
  State.Groups.onChange([&State](const base::group_name &Group) {
    const data::group_view &View = State.Groups.view(Group);
    recordEvent(State, event_kind::FailoverEnded, Group,
                "term " + std::to_string(View.Term) + " " +
                    View.Primary.value_or("no primary"));
  });
  State.Peers.onReport([&State](const control::member &Member) {
    State.Configuration.noteVersionSeen(Member.Report.HeadVersion);
    announceSuspicions(State);
  });
}

base::result<void> registerServices(instance_state &State) {
  std::vector<kernel::service> Services;
  Services.push_back(
      makeService<storage::store>("platform", {}, State.Store, [] {}, [] {}));
  Services.push_back(makeService<control::peer_service>(
      "peers", {"platform"}, State.Peers,
      [&State] { require(State.Peers.start()); },
      [&State] { State.Peers.stop(); }));
  Services.push_back(makeService<control::configuration_service>(
      "configuration", {"platform", "peers"}, State.Configuration,
      [&State] { State.Configuration.start(); },
      [&State] { State.Configuration.stop(); }));
  Services.push_back(makeService<control::share_service>(
      "shares", {"platform", "peers"}, State.Shares,
      [&State] { State.Shares.start(); }, [&State] { State.Shares.stop(); }));
  Services.push_back(makeService<data::group_service>(
      "groups", {"configuration", "peers"}, State.Groups,
      [&State] { State.Groups.start(); }, [] {}));
  Services.push_back(makeService<control::operator_server>(
      "operators", {"configuration"}, State.Operators,
      [&State] { require(State.Operators.listen(State.Settings.Operators)); },
      [&State] { State.Operators.drain(); }));
  Services.push_back(makeService<data::caller_server>(
      "callers", {"groups", "shares", "configuration", "operators"},
      State.Callers,
      [&State] {
        require(State.Callers.Server.listen(State.Settings.Callers));
      },
      [&State] { State.Callers.Server.drain(); }));
  for (kernel::service &Service : Services)
    if (const auto Added = kernel::add(State.Registry, std::move(Service));
        !Added)
      return Added;
  return {};
}

} // namespace redwinggw
