#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/configuration.hpp"
#include "redwinggw/control/peer_service.hpp"
#include "redwinggw/storage/store.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <memory>
#include <string_view>

/// Enforces the rate and burst of each customer over the whole fleet: network,
/// store and timers around the decisions of share_node.hpp.
///
/// One of two ways to enforce rates. This one is used with the setting
/// platform.kind = own; a share is a grant of tokens that expire, by the holder
/// of a lease. With platform.kind = native, demand_shares.hpp is used, where a
/// share is a fraction of the rate.
namespace redwinggw::control {

/// How a customer's rate is divided among the instances.
enum class share_policy {
  Shared, ///< expiring grants, allocated where the demand is
  Static, ///< baseline: each of n listed instances has an nth
};

struct share_options {
  share_policy Policy = share_policy::Shared;
  /// The number of leases over which customers are spread. The same in all
  /// instances.
  std::uint16_t Partitions = 16;
};

/// For the status page and the metrics.
struct share_status {
  /// Tokens allocated to consumers, tokens spent here, and requests refused
  /// here.
  double Allocated = 0;
  std::uint64_t Spent = 0;
  std::uint64_t Refused = 0;
  /// Refused although the allocator never answered: may have been within the
  /// rate.
  std::uint64_t RefusedUnanswered = 0;
  std::uint64_t Waiting = 0;
  /// Partitions whose lease is held here.
  std::uint16_t Leases = 0;
};

/// Used from one thread.
class share_service {
public:
  /// \p Peers and \p Store must outlive the service.
  share_service(boost::asio::any_io_executor Executor, peer_service &Peers,
                storage::store &Store, share_options Options = {});
  share_service(const share_service &) = delete;
  share_service &operator=(const share_service &) = delete;
  ~share_service();

  /// Starts to acquire leases and to allocate. Precondition: Peers was started.
  void start();

  /// Releases the leases. Requests are still admitted until stop.
  void drain();
  /// Ends all work; waiting requests fail with errc::Draining.
  void stop();

  /// Applies the rates and bursts in force.
  void apply(const configuration &Configuration);

  /// Takes one token for \p Customer and waits for it until \p Deadline. Fails
  /// with errc::OverRate and RetryAfter when the allocator says that no token
  /// will be available in time, or none came; with errc::NotFound for an
  /// unknown customer.
  base::task<base::result<void>> admit(base::customer_name Customer,
                                       base::instant Deadline);

  /// Takes a token that is already held here; never waits.
  bool tryTake(std::string_view Customer);

  share_status status() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace redwinggw::control
