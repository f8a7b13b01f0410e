#include "platform_instance_state.hpp"

#include "platform/decoding.hpp"

#include "redwinggw/base/log.hpp"

#include <algorithm>
#include <iterator>

/// The operators' configuration: read from the platform's store, or from
/// another instance where the store does not give the newest one.
namespace redwinggw {
namespace {

using base::log_level;
using base::log_part;
using base::milliseconds;

/// The configuration is read so often by the one that reads for all. A change
/// must be in force within three seconds: this pause, a call that hangs, its
/// repetition and a heartbeat fit in. The store's feed of changes would tell
/// sooner, but it goes silent when the store drops its history, and then hands
/// on a version whose changes it never told.
constexpr milliseconds ConfigurationReadInterval{800};
constexpr milliseconds ConfigurationIdleTimeout{700};

/// For how long a newer configuration than the one in force has been known of.
std::string millisecondsBehind(const platform_instance_state &State) {
  const base::instant Since = State.BehindSince.value_or(base::now());
  return std::to_string(
      std::chrono::floor<milliseconds>(base::now() - Since).count());
}

void noteInForce(platform_instance_state &State, std::string_view From) {
  base::logEvent(log_level::Info, log_part::Configuration,
                 "configuration_in_force",
                 {{"version", std::to_string(State.Routes->Version)},
                  {"row", std::to_string(State.Stored.Row)},
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
                 {{"row", std::to_string(State.Stored.Row)},
                  {"newest_row", std::to_string(newestConfigurationRow(State))},
                  {"behind_ms", millisecondsBehind(State)},
                  {"took_ms", std::to_string(Took.count())},
                  {"reason", describe(Reason)}});
}

/// Puts a configuration in force unless it is older than the one that is.
/// \p From is the store or an instance, for the log.
void acceptConfiguration(platform_instance_state &State,
                         session::stored_configuration Given,
                         std::string_view From) {
  if (Given.Row <= State.Stored.Row || !Given.Text)
    return;
  auto Table = platform::readConfiguration(*Given.Text);
  if (!Table) {
    base::log(log_level::Error, log_part::Configuration,
              describe(Table.error()));
    return;
  }
  State.Stored = std::move(Given);
  if (State.Routes && Table->Version <= State.Routes->Version)
    return;
  State.Routes = std::make_shared<session::route_table>(std::move(*Table));
  applyRates(State.Shares, State.Routes->Customers, base::now());
  divideConnections(State);
  noteInForce(State, From);
}

session::stored_configuration
storedConfiguration(const platform::table_rows &Rows) {
  const auto Row = std::ranges::find(Rows.Rows, platform::ConfigurationKey,
                                     &platform::table_row::Key);
  if (Row == Rows.Rows.end() || Row->Removed)
    return {};
  return {Row->Version, std::make_shared<const std::string>(Row->Value)};
}

/// Reads the configuration from the store; false when it did not answer.
base::task<bool> readConfiguration(platform_instance_state &State) {
  const base::instant Sent = base::now();
  const auto Rows = co_await platform::readTable(
      State.StoreReader, platform::OperatorTable, ConfigurationIdleTimeout);
  ++State.Store.Reads;
  noteStoreResult(State, Rows.has_value(), Rows ? "" : describe(Rows.error()));
  if (!Rows) {
    noteUnreadConfiguration(State, Sent, Rows.error());
    co_return false;
  }
  if (State.Peers)
    State.Peers->noteStoreContact();
  acceptConfiguration(State, storedConfiguration(*Rows), "store");
  co_return true;
}

/// An instance that has a newer configuration, chosen by chance among those of
/// the own availability zone where there are any; null when there is none.
const control::member *configurationHolder(platform_instance_state &State) {
  if (!State.Peers)
    return nullptr;
  std::vector<const control::member *> Holders;
  for (const control::member &Member : State.Peers->view().Members)
    if (Member.State == control::member_state::Alive &&
        Member.Report.ConfigurationRow > State.Stored.Row)
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

/// Asks another instance for what the store did not give: it may turn this
/// instance away, or answer from the past.
base::task<void> fetchFromPeer(platform_instance_state &State) {
  const control::member *Holder = configurationHolder(State);
  if (Holder == nullptr || !State.ForwardingClient)
    co_return;
  const session::relay_owner From{Holder->Name, Holder->Address};
  auto Told =
      co_await State.ForwardingClient->askConfiguration(From, State.Stored.Row);
  acceptConfiguration(State, std::move(Told), From.Name);
}

/// Whether another instance has a newer configuration; notes since when.
bool isBehind(platform_instance_state &State) {
  const bool Behind = newestConfigurationRow(State) > State.Stored.Row;
  if (!Behind)
    State.BehindSince.reset();
  else if (!State.BehindSince)
    State.BehindSince = base::now();
  return Behind;
}

} // namespace

base::task<void> followConfiguration(platform_instance_ptr State) {
  while (!State->Stopped) {
    // Where another instance reads, its heartbeats tell of changes.
    if (State->Routes && hasStoreReader(*State) && !isBehind(*State)) {
      co_await pauseWithJitter(*State, UpdateCheckInterval);
      continue;
    }
    const std::uint64_t Before = State->Stored.Row;
    const bool Answered = co_await readConfiguration(*State);
    if (State->Stored.Row == Before && isBehind(*State))
      co_await fetchFromPeer(*State);
    co_await pauseWithJitter(*State,
                             Answered ? ConfigurationReadInterval : RetryDelay);
  }
}

} // namespace redwinggw
