#include "platform_fleet.hpp"
#include "platform_connections.hpp"
#include "platform_heartbeats.hpp"
#include "platform_holders.hpp"
#include "platform_loops.hpp"
#include "platform_primaries.hpp"
#include "platform_rates.hpp"
#include "platform_registration.hpp"
#include "platform_relayed_state.hpp"

#include "redwinggw/base/log.hpp"
#include "redwinggw/control/relays.hpp"
#include "redwinggw/session/instance_list.hpp"

#include <algorithm>

/// Joining the fleet, and following its rows in the platform's store: the
/// secret, instances and claims of primaries.
namespace redwinggw {
namespace {

using base::log_level;
using base::log_part;
using base::milliseconds;

constexpr std::string_view SecretKey = "fleet/secret";

/// The value of the row at \p Key; nothing when there is none.
std::optional<std::string> valueAt(const platform::table_rows &Rows,
                                   std::string_view Key) {
  const auto Found =
      std::ranges::find(Rows.Rows, Key, &platform::table_row::Key);
  if (Found == Rows.Rows.end())
    return std::nullopt;
  return Found->Value;
}

/// Creates the fleet's secret. Nothing when another instance was first, whose
/// secret is in the row then, or when the store did not answer.
base::task<std::optional<std::string>>
makeSecret(platform_instance_state &State) {
  std::string Secret = base::randomId();
  storage::commit_request Request;
  Request.Checks.push_back({std::string(SecretKey), 0});
  Request.Puts.push_back({std::string(SecretKey), Secret});
  const auto Made = co_await storage::commit(State.Store, std::move(Request));
  if (!Made)
    co_return std::nullopt;
  co_return Secret;
}

void startPeers(platform_instance_state &State, const std::string &Secret) {
  const control::peer_identity Identity{
      State.Settings.Name, State.Settings.Zone,
      static_cast<std::uint64_t>(base::wallMilliseconds()),
      State.Settings.Capacity};
  // Without any contact for this long an instance must not use a primary any
  // more; see handover_limits::ReadingValidFor.
  control::config_freshness_limits Freshness;
  Freshness.MaxAge = milliseconds(1000);
  control::membership_limits Members;
  Members.AcceptUnlisted = true;
  State.Peers = std::make_unique<control::peer_service>(
      State.Context.get_executor(), Identity, State.Settings.Peers, Secret,
      State.Store, Members, Freshness);
  State.Peers->setLinkMbps(State.Settings.LinkMbps);
  connectPeers(State);
  connectTokenTransfers(State);
  startForwarding(State, Secret);
}

/// What the rows of the fleet contain.
struct fleet_rows {
  /// This instance's row is among them.
  bool Listed = false;
  /// The newest epoch of all claims.
  std::uint64_t NewestEpoch = 0;
};

/// Applies the rows of the fleet.
fleet_rows acceptFleetRows(platform_instance_state &State,
                           const platform::table_rows &Rows) {
  std::vector<storage::listed_instance> Listed;
  fleet_rows Found;
  State.InstanceRowVersions.clear();
  State.FleetVersion = Rows.Version;
  for (const platform::table_row &Row : Rows.Rows) {
    if (auto Instance = instanceOf(Row)) {
      State.InstanceRowVersions.emplace(Instance->Name, Row.Version);
      Listed.push_back(std::move(*Instance));
    }
    acceptHolderRow(State, Row);
    if (!Row.Key.starts_with(session::ClaimPrefix))
      continue;
    if (const auto Claim = session::readClaim(Row.Key, Row.Version, Row.Value))
      acceptClaim(State, *Claim);
    Found.NewestEpoch = std::max(Found.NewestEpoch, Row.Version);
  }
  acknowledgeClaims(State, std::min(Found.NewestEpoch, Rows.FirstVersion));
  State.Peers->setList(Listed);
  Found.Listed =
      std::ranges::find(Listed, State.Settings.Name,
                        &storage::listed_instance::Name) != Listed.end();
  return Found;
}

/// Least interval between two reads when a heartbeat reported a change. All
/// instances learn of a new one at about the same time; without the interval,
/// when many start together, each would read once for each other one.
milliseconds requestedReadInterval(const platform_instance_state &State) {
  constexpr milliseconds ForEachMember{5};
  constexpr milliseconds MaxInterval{1500};
  const std::size_t Members = State.Peers->view().Members.size();
  const auto Spread = static_cast<std::int64_t>(Members) * ForEachMember;
  return usesRelays(State.Peers->view()) ? std::min(MaxInterval, Spread)
                                         : milliseconds(0);
}

bool hasDirectContact(const platform_instance_state &State) {
  const auto &View = State.Peers->view();
  return std::ranges::any_of(View.Members, [&](const control::member &Member) {
    return isInDirectContact(View, Member, base::now());
  });
}

/// How often the rows of the fleet are read: rarely while in contact with a
/// majority, whose heartbeats report all that is in the rows. Without a
/// majority the rows are the only way to learn of a promotion.
milliseconds fleetReadInterval(const platform_instance_state &State) {
  // Limits the reads of all instances together to about five a second.
  constexpr std::size_t FewInstances = 16;
  const std::size_t Members = State.Peers->view().Members.size();
  const auto Share = static_cast<std::int64_t>(1 + Members / FewInstances);
  const milliseconds ContactInterval = Share * milliseconds(3000);
  constexpr milliseconds NoContactInterval{400};
  if (State.Peers->inContactWithMajority(base::now()))
    return ContactInterval;
  // A relay reports what other instances have read.
  const bool Relayed =
      usesRelays(State.Peers->view()) && hasDirectContact(State);
  return Relayed ? std::max(NoContactInterval, requestedReadInterval(State))
                 : NoContactInterval;
}

base::task<std::optional<platform::table_rows>>
readRows(platform_instance_state &State) {
  State.FleetReadRequested = false;
  auto Rows = co_await platform::readTable(State.StoreTables,
                                           platform::OwnTable, ReadIdleTimeout);
  ++State.Store.Reads;
  noteStoreResult(State, Rows.has_value(), Rows ? "" : describe(Rows.error()));
  if (!Rows)
    co_return std::nullopt;
  co_return std::move(*Rows);
}

/// Applies rows that were requested at \p Sent. True when this instance's row
/// is among them.
bool noteFleetRows(platform_instance_state &State,
                   const platform::table_rows &Rows, base::instant Sent) {
  const fleet_rows Found = acceptFleetRows(State, Rows);
  State.Peers->noteStoreRead(Sent, base::now(), Found.NewestEpoch);
  State.FleetReadAt = Sent;
  if (Found.Listed)
    State.RegistrationPendingSince.reset();
  return Found.Listed;
}

/// Waits for a random time, in which another instance may create the secret: if
/// all instances of a fleet that starts for the first time tried to, the store
/// would serialize as many commits, of which one succeeds.
base::task<void> leaveSecretToOthers(platform_instance_state &State) {
  constexpr std::int64_t MaxMilliseconds = 400;
  State.SecretLeftToOthers = true;
  std::uniform_int_distribution<std::int64_t> Time(0, MaxMilliseconds);
  co_await pauseWithJitter(State, milliseconds(Time(State.Random)));
}

base::task<bool> tryToJoin(platform_instance_state &State) {
  const base::instant Sent = base::now();
  const auto Rows = co_await readRows(State);
  if (!Rows)
    co_return false;
  const listed_count Listed = countListed(State, *Rows);
  State.OtherInstances = Listed.All;
  auto Secret = valueAt(*Rows, SecretKey);
  if (!Secret && !State.SecretLeftToOthers) {
    co_await leaveSecretToOthers(State);
    co_return false;
  }
  if (!Secret)
    Secret = co_await makeSecret(State);
  if (!Secret)
    co_return false;
  const bool Registered = co_await arrangeRegistration(State, *Rows, Listed);
  if (!Registered)
    co_return false;
  startPeers(State, *Secret);
  // Relays are chosen with the first heartbeats, so the list comes first.
  noteFleetRows(State, *Rows, Sent);
  if (const auto Started = State.Peers->start(); !Started)
    base::log(log_level::Error, log_part::Peers, describe(Started.error()));
  co_return true;
}

/// Waits until the rows are due to be read again, sooner when a heartbeat
/// reported a change or an unlisted instance. True if it was sooner.
base::task<bool> pauseBetweenReads(platform_instance_state &State,
                                   bool Answered) {
  const base::instant Since = base::now();
  const milliseconds Pause = Answered ? fleetReadInterval(State) : RetryDelay;
  const milliseconds Wanted = requestedReadInterval(State);
  bool Requested = false;
  while (!State.Stopped && base::now() - Since < Pause && !Requested) {
    co_await pauseWithJitter(State, UpdateCheckInterval);
    co_await registerOthers(State);
    co_await confirmRegistration(State);
    const bool Differs = usesRelays(State.Peers->view()) &&
                         !State.Peers->view().Relay &&
                         listDiffersFromRelay(State);
    Requested =
        (State.FleetReadRequested || Differs) && base::now() - Since >= Wanted;
  }
  co_return Requested;
}

/// Whether a claim is known to exist that only the rows can tell here.
bool lacksClaims(const platform_instance_state &State) {
  return State.Peers->view().Store.HeadVersion > State.Claims.CompleteUpTo;
}

/// Takes the list of instances from a relay. False if this instance has to read
/// the rows itself.
base::task<bool> takeListFromRelays(platform_instance_state &State,
                                    control::state_need &Need) {
  if (!shouldAskRelays(State, Need))
    co_return false;
  if (!listDiffersFromRelay(State)) {
    State.FleetReadRequested = lacksClaims(State);
    if (!State.FleetReadRequested)
      noteSupplied(Need);
    co_return true;
  }
  const auto Fetched =
      co_await fetchFromRelays(State, session::state_kind::Instances, 0);
  if (!Fetched.Text)
    co_return true;
  const auto Listed = session::decodeInstances(*Fetched.Text);
  if (!Listed)
    co_return false;
  const bool SelfListed =
      std::ranges::find(*Listed, State.Settings.Name,
                        &storage::listed_instance::Name) != Listed->end();
  if (!SelfListed && !State.RegistrationPendingSince)
    co_return false;
  if (SelfListed)
    State.RegistrationPendingSince.reset();
  State.Peers->setList(*Listed);
  State.FleetReadRequested = lacksClaims(State);
  noteSupplied(Need);
  co_return true;
}

} // namespace

base::task<void> joinFleet(platform_instance_ptr State) {
  bool Joined = false;
  while (!Joined && !State->Stopped) {
    const bool InTurn =
        co_await awaitStoreAttempt(*State, control::store_loop::Fleet);
    if (!InTurn)
      continue;
    Joined = co_await tryToJoin(*State);
    if (!Joined)
      co_await pauseWithJitter(*State, RetryDelay);
  }
  base::log(log_level::Info, log_part::Peers, "Joined the fleet.");
  co_await followFleet(State);
}

base::task<std::optional<platform::table_rows>>
readFleet(platform_instance_state &State) {
  const base::instant Sent = base::now();
  auto Rows = co_await readRows(State);
  if (!Rows)
    co_return std::nullopt;
  const bool Listed = noteFleetRows(State, *Rows, Sent);
  if (!Listed && !State.Stopped)
    co_await registerInstance(State);
  co_return std::move(Rows);
}

base::task<void> followFleet(platform_instance_ptr State) {
  bool Answered = true;
  control::state_need Need;
  while (!State->Stopped) {
    const bool Requested = co_await pauseBetweenReads(*State, Answered);
    bool Taken = false;
    if (Requested)
      Taken = co_await takeListFromRelays(*State, Need);
    if (Taken)
      continue;
    bool InTurn = false;
    while (!InTurn && !State->Stopped)
      InTurn = co_await awaitStoreAttempt(*State, control::store_loop::Fleet);
    if (State->Stopped)
      break;
    const auto Rows = co_await readFleet(*State);
    Answered = Rows.has_value();
    if (Answered)
      co_await removeDeadInstances(*State);
  }
}

} // namespace redwinggw
