#include "platform_instance_state.hpp"

#include "redwinggw/base/log.hpp"
#include "redwinggw/control/relays.hpp"
#include "redwinggw/session/instance_list.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

/// Registration of this instance, and the rows of the fleet in the platform's
/// store: instances and claims of primaries.
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

std::string instanceText(std::string_view Zone, const http::address &Peers,
                         double Capacity) {
  return json::serialize(json::object{
      {"zone", Zone}, {"peers", toText(Peers)}, {"capacity", Capacity}});
}

std::string instanceText(const platform_instance_state &State) {
  return instanceText(State.Settings.Zone, State.Settings.Peers,
                      State.Settings.Capacity);
}

/// Nothing when the row is not an instance's or cannot be parsed.
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

base::task<bool> registerInstance(platform_instance_state &State) {
  storage::commit_request Request;
  Request.Puts.push_back(
      {instanceKey(State.Settings.Name), instanceText(State)});
  co_return (co_await storage::commit(State.Store, std::move(Request)))
      .has_value();
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

/// Applies the rows of the fleet. True when this instance's row is among them.
bool acceptFleetRows(platform_instance_state &State,
                     const platform::table_rows &Rows) {
  std::vector<storage::listed_instance> Listed;
  State.InstanceRowVersions.clear();
  State.FleetVersion = Rows.Version;
  for (const platform::table_row &Row : Rows.Rows) {
    if (auto Instance = instanceOf(Row)) {
      State.InstanceRowVersions.emplace(Instance->Name, Row.Version);
      Listed.push_back(std::move(*Instance));
    }
    if (!Row.Key.starts_with(session::ClaimPrefix))
      continue;
    if (const auto Claim = session::readClaim(Row.Key, Row.Version, Row.Value))
      acceptClaim(State, *Claim);
  }
  State.Peers->setList(Listed);
  return std::ranges::find(Listed, State.Settings.Name,
                           &storage::listed_instance::Name) != Listed.end();
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

/// Removes the rows of instances without heartbeats for RemoveAfter: rows do
/// not expire in the store, and dead instances would count for majorities and
/// shares forever.
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

} // namespace

base::task<void> pauseWithJitter(platform_instance_state &State,
                                 milliseconds Time) {
  constexpr int Spread = 10;
  std::uniform_int_distribution<std::int64_t> Offset(-Time.count() / Spread,
                                                     Time.count() / Spread);
  asio::steady_timer Timer(State.Context,
                           Time + milliseconds(Offset(State.Random)));
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

base::task<bool> awaitStoreAttempt(platform_instance_state &State,
                                   control::store_loop Loop) {
  constexpr milliseconds CheckInterval{50};
  constexpr milliseconds MaxWait{300};
  const base::instant Since = base::now();
  while (!State.Stopped && base::now() - Since < MaxWait) {
    const base::instant Now = base::now();
    const bool Connected = State.Peers && usesRelays(State.Peers->view()) &&
                           State.Peers->inContactWithMajority(Now);
    if (tryAttempt(State.StorePacing, Loop, Connected, Now))
      co_return true;
    co_await pauseWithJitter(State, CheckInterval);
  }
  co_return false;
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

namespace {

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
  const bool Listed = acceptFleetRows(State, Rows);
  State.Peers->noteStoreRead(Sent, base::now(), State.Claims.Version);
  State.FleetReadAt = Sent;
  if (Listed)
    State.RegistrationLeftAt.reset();
  return Listed;
}

/// Whether this instance's row is up to date. A restarted process finds it so
/// and writes nothing: the store serializes writes, and instances that start
/// together would wait for each other.
bool isRegistered(const platform_instance_state &State,
                  const platform::table_rows &Rows) {
  return valueAt(Rows, instanceKey(State.Settings.Name)) == instanceText(State);
}

/// The instances in \p Rows other than this one, and those of its zone.
struct listed_count {
  std::size_t All = 0;
  std::size_t InZone = 0;
};

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

/// Whether relays of this availability zone can register this instance: the
/// store serializes writes, and hundreds of instances that start together would
/// wait for each other for seconds.
bool mayLeaveRegistration(const listed_count &Listed) {
  // As many as are tried as relays.
  constexpr std::size_t RelayCandidates = 4;
  return Listed.All > control::membership_limits().DirectLimit &&
         Listed.InZone >= RelayCandidates;
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
  State.FleetSize = Listed.All + 1;
  auto Secret = valueAt(*Rows, SecretKey);
  if (!Secret && !State.SecretLeftToOthers) {
    co_await leaveSecretToOthers(State);
    co_return false;
  }
  if (!Secret)
    Secret = co_await makeSecret(State);
  if (!Secret)
    co_return false;
  bool Registered = isRegistered(State, *Rows);
  if (!Registered && mayLeaveRegistration(Listed)) {
    State.RegistrationLeftAt = base::now();
    Registered = true;
  }
  if (!Registered) {
    Registered = co_await registerInstance(State);
    if (Listed.All > control::membership_limits().DirectLimit)
      State.RegistrationLeftAt = base::now();
  }
  if (!Registered)
    co_return false;
  startPeers(State, *Secret);
  // Relays are chosen with the first heartbeats, so the list comes first.
  noteFleetRows(State, *Rows, Sent);
  if (const auto Started = State.Peers->start(); !Started)
    base::log(log_level::Error, log_part::Peers, describe(Started.error()));
  co_return true;
}

/// Registers the instances that report here and have no row yet, many with one
/// write. An instance that asks this one for shared reads is registered by it
/// only.
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

/// Registers this instance if no relay has done so.
base::task<void> confirmRegistration(platform_instance_state &State) {
  constexpr milliseconds RelaysRegisterWithin{2000};
  if (!State.RegistrationLeftAt ||
      base::now() - *State.RegistrationLeftAt < RelaysRegisterWithin)
    co_return;
  const bool Registered = co_await registerInstance(State);
  if (Registered)
    State.RegistrationLeftAt.reset();
  else
    State.RegistrationLeftAt = base::now();
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
                         !State.Peers->view().Relay && !hasListOfRelays(State);
    Requested =
        (State.FleetReadRequested || Differs) && base::now() - Since >= Wanted;
  }
  co_return Requested;
}

/// Whether a claim is known to exist that only the rows can tell here.
bool lacksClaims(const platform_instance_state &State) {
  return State.Peers->view().Store.HeadVersion > State.Claims.Version;
}

/// Takes the list of instances from a relay. False if this instance has to read
/// the rows itself.
base::task<bool> takeListFromRelays(platform_instance_state &State,
                                    control::state_need &Need) {
  if (!mayAwaitRelays(State, Need))
    co_return false;
  if (hasListOfRelays(State)) {
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
  if (!SelfListed && !State.RegistrationLeftAt)
    co_return false;
  if (SelfListed)
    State.RegistrationLeftAt.reset();
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
