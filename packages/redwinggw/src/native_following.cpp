#include "native_state.hpp"

#include "redwinggw/base/log.hpp"
#include "redwinggw/control/relays.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

/// The other instances and their agreements, as the platform's store has them.
namespace redwinggw {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using base::log_level;
using base::log_part;
using base::milliseconds;

constexpr std::string_view SecretKey = "fleet/secret";
constexpr std::string_view InstancePrefix = "instance/";

std::string instanceKey(std::string_view Name) {
  return std::string(InstancePrefix).append(Name);
}

std::string instanceText(const native_state &State) {
  return json::serialize(json::object{{"zone", State.Settings.Zone},
                                      {"peers", toText(State.Settings.Peers)},
                                      {"capacity", State.Settings.Capacity}});
}

/// Nothing for a row that is not an instance's.
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

/// The fleet's secret, made by the first instance that finds none. Nothing
/// when the store did not answer.
base::task<std::optional<std::string>> fleetSecret(native_state &State) {
  std::vector<std::string> Keys(1, std::string(SecretKey));
  const auto Rows = co_await storage::get(State.Store, std::move(Keys));
  if (!Rows)
    co_return std::nullopt;
  if (Rows->front().Version != 0)
    co_return Rows->front().Value;
  std::string Secret = base::randomId();
  storage::commit_request Request;
  Request.Checks.push_back({std::string(SecretKey), 0});
  Request.Puts.push_back({std::string(SecretKey), Secret});
  const auto Made = co_await storage::commit(State.Store, std::move(Request));
  // After a lost answer the row tells whose secret it is.
  if (!Made)
    co_return std::nullopt;
  co_return Secret;
}

base::task<bool> registerInstance(native_state &State) {
  storage::commit_request Request;
  Request.Puts.push_back(
      {instanceKey(State.Settings.Name), instanceText(State)});
  co_return (co_await storage::commit(State.Store, std::move(Request)))
      .has_value();
}

void startPeers(native_state &State, const std::string &Secret) {
  const control::peer_identity Identity{
      State.Settings.Name, State.Settings.Zone,
      static_cast<std::uint64_t>(base::wallMilliseconds()),
      State.Settings.Capacity};
  // An instance that has heard nothing for so long must not use a primary any
  // more; see handover_limits::ReadingCounts.
  control::currency_limits Currency;
  Currency.Bound = milliseconds(1000);
  control::membership_limits Members;
  Members.AcceptStrangers = true;
  State.Peers = std::make_unique<control::peer_service>(
      State.Context.get_executor(), Identity, State.Settings.Peers, Secret,
      State.Store, Members, Currency);
  connectPeers(State);
  connectLending(State);
  startRelays(State, Secret);
  if (const auto Started = State.Peers->start(); !Started)
    base::log(log_level::Error, log_part::Peers, describe(Started.error()));
}

/// Takes in the system's own rows. True when this instance's row is among
/// them.
bool takeFleet(native_state &State, const platform::table_rows &Rows) {
  std::vector<storage::listed_instance> Listed;
  State.InstanceRows.clear();
  for (const platform::table_row &Row : Rows.Rows) {
    if (auto Instance = instanceOf(Row)) {
      State.InstanceRows.emplace(Instance->Name, Row.Version);
      Listed.push_back(std::move(*Instance));
    }
    if (!Row.Key.starts_with(session::ClaimPrefix))
      continue;
    if (const auto Claim = session::readClaim(Row.Key, Row.Version, Row.Value))
      takeClaim(State, *Claim);
  }
  State.Peers->setList(Listed);
  return std::ranges::find(Listed, State.Settings.Name,
                           &storage::listed_instance::Name) != Listed.end();
}

/// How often the system's own rows are read: rarely while a majority of the
/// others is heard, whose heartbeats tell all that is in the rows. Without
/// them the rows are the only way to learn of a promotion.
milliseconds fleetReadInterval(const native_state &State) {
  // Reads of all instances together stay at five a second.
  constexpr std::size_t FewInstances = 16;
  const std::size_t Members = State.Peers->view().Members.size();
  const auto Share = static_cast<std::int64_t>(1 + Members / FewInstances);
  const milliseconds Heard = Share * milliseconds(3000);
  constexpr milliseconds Unheard{400};
  return State.Peers->hearsMajority(base::now()) ? Heard : Unheard;
}

/// How long a reading that news asks for waits after the last one: all
/// instances hear of a new one at about the same time, and where many start at
/// once each would read for each.
milliseconds wantedReadInterval(const native_state &State) {
  constexpr milliseconds ForEachMember{10};
  constexpr milliseconds Longest{3000};
  const std::size_t Members = State.Peers->view().Members.size();
  const auto Spread = static_cast<std::int64_t>(Members) * ForEachMember;
  return usesRelays(State.Peers->view()) ? std::min(Longest, Spread)
                                         : milliseconds(0);
}

/// Removes rows of instances that were not heard for long: nothing in the
/// store expires, and they would count for majorities and shares for good.
base::task<void> removeDeadInstances(native_state &State) {
  constexpr milliseconds GoneAfter{8000};
  // Two entries of a call for each; the store takes a hundred.
  constexpr std::size_t MostAtOnce = 40;
  if (!isReader(State) || !State.Peers->hearsMajority(base::now()))
    co_return;
  const base::instant Now = base::now();
  storage::commit_request Request;
  for (const control::member &Member : State.Peers->view().Members) {
    const auto Row = State.InstanceRows.find(Member.Name);
    const bool Gone = Now - Member.ArrivedAt.value_or(Member.Since) > GoneAfter;
    if (!Gone || Row == State.InstanceRows.end() ||
        Request.Deletes.size() == MostAtOnce)
      continue;
    Request.Checks.push_back({instanceKey(Member.Name), Row->second});
    Request.Deletes.push_back(instanceKey(Member.Name));
  }
  if (Request.Deletes.empty())
    co_return;
  base::log(log_level::Info, log_part::Peers,
            "Removing " + std::to_string(Request.Deletes.size()) +
                " instances that are gone.");
  const auto Removed = co_await storage::commit(State.Store, Request);
  if (Removed)
    State.FleetReadWanted = true;
}

} // namespace

base::task<void> pauseAbout(native_state &State, milliseconds Time) {
  constexpr int Spread = 10;
  std::uniform_int_distribution<std::int64_t> Offset(-Time.count() / Spread,
                                                     Time.count() / Spread);
  asio::steady_timer Timer(State.Context,
                           Time + milliseconds(Offset(State.Random)));
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

base::task<void> removeInstance(native_state &State) {
  // From here on a reading of the fleet must not register it again.
  State.Stopped = true;
  storage::commit_request Request;
  Request.Deletes.push_back(instanceKey(State.Settings.Name));
  const auto Removed =
      co_await storage::commit(State.Store, std::move(Request));
  if (!Removed)
    base::log(log_level::Warning, log_part::Peers,
              "The own row stays for others to remove: " +
                  describe(Removed.error()));
}

base::task<void> joinFleet(native_ptr State) {
  while (!State->Stopped) {
    const auto Secret = co_await fleetSecret(*State);
    bool Registered = false;
    if (Secret)
      Registered = co_await registerInstance(*State);
    if (Registered) {
      startPeers(*State, *Secret);
      base::log(log_level::Info, log_part::Peers, "Joined the fleet.");
      co_await followFleet(State);
      co_return;
    }
    co_await pauseAbout(*State, RetryAfter);
  }
}

base::task<std::optional<platform::table_rows>> readFleet(native_state &State) {
  const base::instant Sent = base::now();
  State.FleetReadWanted = false;
  auto Rows = co_await platform::readTable(State.Reader, platform::OwnTable,
                                           ReadSilence);
  ++State.Store.Reads;
  noteStore(State, Rows.has_value(), Rows ? "" : describe(Rows.error()));
  if (!Rows)
    co_return std::nullopt;
  const bool Listed = takeFleet(State, *Rows);
  State.Peers->noteStoreRead(Sent, base::now(), State.Claims.Version);
  State.FleetReadAt = Sent;
  if (!Listed && !State.Stopped)
    co_await registerInstance(State);
  co_return std::move(*Rows);
}

base::task<void> followFleet(native_ptr State) {
  while (!State->Stopped) {
    const auto Rows = co_await readFleet(*State);
    if (Rows)
      co_await removeDeadInstances(*State);
    const base::instant Since = base::now();
    const milliseconds Pause = Rows ? fleetReadInterval(*State) : RetryAfter;
    // News of a change or of a new instance ends the pause.
    const milliseconds Wanted = wantedReadInterval(*State);
    while (!State->Stopped && base::now() - Since < Pause &&
           (!State->FleetReadWanted || base::now() - Since < Wanted))
      co_await pauseAbout(*State, NewsEvery);
  }
}

} // namespace redwinggw
