#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/config_freshness.hpp"
#include "redwinggw/control/membership.hpp"
#include "redwinggw/control/peer_traffic.hpp"
#include "redwinggw/storage/store.hpp"
#include "redwinggw/wire/message.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// I/O for membership and configuration freshness: the UDP socket, the timers,
/// and the polling of the platform's instance list.
namespace redwinggw::control {

/// A report about a group, with its sender and the earliest time when it can
/// have been made.
struct received_group_report {
  base::instance_name From;
  base::zone_name Zone;
  wire::group_report Report;
  base::instant At;
};

/// Must be used from one thread, and outlive the executor's run.
class peer_service {
public:
  using report_handler = std::function<void(const member &)>;
  using share_handler =
      std::function<void(const wire::datagram &, const wire::share_message &)>;
  /// Hybrid logical clock: Stamp returns the value for the next datagram,
  /// Observe receives the value of each datagram that arrives.
  struct clock_port {
    std::function<wire::clock_value()> Stamp;
    std::function<void(wire::clock_value)> Observe;
  };

  /// \p Store must outlive the service.
  peer_service(boost::asio::any_io_executor Executor, peer_identity Identity,
               http::address Listen, std::string FleetKey,
               storage::store &Store, membership_limits Limits = {},
               config_freshness_limits FreshnessLimits = {});
  peer_service(const peer_service &) = delete;
  peer_service &operator=(const peer_service &) = delete;
  ~peer_service();

  /// Opens the socket and starts the heartbeats. Fails with errc::BadSettings
  /// when the address cannot be bound.
  base::result<http::address> start();

  /// Announces to the others that this instance is leaving, and marks all later
  /// heartbeats accordingly.
  void drain();

  /// Stops the heartbeats and closes the socket, so that the executor's run
  /// can return. Idempotent.
  void stop();

  /// The hybrid logical clock for datagrams; without one they carry zeros.
  void setClock(clock_port Clock);

  /// The capacity of this instance's link; 0: unknown, and no limit on what is
  /// sent to other instances.
  void setLinkMbps(double Mbps);

  /// Applies an instance list that the caller has read. Only for a store
  /// without a list that this service can poll.
  void setList(const std::vector<storage::listed_instance> &Listed);

  /// The configuration version in force here.
  void setVersion(base::config_version Version);

  /// An own read of the store that showed \p Head; see onStoreRead.
  void noteStoreRead(base::instant Sent, base::instant Answered,
                     base::config_version Head);

  /// Any other answer of the store; see onStoreContact.
  void noteStoreContact();

  /// This instance's reports about groups. At most MaxGroupReports are sent,
  /// suspect ones first.
  static constexpr std::size_t MaxGroupReports = 16;
  void setGroupReports(std::vector<wire::group_report> Reports);

  const membership &view() const;

  /// What other instances last reported about \p Group.
  std::vector<received_group_report> reportsOf(std::string_view Group) const;

  /// Called after each heartbeat that had an effect.
  void onReport(report_handler Handler);

  /// Sends to the instance called \p Instance; false when it is not known.
  /// The datagram may be lost in transit.
  bool send(std::string_view Instance, wire::share_message Message);
  void onShareMessage(share_handler Handler);

  /// \p Fill updates this instance's report right before heartbeats are sent,
  /// once for all heartbeats of one tick. Answers between two ticks carry the
  /// report as it was last filled in.
  void setHeartbeatFiller(std::function<void(wire::peer_report &)> Fill);

  /// Sends the next heartbeats at once, when they carry a change that others
  /// wait for.
  void sendHeartbeatsNow();

  /// Sends what this instance has read from the store to all live members,
  /// through relays if the fleet uses them.
  void sendSharedRead(const wire::shared_store_read &SharedRead);
  /// Sends it to the members that this instance relays for only.
  void relaySharedRead(const wire::shared_store_read &SharedRead);
  /// Records that the rows of \p Instances were written to the store.
  void markListed(const std::vector<base::instance_name> &Instances);
  /// Sends it to one member, which does not relay it.
  void sendSharedReadTo(std::string_view Instance,
                        wire::shared_store_read SharedRead);
  using shared_read_handler =
      std::function<void(const member &, const wire::shared_store_read &)>;
  /// Called for each shared read of another instance.
  void onSharedRead(shared_read_handler Handler);

  /// This instance's reports about groups, without a limit on their number.
  /// Call it together with setVersion: an instance that receives a version must
  /// also receive what the version consists of.
  void setAllGroupReports(std::vector<wire::group_report> Reports);

  /// What this instance relays about others in addition to their ages; see
  /// membership.
  void setDigests(wire::fleet_digest Zone, wire::fleet_digest Fleet);
  /// Whether the digests that this instance sends vouch for other instances.
  void setVouchesForOthers(bool Allowed);

  /// Called when a datagram with a valid signature arrives from an instance
  /// that is not listed: the list should be read again.
  void onUnlistedInstance(std::function<void()> Handler);

  bool inContactWithMajority(base::instant Now) const;
  bool majorityKnows(base::config_version Version) const;

  /// Whether this instance may serve with its configuration; see
  /// config_freshness.hpp.
  config_freshness configFreshness(base::instant Now);

  const peer_traffic &traffic() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace redwinggw::control
