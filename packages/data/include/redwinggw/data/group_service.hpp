#pragma once

#include "redwinggw/base/error.hpp"
#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/task.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/configuration.hpp"
#include "redwinggw/data/confirm.hpp"
#include "redwinggw/data/detector.hpp"
#include "redwinggw/data/failover.hpp"
#include "redwinggw/data/group_view.hpp"
#include "redwinggw/storage/store.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

/// Monitors the replica groups, confirms writes and reads, and orders
/// failovers; docs/FAILOVER.md describes the protocol.
namespace redwinggw::data {

/// Timing of the monitoring. The defaults suit zones a millisecond apart.
struct group_options {
  base::milliseconds PollInterval{100};
  /// Timeout of a status query, and of seal, promote and follow requests.
  base::milliseconds PollTimeout{250};
  /// Longest time that a query waits at a replica for a position.
  base::milliseconds ReplicaWaitTimeout{250};
  /// Delay before a query to a replica whose last answer confirmed nothing.
  base::milliseconds QueryDelay{10};
  /// An order starts after a random delay below this, so that instances do not
  /// race for the claim.
  base::milliseconds Jitter{100};
  detector_parameters Detector;
  failover_parameters Failover;
};

/// Internal state of the service, shared with its coroutines.
struct group_service_state;

/// The service "groups". Used from one thread; it must outlive the work of
/// its executor.
class group_service {
public:
  /// \p Store must outlive the service.
  group_service(boost::asio::any_io_executor Executor,
                base::instance_name Instance, storage::store &Store,
                group_options Options = {});
  group_service(const group_service &) = delete;
  group_service &operator=(const group_service &) = delete;
  ~group_service();

  /// Replaces the groups and members by those of \p Configuration. The state of
  /// members that stay is kept.
  void apply(const control::configuration &Configuration);

  /// Starts polling the members. Call once.
  void start();

  /// Stops ordering failovers. Polls and confirmations continue for requests
  /// that still run, until the executor stops.
  void drain();

  /// The view of \p Group; an empty view when there is no such group. The
  /// reference is valid until the next apply.
  const group_view &view(std::string_view Group) const;

  /// Waits until a majority of \p Group, including its primary, holds
  /// \p Position in \p Term; see confirm_kind.
  ///
  /// Precondition: the primary answered in \p Term, at \p Position or later.
  /// For reads the request to the primary may run concurrently, as long as both
  /// start after the request arrived.
  ///
  /// Fails with errc::TermReplaced when a member is in a higher term, and with
  /// errc::DeadlinePassed. In both cases a write may still survive: its caller
  /// gets errc::OutcomeUnknown, never "not run".
  base::task<base::result<void>>
  confirm(base::group_name Group, base::term_number Term,
          base::log_position Position, base::instant Deadline,
          confirm_kind Kind = confirm_kind::ReplicatedAndCurrent);

  /// Waits until the group has a primary that this instance does not suspect.
  /// Fails with errc::NoPrimary at \p Deadline.
  base::task<base::result<void>> awaitPrimary(base::group_name Group,
                                              base::instant Deadline);

  /// Passes the result of a request to the failure detector: a request to
  /// \p Endpoint sent at \p At was answered (a refusal counts as an answer)
  /// or not.
  void noteTraffic(std::string_view Group, std::string_view Endpoint,
                   bool Answered, base::instant At);

  /// Updates the view with a state that came with the answer to a request sent
  /// at \p AskedAt.
  void noteState(std::string_view Group, const endpoint_state &State,
                 base::instant AskedAt);

  /// Calls \p Hook after a group's term or primary changed.
  void onChange(std::function<void(const base::group_name &)> Hook);

  /// Sets the source of the other instances' latest reports. Without it this
  /// instance decides alone.
  void setPeers(std::function<std::vector<peer_report>()> Reports);

  /// The groups that this instance suspects, as reported to the others.
  std::vector<suspicion> suspicions() const;

private:
  std::shared_ptr<group_service_state> State;
};

} // namespace redwinggw::data
