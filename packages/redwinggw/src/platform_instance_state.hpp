#pragma once

#include "platform_instance.hpp"

#include "platform/caller_listener.hpp"
#include "platform/row_store.hpp"

#include "redwinggw/control/bucket_requests.hpp"
#include "redwinggw/control/bucket_reserve.hpp"
#include "redwinggw/control/centralized_buckets.hpp"
#include "redwinggw/control/demand_shares.hpp"
#include "redwinggw/control/peer_service.hpp"
#include "redwinggw/control/state_source.hpp"
#include "redwinggw/control/store_pacing.hpp"
#include "redwinggw/control/token_transfer.hpp"
#include "redwinggw/http/server.hpp"
#include "redwinggw/kernel/life_cycle.hpp"
#include "redwinggw/session/endpoint_owner.hpp"
#include "redwinggw/session/evacuations.hpp"
#include "redwinggw/session/forwarding_client.hpp"
#include "redwinggw/session/forwarding_server.hpp"
#include "redwinggw/session/handover.hpp"
#include "redwinggw/session/list_parts.hpp"
#include "redwinggw/session/owner_assignment.hpp"
#include "redwinggw/session/session_core.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

/// State and services of one instance that runs on the users' platform, and the
/// functions that work on them.
namespace redwinggw {

/// The cold permission of an endpoint, as far as this instance deals with it.
struct held_permission {
  session::cold_permission Permission;
  /// A request to the store is under way.
  bool Busy = false;
  /// It was cold at the last check.
  bool WasCold = false;
};

/// What decides which instances may own endpoints, in a fleet with relays.
struct owner_basis {
  /// membership::StatesVersion.
  std::uint64_t States = 0;
  bool Draining = false;

  friend bool operator==(const owner_basis &, const owner_basis &) = default;
};

/// A state as it is sent to others, kept until it changes: hundreds may request
/// it at once.
struct encoded_state {
  /// What the text was encoded from.
  std::string Source;
  session::transferred_state State;
};

struct platform_instance_state
    : std::enable_shared_from_this<platform_instance_state> {
  platform_instance_state(boost::asio::io_context &Context, settings Settings);

  boost::asio::io_context &Context;
  settings Settings;
  /// Writes and reads the rows that the instances keep for themselves.
  storage::store Store;
  /// The client that reads whole tables of the platform's store; not the
  /// instance that is called the store reader.
  platform::store_client StoreTables;
  session::route_table_ptr Routes;
  /// The services of Routes by hashOf their names, as reports name them.
  std::unordered_map<std::uint32_t, base::service_name> ServicesByHash;
  /// The text from which Routes was parsed, for instances that cannot read the
  /// store.
  session::transferred_state Stored;
  /// While this instance is a relay, the configurations before Stored, the
  /// latest last, and what turns each into Stored, by its version.
  std::deque<session::transferred_state> FormerConfigurations;
  std::map<std::uint64_t, std::shared_ptr<const std::string>>
      ConfigurationDeltas;
  /// Changes to the configuration could not be applied: fetch the whole.
  bool ConfigurationDeltaFailed = false;
  /// The evacuated availability zones, read from the store or reported by
  /// another instance.
  session::evacuations Evacuations;
  /// When this instance learned of the end of each zone's last evacuation.
  std::map<base::zone_name, base::instant> EvacuationEndedAt;
  /// When this instance learned that another one has a newer configuration.
  std::optional<base::instant> BehindSince;
  session::endpoint_set Endpoints;
  session::session_core Core;
  platform::caller_listener Callers;
  http::server Readiness;
  http::server Metrics;
  /// Requests promotions of endpoints.
  platform::store_client Promotions;
  /// Null until the fleet's secret is known.
  std::unique_ptr<control::peer_service> Peers;
  /// Runs statements that other instances forward to this one, and forwards its
  /// own ones to the owners of endpoints; null until the fleet's secret is
  /// known.
  std::unique_ptr<session::forwarding_server> ForwardingServer;
  std::unique_ptr<session::forwarding_client> ForwardingClient;
  /// The owners of endpoints as computed here, and last logged: of all with
  /// owner_policy::Hash, otherwise of those that this instance has to do with.
  std::map<base::endpoint_name, session::connection_owners, std::less<>> Owners;
  /// What owners were last computed from.
  owner_basis OwnerBasis;
  /// The instances among which Owners was last divided with
  /// owner_policy::Hash.
  std::vector<session::owner_candidate> OwnerCandidates;
  /// The basis of Owners with owner_policy::Capacity.
  session::owner_assignment Assignment;
  /// When it was last checked which owners are not heard any more.
  base::instant OwnersCheckedAt;
  /// When the use of each endpoint's standby owner was last logged.
  std::map<base::endpoint_name, base::instant> StandbyLoggedAt;
  /// The cold permissions of endpoints, see session/cold_rates.hpp, by which
  /// this instance may send to them, and the text of its rows.
  std::map<base::endpoint_name, held_permission, std::less<>> ColdPermissions;
  std::string ColdHolder;
  /// Connections have to be divided again: endpoints, configuration or
  /// evacuations have changed.
  bool ConnectionsStale = true;
  /// The number of instances when connections were last divided.
  std::size_t DividedAmong = 0;
  control::demand_shares Shares;
  control::token_transfers Transfers;
  /// Operations that wait for another instance's answer about tokens.
  session::wait_list TokenWaits;
  /// Answers of bucket owners by request number; empty while a request is
  /// unanswered.
  std::map<std::uint64_t, std::optional<control::bucket_owner_answer>>
      BucketOwnerAnswers;
  control::bucket_reserves Reserves;
  control::bucket_requests BucketRequests;
  /// Requests for a token that this instance has relayed to a bucket's owner,
  /// by its own number for them.
  struct relayed_take {
    base::instance_name Asker;
    /// The asker's number.
    std::uint64_t Number = 0;
    base::instant At;
  };
  std::map<std::uint64_t, relayed_take> RelayedTakes;
  /// Tokens granted from reserves that no log line has reported yet, and when
  /// the last line was written.
  struct reserve_use {
    std::uint64_t Granted = 0;
    std::optional<base::instant> LoggedAt;
  };
  std::map<base::customer_name, reserve_use, std::less<>> ReserveUse;
  session::primary_claims Claims;
  session::handover_limits Handover;
  /// Services whose primary this instance is replacing.
  std::set<base::service_name> Moving;
  /// Primaries that are missing from the endpoint list, and since when.
  std::map<base::endpoint_name, base::instant> MissingPrimaries;
  /// Since when the orderer of each service's unfinished move is not alive.
  std::map<base::service_name, base::instant> OrdererUnreachableSince;
  /// Services with a promotion order that the platform has not answered yet.
  std::set<base::service_name> PromotionsInFlight;
  /// When the last promotion order was answered or timed out.
  base::instant LastPromotionEndedAt = base::instant::min();
  /// Endpoints with a status probe under way.
  std::set<base::endpoint_name> Probing;
  /// Versions of the instances' rows, by which the rows of dead ones are
  /// removed.
  std::map<base::instance_name, std::uint64_t> InstanceRowVersions;
  /// The newest endpoint list, read from the store or received from the store
  /// reader, and its digest.
  std::vector<session::endpoint_entry> EndpointList;
  std::string EndpointListDigest;
  /// The store's version at a read of that list.
  std::uint64_t EndpointListVersion = 0;
  /// Parts of a list from the store reader that is not complete yet.
  session::list_assembly EndpointListParts;
  /// Digest of the list that was requested last; empty once this instance has
  /// it or a newer one.
  std::string RequestedEndpointList;
  std::optional<base::instant> EndpointListAt;
  /// The list that this instance last sent to the others in full.
  std::vector<session::endpoint_entry> SentEndpointList;
  std::optional<base::instant> SentEndpointListAt;
  std::int64_t SentEndpointListParts = 1;
  encoded_state EncodedEndpoints;
  encoded_state EncodedInstances;
  std::optional<base::instant> FleetReadAt;
  /// The number of instances in the rows of the fleet at the first read, and
  /// the store's version at the last one.
  std::optional<std::size_t> FleetSize;
  std::uint64_t FleetVersion = 0;
  /// When this instance left its registration to the relays of its zone, or
  /// wrote its row, until the row was seen.
  std::optional<base::instant> RegistrationLeftAt;
  /// When this instance, as a relay, last registered others.
  std::optional<base::instant> RegisteredOthersAt;
  std::optional<base::instant> OutOfContactSince;
  /// The freshness of the last in_touch line.
  control::config_freshness LoggedFreshness =
      control::config_freshness::Isolated;
  control::store_pacing StorePacing;
  /// This instance found no secret of the fleet and left it to others to create
  /// one.
  bool SecretLeftToOthers = false;
  bool FleetReadRequested = false;
  kernel::life_cycle Life;
  std::mt19937_64 Random;
  bool Listening = false;
  /// Set by the first stop signal: the instance is not ready any more and takes
  /// on no new duties.
  bool Draining = false;
  /// Ends all loops.
  bool Stopped = false;
};

/// Key of the row that names the instance which may order promotions. It is in
/// the same table as the other rows that instances keep.
constexpr std::string_view OrdererKey = "orderer/promotion";

/// \name Reading the store
/// @{
/// A read fails when nothing arrives for this long. There is no limit on its
/// whole duration, which depends on its size and on the link.
constexpr base::milliseconds ReadIdleTimeout{1000};
/// Largest part of a shared read that fits a datagram.
constexpr std::size_t MaxSharedReadBytes = 60'000;
constexpr base::instant LongAgo{-std::chrono::hours(1)};
/// How often to check whether heartbeats have reported a change.
constexpr base::milliseconds UpdateCheckInterval{100};
/// Delay after a failed request. It keeps the whole fleet far below the store's
/// rate limits also when the store rejects every request.
constexpr base::milliseconds RetryDelay{250};
/// @}

using platform_instance_ptr = std::shared_ptr<platform_instance_state>;

/// Whether this instance has been unable to use primaries for CutOffAfter.
bool isCutOff(const platform_instance_state &State);
/// Whether the balancer may send callers to this instance.
bool isReady(const platform_instance_state &State);

/// \name Loops, each run as a coroutine until the instance stops
/// @{
/// Creates or reads the fleet's secret, registers this instance, and starts the
/// services that need both; then runs followFleet.
base::task<void> joinFleet(platform_instance_ptr State);
/// Reads the rows of the fleet repeatedly and removes those of dead instances.
base::task<void> followFleet(platform_instance_ptr State);
/// Keeps the operators' configuration up to date, from the store or from
/// another instance.
base::task<void> followConfiguration(platform_instance_ptr State);
/// Keeps the endpoint list up to date, and sends it to the other instances when
/// this one is the store reader.
base::task<void> followEndpoints(platform_instance_ptr State);
/// Probes primaries that may have failed, and replaces those that failed or
/// leave.
base::task<void> monitorPrimaries(platform_instance_ptr State);
/// Acquires, renews and releases the permissions to send to cold endpoints.
base::task<void> followColdEndpoints(platform_instance_ptr State);
/// Checks the contact with the fleet, opens the callers' address, divides
/// connections and closes unused ones.
base::task<void> runPlatformHousekeeping(platform_instance_ptr State);
/// @}

/// \name Status of endpoints
/// @{
/// Asks an endpoint for its status over a new connection; fails after \p Time.
/// With \p Limited, its pool, the question takes a token while the endpoint is
/// cold, and without one only the connection is set up. The caller has taken
/// the token for the set-up, or may inquire without tokens.
base::task<session::status_exchange> askStatus(platform_instance_state &State,
                                               session::endpoint_entry Entry,
                                               base::milliseconds Time,
                                               session::pool_ptr Limited);
/// Probes the primaries at which statements failed or remain unanswered; while
/// one is cold only with tokens.
void probePrimariesInDoubt(const platform_instance_ptr &State);
/// @}

/// \name Heartbeats
/// @{
/// Registers the handlers of heartbeats with the peer service.
void connectPeers(platform_instance_state &State);
/// Puts the known claims of primaries into the heartbeats from now on.
void announceClaims(platform_instance_state &State);
/// Whether this instance is the store reader: the first in rank of those that
/// are alive and had an answer of the store lately. It reads the store for the
/// others, and only it begins new moves of primaries and removes the rows of
/// dead instances.
bool isStoreReader(const platform_instance_state &State);
/// Whether another instance that is alive reads the store for this one.
bool hasStoreReader(const platform_instance_state &State);
/// Applies the evacuations that \p From, "store" or an instance, reports.
void acceptEvacuations(platform_instance_state &State,
                       session::evacuations Read, std::string_view From);
/// The highest row version of the configuration that another instance reports.
std::uint64_t newestConfigurationRow(const platform_instance_state &State);
/// What the members report about primaries, collected once for all services.
struct primary_reports {
  /// How many instances suspect each primary, by service and primary, this
  /// instance not included.
  std::map<std::pair<base::service_name, base::endpoint_name>, std::size_t>
      Suspects;
  /// The other instances that are up.
  std::set<base::instance_name, std::less<>> Up;
};
primary_reports collectPrimaryReports(const platform_instance_state &State);
/// How many instances suspect the primary of \p Service, this one included.
std::size_t countSuspects(const platform_instance_state &State,
                          const primary_reports &Reports,
                          const base::service_name &Service);
/// @}

/// \name Use of primaries
/// @{
/// Whether the claims known here may be trusted: this instance would have
/// learned of a promotion by now, from the store or from a majority of the
/// instances. True unless its config freshness is Isolated.
bool mayTrustClaims(platform_instance_state &State);
/// Records whether a request to the store was answered, and logs a change.
void noteStoreResult(platform_instance_state &State, bool Answered,
                     std::string_view Reason);
/// The lease under which this instance may use the primary of \p Service;
/// nothing while the primary is being replaced or the contact with the fleet is
/// lost.
std::optional<session::primary_lease>
primaryLeaseFor(platform_instance_state &State, std::string_view Service);
/// The primary of \p Service by the newest claim, or by the endpoint list where
/// there is no claim; empty when there is none.
base::endpoint_name primaryOf(const platform_instance_state &State,
                              std::string_view Service);
/// How long the running move of the primary of \p Service is expected to take
/// from now; nothing when none runs or when it takes too long.
std::optional<base::milliseconds>
primaryExpected(const platform_instance_state &State, std::string_view Service);
/// Applies a claim; false when it is not newer than the known one, or when a
/// promotion order for the service is unanswered.
bool acceptClaim(platform_instance_state &State,
                 const session::primary_claim &Claim);
/// Whether this instance suspects that the primary of \p Service has failed.
bool suspects(const platform_instance_state &State, std::string_view Service);
/// The services whose primary this instance suspects. Precondition: a
/// configuration is in force.
std::vector<base::service_name>
suspectServices(const platform_instance_state &State);
/// @}

/// Waits for the turn of \p Loop to read the store, see store_pacing.hpp. True:
/// the read must follow at once. False after a short time or when the instance
/// stops: the loop checks again whether it needs a read.
base::task<bool> awaitStoreAttempt(platform_instance_state &State,
                                   control::store_loop Loop);

/// \name States from the relays of this availability zone
/// @{
/// What this instance sends to others on request.
session::transferred_state stateHeld(platform_instance_state &State,
                                     const session::transfer_request &Request);
/// The configuration in force, as changes where the requester has a version
/// that is still known here.
session::transferred_state
configurationHeld(platform_instance_state &State,
                  const session::transfer_request &Request);
/// The endpoint list, if it is recent.
session::transferred_state endpointsHeld(platform_instance_state &State);
/// What this instance knows of its fleet and of its place in it.
control::fleet_position fleetPosition(const platform_instance_state &State);
/// Whether to ask the relays for a state that is lacking; after false this
/// instance reads the store.
bool mayAwaitRelays(const platform_instance_state &State,
                    control::state_need &Need);
/// Fetches a state from the relays, one after the other. If none has a newer
/// one than \p Held, or all are busy, the row is 0, after a pause.
base::task<session::transferred_state>
fetchFromRelays(platform_instance_state &State, session::state_kind Kind,
                std::uint64_t Held);
/// False if the first relay that answers has another list of instances.
bool hasListOfRelays(const platform_instance_state &State);
/// @}

/// Applies what the store reader has read and sent to this instance.
void acceptSharedRead(platform_instance_state &State,
                      const base::instance_name &From,
                      const wire::shared_store_read &Reading);
/// Reads the rows of the fleet and applies them. Nothing when the store did not
/// answer.
base::task<std::optional<platform::table_rows>>
readFleet(platform_instance_state &State);

/// Removes this instance's row, so that it does not count for majorities and
/// shares any more.
base::task<void> removeInstance(platform_instance_state &State);

/// \name Customers' rates
/// @{
/// Admits an operation by the customer's rate, with tokens of another instance
/// when the local ones do not suffice.
base::task<session::admission> admitOperation(platform_instance_state &State,
                                              std::string Customer,
                                              unsigned Priority,
                                              base::microseconds Patience);
/// Registers the handler of messages about tokens with the peer service.
void connectTokenTransfers(platform_instance_state &State);
/// Admits an operation by a bucket that another instance owns, or by a reserve.
/// \p Here is the verdict of this instance's own bucket.
base::task<control::demand_verdict>
admitByBucketOwner(platform_instance_state &State, std::string Customer,
                   unsigned Priority, base::microseconds Patience,
                   control::demand_verdict Here);
/// Handles a message about a centralized bucket; false when it is another one.
bool acceptBucketMessage(platform_instance_state &State,
                         const wire::datagram &Datagram,
                         const wire::share_message &Message);
/// Logs which customers were granted tokens from a reserve, at most once a
/// second for each.
void logReserveUse(platform_instance_state &State);
/// Counts tokens that were transferred between instances or granted.
void countTokens(platform_instance_state &State,
                 const base::customer_name &Customer, std::string_view Step,
                 double Tokens);
/// @}

/// \name Connections to endpoints
/// @{
/// Starts to run statements that other instances forward, and to forward own
/// ones.
void startForwarding(platform_instance_state &State, const std::string &Secret);
/// Recomputes which instance owns each endpoint's connections, how many this
/// instance may hold, and which endpoints are evacuated.
void divideConnections(platform_instance_state &State);
/// Sets the limits of a pool, as divideConnections does for all of them.
void preparePool(platform_instance_state &State, session::endpoint_pool &Pool);
/// The same for a new pool, which may be used at once.
void openPool(platform_instance_state &State, session::endpoint_pool &Pool);
/// The bound on requests to cold endpoints; nothing if there is none.
std::optional<session::cold_limits> coldLimits(const settings &Settings);
/// Whether this instance owns the connections to \p Endpoint.
bool isOwn(const platform_instance_state &State, std::string_view Endpoint);
/// A link to an endpoint through the instance that owns its connections, or
/// through the standby owner while the owner cannot be used; null when this
/// instance is the one to use, or when neither can be used now.
std::unique_ptr<session::forwarding_link>
forwardingLinkTo(platform_instance_state &State,
                 const session::endpoint_entry &Entry,
                 std::string_view Customer, unsigned Priority);
/// @}

/// The ports of the session core.
session::core_ports sessionCorePorts(platform_instance_state &State);

/// Waits for \p Time plus or minus up to a tenth, so that instances that were
/// started together do not act at the same time.
base::task<void> pauseWithJitter(platform_instance_state &State,
                                 base::milliseconds Time);

} // namespace redwinggw
