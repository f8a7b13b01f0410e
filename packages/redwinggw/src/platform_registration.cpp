#include "platform_registration.hpp"
#include "platform_heartbeats.hpp"

#include "redwinggw/base/log.hpp"
#include "redwinggw/control/relays.hpp"

#include <boost/json.hpp>

#include <algorithm>

/// The rows of instances in the platform's store.
namespace redwinggw {
namespace {

namespace json = boost::json;
using base::log_level;
using base::log_part;
using base::milliseconds;

constexpr std::string_view InstancePrefix = "instance/";

std::string instanceKey(std::string_view Name) {
  return std::string(InstancePrefix).append(Name);
}

std::string instanceText(std::string_view Zone, const http::address &Peers,
                         double Capacity) {
  return json::serialize(json::object{
      {"zone", Zone}, {"peers", toText(Peers)}, {"capacity", Capacity}});
}

std::string instanceText(const platform_instance_state &State) {
  return instanceText(State.Settings.Zone, State.Settings.Peers,
                      State.Settings.Capacity);
}

/// Whether this instance's row is up to date. A restarted process finds it so
/// and writes nothing.
bool isRegistered(const platform_instance_state &State,
                  const platform::table_rows &Rows) {
  const auto Row = std::ranges::find(
      Rows.Rows, instanceKey(State.Settings.Name), &platform::table_row::Key);
  return Row != Rows.Rows.end() && Row->Value == instanceText(State);
}

bool fleetUsesRelays(const listed_count &Listed) {
  return control::usesRelays(Listed.All, control::membership_limits());
}

/// Whether relays of this availability zone can register this instance.
bool canRelaysRegister(const listed_count &Listed) {
  // As many as are tried as relays.
  constexpr std::size_t RelayCandidates = 4;
  return fleetUsesRelays(Listed) && Listed.InZone >= RelayCandidates;
}

} // namespace

std::optional<storage::listed_instance>
instanceOf(const platform::table_row &Row) {
  if (!Row.Key.starts_with(InstancePrefix))
    return std::nullopt;
  try {
    const json::value Value = json::parse(Row.Value);
    storage::listed_instance Instance;
    Instance.Name = Row.Key.substr(InstancePrefix.size());
    Instance.Zone = Value.at("zone").as_string();
    Instance.Peers = http::parseAddress(Value.at("peers").as_string()).value();
    Instance.Capacity = Value.at("capacity").to_number<double>();
    return Instance;
  } catch (const std::exception &Fault) {
    base::log(log_level::Warning, log_part::Peers,
              "Row " + Row.Key + " cannot be read: " + Fault.what());
    return std::nullopt;
  }
}

listed_count countListed(const platform_instance_state &State,
                         const platform::table_rows &Rows) {
  listed_count Count;
  for (const platform::table_row &Row : Rows.Rows) {
    const auto Instance = instanceOf(Row);
    if (!Instance || Instance->Name == State.Settings.Name)
      continue;
    ++Count.All;
    Count.InZone += Instance->Zone == State.Settings.Zone ? 1 : 0;
  }
  return Count;
}

base::task<bool> registerInstance(platform_instance_state &State) {
  storage::commit_request Request;
  Request.Puts.push_back(
      {instanceKey(State.Settings.Name), instanceText(State)});
  co_return (co_await storage::commit(State.Store, std::move(Request)))
      .has_value();
}

base::task<bool> arrangeRegistration(platform_instance_state &State,
                                     const platform::table_rows &Rows,
                                     listed_count Listed) {
  if (isRegistered(State, Rows))
    co_return true;
  if (fleetUsesRelays(Listed))
    State.RegistrationPendingSince = base::now();
  if (canRelaysRegister(Listed))
    co_return true;
  co_return co_await registerInstance(State);
}

base::task<void> confirmRegistration(platform_instance_state &State) {
  constexpr milliseconds RelaysRegisterWithin{2000};
  auto &PendingSince = State.RegistrationPendingSince;
  if (!PendingSince || State.Draining ||
      base::now() - *PendingSince < RelaysRegisterWithin)
    co_return;
  PendingSince = base::now();
  const bool Registered = co_await registerInstance(State);
  if (Registered)
    PendingSince.reset();
}

base::task<void> registerOthers(platform_instance_state &State) {
  constexpr milliseconds Interval{200};
  // A request may have a hundred entries.
  constexpr std::size_t MaxRows = 90;
  const base::instant Now = base::now();
  const control::membership &View = State.Peers->view();
  const bool Due = Now - State.RegisteredOthersAt.value_or(LongAgo) > Interval;
  if (!Due || !usesRelays(View) || !View.Relay || State.Draining)
    co_return;
  storage::commit_request Request;
  std::vector<base::instance_name> Names;
  for (const control::member &Member : View.Members) {
    const bool Wanted = !Member.Listed && reportsHere(Member) &&
                        Member.Report.WantsSharedReads &&
                        !Member.Report.Leaving && Member.Capacity > 0 &&
                        isInDirectContact(View, Member, Now);
    if (!Wanted || Names.size() == MaxRows)
      continue;
    Names.push_back(Member.Name);
    Request.Puts.push_back(
        {instanceKey(Member.Name),
         instanceText(Member.Zone, Member.Address, Member.Capacity)});
  }
  if (Names.empty())
    co_return;
  State.RegisteredOthersAt = Now;
  const auto Written =
      co_await storage::commit(State.Store, std::move(Request));
  if (!Written)
    co_return;
  State.Peers->markListed(Names);
  base::log(log_level::Info, log_part::Peers,
            "Registered " + std::to_string(Names.size()) + " instances.");
}

base::task<void> removeInstance(platform_instance_state &State) {
  // Keeps a read of the rows from registering the instance again.
  State.Stopped = true;
  storage::commit_request Request;
  Request.Deletes.push_back(instanceKey(State.Settings.Name));
  const auto Removed =
      co_await storage::commit(State.Store, std::move(Request));
  if (!Removed)
    base::log(log_level::Warning, log_part::Peers,
              "This instance's row was not removed; others will remove it: " +
                  describe(Removed.error()));
}

base::task<void> removeDeadInstances(platform_instance_state &State) {
  constexpr milliseconds RemoveAfter{8000};
  // Each instance needs two entries of a request, which may have a hundred.
  constexpr std::size_t MaxRemovals = 40;
  if (!isStoreReader(State) || !State.Peers->inContactWithMajority(base::now()))
    co_return;
  const base::instant Now = base::now();
  storage::commit_request Request;
  for (const control::member &Member : State.Peers->view().Members) {
    const auto Row = State.InstanceRowVersions.find(Member.Name);
    const bool Gone =
        Now - Member.ArrivedAt.value_or(Member.ListedSince) > RemoveAfter;
    if (!Gone || Row == State.InstanceRowVersions.end() ||
        Request.Deletes.size() == MaxRemovals)
      continue;
    Request.Checks.push_back({instanceKey(Member.Name), Row->second});
    Request.Deletes.push_back(instanceKey(Member.Name));
  }
  if (Request.Deletes.empty())
    co_return;
  base::log(log_level::Info, log_part::Peers,
            "Removing the rows of " + std::to_string(Request.Deletes.size()) +
                " dead instances.");
  const auto Removed = co_await storage::commit(State.Store, Request);
  if (Removed)
    State.FleetReadRequested = true;
}

} // namespace redwinggw
