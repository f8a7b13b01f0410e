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

/// Rate and burst of each customer over the whole fleet: the shell around
/// share_consumer.hpp, share_allocator.hpp and share_lease.hpp.
namespace redwinggw::control {

/// How the rate is shared out.
enum class share_policy {
  Shared, ///< expiring shares, moved to where the demand is
  Static, ///< baseline: each of n listed instances has an nth
};

struct share_options {
  share_policy Policy = share_policy::Shared;
  /// Customers are spread over so many leases. The same in all instances.
  std::uint16_t Partitions = 16;
};

/// For the status page and the metrics.
struct share_status {
  /// Tokens given to holders, spent here, requests refused here.
  double Allocated = 0;
  std::uint64_t Spent = 0;
  std::uint64_t Refused = 0;
  /// Refused although the giver never answered: may have been inside the rate.
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

  /// Begins to hold leases and to give. Precondition: Peers was started.
  void start();

  /// Gives the leases back. Requests are still admitted until stop.
  void drain();
  /// Ends all work; requests that wait are refused with errc::Draining.
  void stop();

  /// The rates and bursts in force.
  void apply(const configuration &Configuration);

  /// Takes one token for \p Customer; waits for it until \p Deadline. Fails
  /// with errc::OverRate and RetryAfter when the giver says that it will not
  /// be there in time, or none came; errc::NotFound for an unknown customer.
  base::task<base::result<void>> admit(base::customer_name Customer,
                                       base::instant Deadline);

  /// Takes a token that is here already; never waits.
  bool tryTake(std::string_view Customer);

  share_status status() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace redwinggw::control
