#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/config_freshness.hpp"
#include "redwinggw/control/membership.hpp"
#include "redwinggw/storage/store.hpp"
#include "redwinggw/wire/message.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// The shell around membership and currency: the UDP socket, the clock, and
/// the polling of the platform's list.
namespace redwinggw::control {

/// A report on a group, with who made it and the earliest time when it can
/// have been made.
struct received_group_report {
  base::instance_name From;
  base::zone_name Zone;
  wire::group_report Report;
  base::instant At;
};

/// Traffic since the start.
struct peer_traffic {
  std::uint64_t SentDatagrams = 0;
  std::uint64_t SentBytes = 0;
  std::uint64_t ReceivedDatagrams = 0;
  std::uint64_t ReceivedBytes = 0;
};

/// Used from one thread. Must outlive the executor's run.
class peer_service {
public:
  using report_handler = std::function<void(const member &)>;
  using share_handler =
      std::function<void(const wire::datagram &, const wire::share_message &)>;
  /// Gives the value for the next datagram; takes in the one of a received.
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

  /// Tells the others that this instance leaves, and marks its heartbeats.
  void drain();

  /// Ends the heartbeats and closes the socket, so that the executor's run
  /// can return. May be repeated.
  void stop();

  /// The hybrid logical clock to put into datagrams; zeros without one.
  void setClock(clock_port Clock);

  /// Takes in a list of all instances that the owner has read. Only where the
  /// store has no list of its own to poll.
  void setList(const std::vector<storage::listed_instance> &Listed);

  /// The configuration version in force here.
  void setVersion(base::config_version Version);

  /// An own read of the store that showed \p Head; see onStoreRead.
  void noteStoreRead(base::instant Sent, base::instant Answered,
                     base::config_version Head);

  /// Any other answer of the store; see onStoreContact.
  void noteStoreContact();

  /// The own reports on groups. At most MaxGroupReports travel, suspect ones
  /// first.
  static constexpr std::size_t MaxGroupReports = 16;
  void setGroupReports(std::vector<wire::group_report> Reports);

  const membership &view() const;

  /// What heard instances say about \p Group.
  std::vector<received_group_report> reportsOf(std::string_view Group) const;

  /// Called after each heartbeat that had an effect.
  void onReport(report_handler Handler);

  /// Sends to the instance called \p Instance; false when it is not known.
  /// A datagram may be lost on the way.
  bool send(std::string_view Instance, wire::share_message Message);
  void onShareMessage(share_handler Handler);

  /// \p Fill completes the own heartbeats right before they leave, once for all
  /// of a time. Answers between two of them carry what it left.
  void setHeartbeatFiller(std::function<void(wire::peer_report &)> Fill);

  /// Sends the next heartbeat at once: it carries news that others wait for.
  void sendHeartbeatsNow();

  /// Sends a reading of the store to all live members, through relays where
  /// there are any, and takes in theirs.
  void sendSharedRead(const wire::shared_store_read &SharedRead);
  using shared_read_handler =
      std::function<void(const member &, const wire::shared_store_read &)>;
  void onSharedRead(shared_read_handler Handler);

  /// Reports on groups, of any number. Call it with setVersion: whoever hears
  /// of a version must hear of what it is.
  void setAllGroupReports(std::vector<wire::group_report> Reports);

  /// What this instance passes on of others beside their ages; see
  /// membership.
  void setDigests(wire::fleet_digest Zone, wire::fleet_digest Fleet);
  /// Whether anything of others is passed on.
  void setRelaysReports(bool Allowed);

  /// Called when a properly signed datagram came from an instance that is not
  /// listed: the list should be read again.
  void onUnlistedInstance(std::function<void()> Handler);

  bool inContactWithMajority(base::instant Now) const;
  bool majorityKnows(base::config_version Version) const;

  /// Whether this instance may serve now.
  config_freshness configFreshness(base::instant Now);

  const peer_traffic &traffic() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace redwinggw::control
