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

/// Watches the database groups, confirms writes and reads, and orders
/// failovers; docs/FAILOVER.md states the protocol.
namespace redwinggw::data {

/// Times of the watcher. Defaults suit zones a millisecond apart.
struct group_options {
  base::milliseconds PollInterval{100};
  /// A status question without an answer for so long has failed.
  base::milliseconds PollTimeout{250};
  /// Longest wait at a replica for a position.
  base::milliseconds ReplicaWaitTimeout{250};
  /// Pause before a question that the last answer makes look hopeless.
  base::milliseconds QueryDelay{10};
  /// Orders start after a random part of this, so that instances do not race.
  base::milliseconds Jitter{100};
  detector_parameters Detector;
  failover_parameters Failover;
};

/// What stands behind the service; shared with its coroutines.
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

  /// Takes over the groups and members of \p Configuration. What is known of
  /// members that stay is kept.
  void apply(const control::configuration &Configuration);

  /// Begins to poll the members. Called once.
  void start();

  /// Orders no more failovers. Polls and confirmations go on for the requests
  /// that still run, until the executor is stopped.
  void drain();

  /// What is known of \p Group; an empty view when there is no such group.
  /// The reference is valid until the next apply.
  const group_view &view(std::string_view Group) const;

  /// Waits until a majority of \p Group, its primary included, holds
  /// \p Position in \p Term; see confirm_kind.
  ///
  /// Precondition: the primary answered in \p Term, at \p Position or later.
  /// For reads the question to the primary may run at the same time, as long
  /// as both begin after the request arrived.
  ///
  /// Fails with errc::TermReplaced when a member is in a higher term, and with
  /// errc::DeadlinePassed. After either a write may still survive: its caller
  /// is told errc::OutcomeUnknown, never "not run".
  base::task<base::result<void>>
  confirm(base::group_name Group, base::term_number Term,
          base::log_position Position, base::instant Deadline,
          confirm_kind Kind = confirm_kind::ReplicatedAndCurrent);

  /// Waits until the group has a primary that is not suspected here. Fails
  /// with errc::NoPrimary at \p Deadline.
  base::task<base::result<void>> awaitPrimary(base::group_name Group,
                                              base::instant Deadline);

  /// Feeds the detector: a request to \p Endpoint that was sent at \p At was
  /// answered (also by a refusal) or not.
  void noteTraffic(std::string_view Group, std::string_view Endpoint,
                   bool Answered, base::instant At);

  /// Feeds the view with a state that came with an answer to a request sent
  /// at \p AskedAt.
  void noteState(std::string_view Group, const endpoint_state &State,
                 base::instant AskedAt);

  /// Calls \p Hook after a group's term or primary changed.
  void onChange(std::function<void(const base::group_name &)> Hook);

  /// Sets the port to the other instances: what they last reported. Without
  /// it the instance decides alone.
  void setPeers(std::function<std::vector<peer_report>()> Reports);

  /// What this instance reports to the others.
  std::vector<suspicion> suspicions() const;

private:
  std::shared_ptr<group_service_state> State;
};

} // namespace redwinggw::data
