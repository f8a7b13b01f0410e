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
#include "redwinggw/session/holder_record.hpp"
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

/// State and services of one instance that runs on the users' platform. The
/// functions that work on them are declared by job in the headers beside this
/// one. Used from one thread.
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
  /// The claims up to this epoch are known here and have to be acknowledged.
  std::uint64_t EpochToAcknowledge = 0;
  session::handover_limits Handover;
  /// By service, and the services whose record is being changed.
  std::map<base::service_name, session::holder_record, std::less<>>
      HolderRecords;
  std::set<base::service_name> HolderUpdates;
  /// By service and recorded name, how many inquiries in a row were unanswered.
  std::map<base::service_name, std::map<base::endpoint_name, unsigned>>
      SilentHolders;
  /// Services whose primary this instance is replacing.
  std::set<base::service_name> Moving;
  /// Primaries that are missing from the endpoint list, and since when.
  std::map<base::endpoint_name, base::instant> MissingPrimaries;
  /// The primaries of services without a claim, as they were last listed.
  std::map<base::service_name, base::endpoint_name, std::less<>>
      LastListedPrimaries;
  /// Services with endpoints of which no primary is known, and since when.
  std::map<base::service_name, base::instant, std::less<>> PrimaryUnknownSince;
  /// Silence of the orderer of each service's newest claim.
  std::map<base::service_name, std::optional<session::orderer_silence>>
      OrdererSilence;
  /// Services with a promotion order that the platform has not answered yet.
  std::set<base::service_name> PromotionsInFlight;
  /// \name Who orders promotions
  /// Each claim changes the orderer's row, so that claims of all services are
  /// made one after the other.
  /// @{
  /// The version of the orderer's row as this instance last wrote it.
  std::uint64_t OrdererRowVersion = 0;
  /// The newest epoch up to which this instance is known to be the orderer, and
  /// the newest one of which another instance is known to have been.
  std::uint64_t OrdererUpTo = 0;
  std::uint64_t OthersClaimedUpTo = 0;
  /// The fencing token of this instance's last claim.
  std::uint64_t OrdererToken = 0;
  /// When another instance was last able to order a promotion, of any service.
  base::instant OthersOrderedAt{-std::chrono::hours(1)};
  /// This instance has become the orderer, and others that may order promotions
  /// have not acknowledged it yet.
  bool TurnPending = false;
  /// By service, until when an order that was given up may arrive.
  std::map<base::service_name, base::instant> OrdersArriveUntil;
  /// Services for which others may order until they have acknowledged a claim
  /// of this instance.
  std::set<base::service_name> OrdersPending;
  /// @}
  /// Services of which another endpoint leads a later term than the primary.
  std::set<base::service_name> Superseded;
  /// When the last promotion order was answered or timed out.
  base::instant LastPromotionEndedAt = base::instant::min();
  /// Former primaries that are being told to follow.
  std::set<base::endpoint_name> Demoting;
  /// Endpoints with a status probe under way.
  std::set<base::endpoint_name> Probing;
  /// Versions of the instances' rows, by which the rows of dead ones are
  /// removed.
  std::map<base::instance_name, std::uint64_t> InstanceRowVersions;
  /// The newest endpoint list, read from the store or received from the store
  /// reader, and its digest.
  std::vector<session::endpoint_entry> EndpointList;
  std::string EndpointListDigest;
  /// By its key, the version of each row that named no endpoint.
  std::map<std::string, std::uint64_t> RefusedEntries;
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
  /// How many other instances the rows of the fleet held at the first read, and
  /// the store's version at the last one.
  std::optional<std::size_t> OtherInstances;
  std::uint64_t FleetVersion = 0;
  /// Since when this instance waits to see its row, which it has written or
  /// left to the relays of its zone.
  std::optional<base::instant> RegistrationPendingSince;
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

} // namespace redwinggw
