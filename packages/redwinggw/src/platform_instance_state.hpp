#pragma once

#include "platform_instance.hpp"

#include "platform/caller_listener.hpp"
#include "platform/row_store.hpp"

#include "redwinggw/control/demand_shares.hpp"
#include "redwinggw/control/gathered_rates.hpp"
#include "redwinggw/control/peer_service.hpp"
#include "redwinggw/control/token_lending.hpp"
#include "redwinggw/http/server.hpp"
#include "redwinggw/kernel/life_cycle.hpp"
#include "redwinggw/session/endpoint_owner.hpp"
#include "redwinggw/session/handover.hpp"
#include "redwinggw/session/relay_host.hpp"
#include "redwinggw/session/relay_links.hpp"
#include "redwinggw/session/session_core.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

/// All services of one native process.
namespace redwinggw {

struct platform_instance_state
    : std::enable_shared_from_this<platform_instance_state> {
  platform_instance_state(boost::asio::io_context &Context, settings Settings);

  boost::asio::io_context &Context;
  settings Settings;
  /// The system's own rows.
  storage::store Store;
  /// Watches and reads of what others write.
  platform::store_client StoreReader;
  session::route_table_ptr Routes;
  /// What Routes was made of, for instances that the store turns away.
  session::stored_configuration Stored;
  /// Since when another instance is known to have a newer configuration.
  std::optional<base::instant> BehindSince;
  session::endpoint_set Endpoints;
  session::session_core Core;
  platform::caller_listener Callers;
  http::server Readiness;
  http::server Metrics;
  /// Orders to promote endpoints.
  platform::store_client Promotions;
  /// Exists once the fleet's secret is known.
  std::unique_ptr<control::peer_service> Peers;
  /// Statements for other instances, and by them; exist once the fleet's
  /// secret is known.
  std::unique_ptr<session::relay_server> ForwardingServer;
  std::unique_ptr<session::relay_links> ForwardingClient;
  /// Who owns the connections to each endpoint, as this instance sees it.
  std::map<base::endpoint_name, base::instance_name, std::less<>> Owners;
  /// The instances among which these were divided.
  std::vector<session::owner_candidate> OwnerCandidates;
  control::demand_shares Shares;
  control::token_lending Transfers;
  /// Operations that wait for tokens of another instance.
  session::wait_list TokenWaits;
  /// What keepers of buckets answered to requests, by number; nothing yet for
  /// one that is open.
  std::map<std::uint64_t, std::optional<control::keeper_answer>>
      BucketOwnerAnswers;
  session::primary_claims Claims;
  session::handover_limits Handover;
  /// Services whose primary this instance is moving.
  std::set<base::service_name> Moving;
  /// Endpoints in use as primaries that are not listed, and since when.
  std::map<base::endpoint_name, base::instant> MissingPrimaries;
  /// Orderers of unfinished moves that are not heard, by service.
  std::map<base::service_name, base::instant> OrdererUnreachableSince;
  /// Services for which an order to promote is on its way.
  std::set<base::service_name> PromotionsInFlight;
  /// When the last such order ended.
  base::instant LastPromotionEndedAt = base::instant::min();
  /// Endpoints that are being probed.
  std::set<base::endpoint_name> Probing;
  /// Versions of the other instances' rows, to remove those of dead ones.
  std::map<base::instance_name, std::uint64_t> InstanceRowVersions;
  /// The last reading of the endpoints' list, own or relayed.
  std::vector<session::endpoint_entry> EndpointList;
  std::optional<base::instant> EndpointListAt;
  /// The list as this instance last sent it to the others in full.
  std::vector<session::endpoint_entry> SentEndpointList;
  std::optional<base::instant> SentEndpointListAt;
  std::optional<base::instant> FleetReadAt;
  std::optional<base::instant> OutOfContactSince;
  control::currency Freshness = control::currency::Isolated;
  /// Whether the last call to the store was answered.
  bool StoreUp = true;
  bool FleetReadWanted = false;
  kernel::life_cycle Life;
  std::mt19937_64 Random;
  bool Listening = false;
  /// Begins with the first signal: not ready, no new duties.
  bool Draining = false;
  /// All loops end.
  bool Stopped = false;
};

/// The system's own rows are in one table: this one names who orders.
constexpr std::string_view OrdererKey = "orderer/promotion";

/// \name Reading the store
/// @{
/// A reading ends when nothing arrives for so long; how long it may take
/// depends on its size and on the link.
constexpr base::milliseconds ReadIdleTimeout{1000};
/// A reading that fits a datagram.
constexpr std::size_t MaxSharedReadBytes = 60'000;
constexpr base::instant LongAgo{-std::chrono::hours(1)};
/// How often to look whether another instance has told news.
constexpr base::milliseconds UpdateCheckInterval{100};
/// After a failed call. Together the instances stay far below the store's
/// rates also when it turns all away.
constexpr base::milliseconds RetryDelay{250};
/// @}

using platform_instance_ptr = std::shared_ptr<platform_instance_state>;

/// Whether this instance has been unable to use primaries for a while.
bool isCutOff(const platform_instance_state &State);
/// Whether callers may be sent here.
bool isReady(const platform_instance_state &State);

/// \name Loops, each run as a coroutine until the instance stops
/// @{
/// Makes or reads the fleet's secret, registers this instance, and starts the
/// services that need both.
base::task<void> joinFleet(platform_instance_ptr State);
base::task<void> followFleet(platform_instance_ptr State);
base::task<void> followConfiguration(platform_instance_ptr State);
base::task<void> followEndpoints(platform_instance_ptr State);
/// Probes primaries in doubt and moves those that failed or leave.
base::task<void> monitorPrimaries(platform_instance_ptr State);
base::task<void> runPlatformHousekeeping(platform_instance_ptr State);
/// @}

/// \name Asking endpoints
/// @{
/// Asks an endpoint for its state over a fresh connection.
base::task<session::status_exchange> askStatus(platform_instance_state &State,
                                               session::endpoint_entry Entry,
                                               base::milliseconds Time);
/// Probes a primary when statements speak against it or get no answer.
void probeIfInDoubt(platform_instance_ptr State,
                    const base::endpoint_name &Name);
/// @}

/// \name What instances tell each other
/// @{
/// Connects the peers' service with the rest.
void connectPeers(platform_instance_state &State);
/// Puts the agreements on primaries into the heartbeats from now on.
void announceClaims(platform_instance_state &State);
/// Whether this instance reads the store for the others: the first by name of
/// those that are up and have had an answer of the store lately.
bool isStoreReader(const platform_instance_state &State);
/// Whether somebody who is up reads the store for this instance.
bool hasStoreReader(const platform_instance_state &State);
/// The newest row of the configuration that an instance has in force.
std::uint64_t newestConfigurationRow(const platform_instance_state &State);
/// Instances that suspect the primary of \p Service, this one included.
std::size_t countSuspects(const platform_instance_state &State,
                          std::string_view Service);
/// @}

/// \name The right to use primaries
/// @{
/// Whether this instance would have learned of a promotion by now.
bool isInContactWithFleet(platform_instance_state &State);
/// Notes the outcome of a call to the store, and logs a change.
void noteStoreResult(platform_instance_state &State, bool Answered,
                     std::string_view Reason);
std::optional<session::primary_right>
primaryLeaseFor(platform_instance_state &State, std::string_view Service);
/// The endpoint in use as the primary of \p Service; empty when there is none.
base::endpoint_name primaryOf(const platform_instance_state &State,
                              std::string_view Service);
std::optional<base::milliseconds>
primaryExpected(const platform_instance_state &State, std::string_view Service);
/// Takes in an agreement; false when it is old.
bool acceptClaim(platform_instance_state &State,
                 const session::primary_claim &Claim);
/// Whether this instance cannot work with the primary of \p Service.
bool suspects(const platform_instance_state &State, std::string_view Service);
/// @}

/// Takes in what another instance has read from the store.
void acceptSharedRead(platform_instance_state &State,
                      const wire::store_reading &Reading);
/// Reads the system's own rows and takes them in. Nothing when the store did
/// not answer.
base::task<std::optional<platform::table_rows>>
readFleet(platform_instance_state &State);

/// Removes this instance's row: it has stopped and counts no more.
base::task<void> removeInstance(platform_instance_state &State);

/// \name Customers' rates
/// @{
/// Takes an operation of the customer's rate, with tokens of another instance
/// where the own ones do not suffice.
base::task<session::admission> admitOperation(platform_instance_state &State,
                                              std::string Customer,
                                              unsigned Priority,
                                              base::microseconds Patience);
/// Starts to lend tokens.
void connectTokenTransfers(platform_instance_state &State);
/// @}

/// \name Connections to endpoints
/// @{
/// Starts to take statements of other instances and to pass on own ones.
void startForwarding(platform_instance_state &State, const std::string &Secret);
/// Works out anew who owns each endpoint's connections, and how many this
/// instance may hold.
void divideConnections(platform_instance_state &State);
/// The way to an endpoint through its owner; null when this instance is the
/// owner or the owner cannot be used now.
std::unique_ptr<session::relay_link>
forwardingLinkTo(platform_instance_state &State,
                 const session::endpoint_entry &Entry,
                 std::string_view Customer, unsigned Priority);
/// @}

/// The ports of the session core.
session::core_ports sessionCorePorts(platform_instance_state &State);

/// Pauses for \p Time, spread by a tenth either way so that instances started
/// together do not act together.
base::task<void> pauseWithJitter(platform_instance_state &State,
                                 base::milliseconds Time);

} // namespace redwinggw
