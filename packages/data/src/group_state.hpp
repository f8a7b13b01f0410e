#pragma once

#include "redwinggw/data/failover.hpp"
#include "redwinggw/data/group_service.hpp"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

/// What stands behind group_service, shared by its source files.
namespace redwinggw::data {

/// Wakes one waiting coroutine.
struct pending_wait {
  explicit pending_wait(const boost::asio::any_io_executor &Executor)
      : Timer(Executor) {}
  boost::asio::steady_timer Timer;
  std::optional<base::result<void>> Outcome;
};

/// One group as its watcher keeps it.
struct watched_group {
  group_view View;
  confirm_state Confirm;
  detector_state Detector;
  row_watch Watch;
  /// An order of this instance runs or is being prepared.
  bool OrderActive = false;
  base::instant ReconciledAt;
  /// Last line about a store that is down.
  base::instant StoreLoggedAt;
  /// Requests that wait for a confirmation, by the id of their waiter.
  std::map<std::uint64_t, std::shared_ptr<pending_wait>> ConfirmationWaits;
  /// Requests that wait for a primary.
  std::vector<std::shared_ptr<pending_wait>> PrimaryWaits;
  /// Connections for questions of the coalescer, while they are idle.
  std::map<std::pair<base::endpoint_name, confirm_query_kind>, http::client>
      QueryClients;
  /// Members that a coroutine polls.
  std::set<std::pair<base::endpoint_name, http::address>> Polled;
};

struct group_service_state {
  boost::asio::any_io_executor Executor;
  base::instance_name Instance;
  storage::store *Store = nullptr;
  group_options Options;
  std::map<base::group_name, watched_group, std::less<>> Groups;
  std::vector<std::function<void(const base::group_name &)>> Hooks;
  std::function<std::vector<peer_report>()> Peers;
  /// Source of the jitter.
  std::mt19937 Random{std::random_device{}()};
  bool Started = false;
  bool Draining = false;
};

/// Coroutines hold the state by this, so that it outlives the service.
using state_pointer = std::shared_ptr<group_service_state>;

/// The group called \p Name, null when the configuration has none.
watched_group *findGroup(group_service_state &State, std::string_view Name);

/// Whether the group has a primary that is not suspected.
bool hasPrimary(const group_service_state &State, const watched_group &Group);

/// Takes in a state that a member told, and acts on what changed.
void applyState(const state_pointer &State, const base::group_name &Group,
                const endpoint_state &Reported,
                std::optional<confirm_query_kind> QueryKind,
                base::instant AskedAt);

/// Ends the waits and sends the questions that \p Actions name.
void perform(const state_pointer &State, const base::group_name &Group,
             confirm_actions Actions);

/// Sends \p Request on \p Client, over a new connection when it has none.
base::task<base::result<endpoint_state>>
queryStatus(state_pointer State, http::client &Client, http::address Address,
            status_request Request, base::instant Deadline);

/// Polls one member until it leaves the configuration.
base::task<void> pollMember(state_pointer State, base::group_name Group,
                            control::endpoint Endpoint);

/// Looks after the failovers of all groups until the service drains.
base::task<void> superviseGroups(state_pointer State);

/// Pauses the calling coroutine.
base::task<void> pauseFor(boost::asio::any_io_executor Executor,
                          base::microseconds Duration);

/// Wakes \p Waiting with \p Outcome.
void wake(pending_wait &Waiting, base::result<void> Outcome);

/// Waits for wake; empty when \p Deadline passed first.
base::task<std::optional<base::result<void>>>
waitFor(std::shared_ptr<pending_wait> Waiting, base::instant Deadline);

} // namespace redwinggw::data
