#include "platform_configuration.hpp"
#include "platform_connections.hpp"
#include "platform_heartbeats.hpp"
#include "platform_loops.hpp"
#include "platform_primaries.hpp"
#include "platform_relayed_state.hpp"

#include "platform/decoding.hpp"

#include "redwinggw/base/log.hpp"
#include "redwinggw/control/relays.hpp"
#include "redwinggw/session/text_delta.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <iterator>
#include <memory>

/// The operators' configuration: read from the platform's store, or from
/// another instance when the store does not return the newest one.
namespace redwinggw {
namespace {

using base::log_level;
using base::log_part;
using base::milliseconds;

/// How often the store reader reads the configuration. A change must be in
/// force within three seconds, which hold this interval, a request that hangs,
/// its repetition and a heartbeat. The store is polled, since its faster change
/// feed stops without an error when the store drops its history, and afterwards
/// reports a version whose changes it never delivered.
constexpr milliseconds ConfigurationReadInterval{800};
constexpr milliseconds ConfigurationIdleTimeout{700};

/// How long an instance that knows of no store reader leaves the store to
/// relays. One that can read it does so at once, and its heartbeats show that
/// within three intervals. If the store turns the relays away, the others are
/// the only ones who learn of a change.
constexpr milliseconds ReaderChangeTime{700};

/// How long this instance has known of a newer configuration than its own.
std::string millisecondsBehind(const platform_instance_state &State) {
  const base::instant Since = State.BehindSince.value_or(base::now());
  return std::to_string(
      std::chrono::floor<milliseconds>(base::now() - Since).count());
}

void noteInForce(platform_instance_state &State, std::string_view From) {
  base::logEvent(log_level::Info, log_part::Configuration,
                 "configuration_in_force",
                 {{"version", std::to_string(State.Routes->Version)},
                  {"row", std::to_string(State.Stored.Version)},
                  {"from", std::string(From)},
                  {"routes", std::to_string(State.Routes->Routes.size())},
                  {"bytes", std::to_string(State.Stored.Text->size())},
                  {"behind_ms", millisecondsBehind(State)}});
}

void noteUnreadConfiguration(platform_instance_state &State, base::instant Sent,
                             const base::failure &Reason) {
  counterOf(State.Core.Metrics, base::metric::StoreErrorsTotal,
            {"configuration"})
      .Value += 1;
  const auto Took = std::chrono::floor<milliseconds>(base::now() - Sent);
  base::logEvent(log_level::Warning, log_part::Configuration,
                 "configuration_not_read",
                 {{"row", std::to_string(State.Stored.Version)},
                  {"newest_row", std::to_string(newestConfigurationRow(State))},
                  {"behind_ms", millisecondsBehind(State)},
                  {"took_ms", std::to_string(Took.count())},
                  {"reason", describe(Reason)}});
}

/// Replaces a delta in \p Given by the whole text. False if it is not one of
/// the configuration that is known here: that is fetched again then.
bool applyConfigurationDelta(platform_instance_state &State,
                             session::transferred_state &Given) {
  if (Given.Base != State.Stored.Version || !State.Stored.Text)
    return false;
  auto Text = session::applyDelta(*State.Stored.Text, *Given.Text);
  State.ConfigurationDeltaFailed = !Text.has_value();
  if (!Text) {
    base::logEvent(log_level::Warning, log_part::Configuration,
                   "delta_not_applied",
                   {{"row", std::to_string(Given.Version)},
                    {"base", std::to_string(Given.Base)}});
    return false;
  }
  Given.Text = std::make_shared<const std::string>(std::move(*Text));
  Given.Base = 0;
  return true;
}

bool fleetUsesRelays(const platform_instance_state &State) {
  return State.Peers && usesRelays(State.Peers->view());
}

/// Keeps the configuration that is about to be replaced, if others may fetch
/// changes to it from here.
void keepFormer(platform_instance_state &State) {
  // Configurations in quick succession leave instances several behind.
  constexpr std::size_t MaxFormer = 4;
  State.ConfigurationDeltas.clear();
  const bool IsRelay = fleetUsesRelays(State) && State.Peers->view().Relay;
  if (!IsRelay || !State.Stored.Text) {
    State.FormerConfigurations.clear();
    return;
  }
  State.FormerConfigurations.push_back(State.Stored);
  if (State.FormerConfigurations.size() > MaxFormer)
    State.FormerConfigurations.pop_front();
}

/// Reads a configuration and serves others meanwhile.
base::task<base::result<session::route_table>>
readInSteps(platform_instance_state &State,
            std::shared_ptr<const std::string> Text) {
  platform::configuration_reading Reading(*Text);
  while (true) {
    const auto Done = Reading.readOn();
    if (!Done)
      co_return Done.error();
    if (*Done)
      co_return Reading.take();
    co_await boost::asio::post(State.Context, boost::asio::use_awaitable);
  }
}

/// Puts a configuration in force unless it is older than the present one. \p
/// From names its source for the log: "store" or an instance.
base::task<void> acceptConfiguration(platform_instance_state &State,
                                     session::transferred_state Given,
                                     std::string From) {
  if (Given.Version <= State.Stored.Version || !Given.Text)
    co_return;
  if (Given.Base != 0 && !applyConfigurationDelta(State, Given))
    co_return;
  auto Table = co_await readInSteps(State, Given.Text);
  if (!Table) {
    base::log(log_level::Error, log_part::Configuration,
              describe(Table.error()));
    co_return;
  }
  keepFormer(State);
  State.Stored = std::move(Given);
  State.ConfigurationDeltaFailed = false;
  if (State.Routes && Table->Version <= State.Routes->Version)
    co_return;
  State.Routes = std::make_shared<session::route_table>(std::move(*Table));
  State.ServicesByHash.clear();
  for (const auto &[Service, Limits] : State.Routes->Services)
    State.ServicesByHash.emplace(wire::hashOf(Service), Service);
  applyRates(State.Shares, State.Routes->Customers, base::now());
  State.ConnectionsStale = true;
  divideConnections(State);
  noteInForce(State, From);
}

session::transferred_state
storedConfiguration(const platform::table_rows &Rows) {
  const auto Row = std::ranges::find(Rows.Rows, platform::ConfigurationKey,
                                     &platform::table_row::Key);
  if (Row == Rows.Rows.end() || Row->Removed)
    return {};
  return {Row->Version, std::make_shared<const std::string>(Row->Value)};
}

/// The zones that are evacuated by \p Rows, read as a whole.
session::evacuations evacuationsIn(const platform::table_rows &Rows) {
  session::evacuations Read;
  Read.Version = Rows.Version;
  for (const platform::table_row &Row : Rows.Rows)
    if (Row.Key.starts_with(platform::EvacuationPrefix) && !Row.Removed)
      Read.Zones.push_back(Row.Key.substr(platform::EvacuationPrefix.size()));
  return Read;
}

/// Reads the configuration and the evacuations from the store; false when it
/// did not answer.
base::task<bool> readConfiguration(platform_instance_state &State) {
  const base::instant Sent = base::now();
  const auto Rows = co_await platform::readTable(
      State.StoreTables, platform::OperatorTable, ConfigurationIdleTimeout);
  ++State.Store.Reads;
  noteStoreResult(State, Rows.has_value(), Rows ? "" : describe(Rows.error()));
  if (!Rows) {
    noteUnreadConfiguration(State, Sent, Rows.error());
    co_return false;
  }
  if (State.Peers)
    State.Peers->noteStoreContact();
  acceptEvacuations(State, evacuationsIn(*Rows), "store");
  auto Read = storedConfiguration(*Rows);
  co_await acceptConfiguration(State, std::move(Read), "store");
  co_return true;
}

/// A random instance that has a newer configuration, from this availability
/// zone if possible; null when there is none.
const control::member *configurationHolder(platform_instance_state &State) {
  if (!State.Peers)
    return nullptr;
  std::vector<const control::member *> Holders;
  for (const control::member &Member : State.Peers->view().Members)
    if (Member.State == control::member_state::Alive &&
        Member.Report.ConfigurationRow > State.Stored.Version)
      Holders.push_back(&Member);
  const auto IsNear = [&](const control::member *Member) {
    return Member->Zone == State.Settings.Zone;
  };
  if (std::ranges::any_of(Holders, IsNear))
    std::erase_if(Holders, std::not_fn(IsNear));
  const control::member *Chosen = nullptr;
  std::ranges::sample(Holders, &Chosen, 1, State.Random);
  return Chosen;
}

/// Fetches the configuration from another instance: the store may reject this
/// instance's requests or return stale data.
base::task<void> fetchFromPeer(platform_instance_state &State) {
  const control::member *Holder = configurationHolder(State);
  if (Holder == nullptr || !State.ForwardingClient)
    co_return;
  const session::connection_owner From{Holder->Name, Holder->Address};
  const session::transfer_request Request{State.Stored.Version};
  auto Fetched = co_await State.ForwardingClient->fetchState(From, Request);
  co_await acceptConfiguration(State, std::move(Fetched), From.Name);
}

/// Whether another instance has a newer configuration; records since when.
bool isBehind(platform_instance_state &State) {
  const bool Behind = newestConfigurationRow(State) > State.Stored.Version;
  if (!Behind)
    State.BehindSince.reset();
  else if (!State.BehindSince)
    State.BehindSince = base::now();
  return Behind;
}

} // namespace

session::transferred_state
configurationHeld(platform_instance_state &State,
                  const session::transfer_request &Request) {
  const auto Former =
      std::ranges::find(State.FormerConfigurations, Request.Version,
                        &session::transferred_state::Version);
  if (!Request.ReadsDelta || Former == State.FormerConfigurations.end())
    return State.Stored;
  auto &Delta = State.ConfigurationDeltas[Request.Version];
  if (!Delta)
    Delta = std::make_shared<const std::string>(
        session::encodeDelta(*Former->Text, *State.Stored.Text));
  return {State.Stored.Version, Delta, Request.Version};
}

void acceptEvacuations(platform_instance_state &State,
                       session::evacuations Read, std::string_view From) {
  const std::vector<base::zone_name> Before = State.Evacuations.Zones;
  if (!applyEvacuations(State.Evacuations, std::move(Read)))
    return;
  for (const base::zone_name &Zone : Before)
    if (!isEvacuated(State.Evacuations, Zone))
      State.EvacuationEndedAt[Zone] = base::now();
  std::string Zones;
  for (const base::zone_name &Zone : State.Evacuations.Zones)
    Zones.append(Zones.empty() ? "" : " ").append(Zone);
  base::logEvent(log_level::Info, log_part::Endpoints, "evacuations_changed",
                 {{"zones", Zones},
                  {"version", std::to_string(State.Evacuations.Version)},
                  {"from", std::string(From)}});
  State.ConnectionsStale = true;
  divideConnections(State);
}

base::task<void> followConfiguration(platform_instance_ptr State) {
  control::state_need Need;
  while (!State->Stopped) {
    // When another instance reads the store, its heartbeats report changes.
    if (State->Routes && hasStoreReader(*State) && !isBehind(*State)) {
      noteSupplied(Need);
      co_await pauseWithJitter(*State, UpdateCheckInterval);
      continue;
    }
    Need.Patience = !State->Routes || isBehind(*State)
                        ? control::state_need().Patience
                        : ReaderChangeTime;
    if (shouldAskRelays(*State, Need)) {
      // A relay sends the whole to an instance that names no version.
      const std::uint64_t Held =
          State->ConfigurationDeltaFailed ? 0 : State->Stored.Version;
      auto Fetched = co_await fetchFromRelays(
          *State, session::state_kind::Configuration, Held);
      const std::uint64_t Sent = Fetched.Version;
      co_await acceptConfiguration(*State, std::move(Fetched), "relay");
      // What cannot be used now would be fetched again at once.
      if (Sent != 0 && State->Stored.Version < Sent)
        co_await pauseWithJitter(*State, RetryDelay);
      continue;
    }
    // Others may answer while the store does not, and in a large fleet a change
    // is small if it comes from another relay.
    const bool AsksOthers =
        !State->StorePacing.Answers || fleetUsesRelays(*State);
    if (AsksOthers && isBehind(*State))
      co_await fetchFromPeer(*State);
    if (AsksOthers && State->Routes && hasStoreReader(*State) &&
        !isBehind(*State))
      continue;
    const bool InTurn =
        co_await awaitStoreAttempt(*State, control::store_loop::Configuration);
    if (!InTurn)
      continue;
    const std::uint64_t Before = State->Stored.Version;
    const bool Answered = co_await readConfiguration(*State);
    if (State->Stored.Version == Before && isBehind(*State))
      co_await fetchFromPeer(*State);
    co_await pauseWithJitter(*State,
                             Answered ? ConfigurationReadInterval : RetryDelay);
  }
}

} // namespace redwinggw
