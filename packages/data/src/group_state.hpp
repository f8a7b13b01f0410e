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

/// Internal state of group_service, shared by its source files.
namespace redwinggw::data {

/// A coroutine that waits for an outcome.
struct pending_wait {
  explicit pending_wait(const boost::asio::any_io_executor &Executor)
      : Timer(Executor) {}
  boost::asio::steady_timer Timer;
  std::optional<base::result<void>> Outcome;
};

/// State of one monitored group.
struct watched_group {
  group_view View;
  confirm_state Confirm;
  detector_state Detector;
  row_watch Watch;
  /// This instance runs or prepares a failover order.
  bool OrderActive = false;
  base::instant ReconciledAt;
  /// When an unavailable store was last logged.
  base::instant StoreLoggedAt;
  /// Requests that wait for a confirmation, by the id of their waiter in
  /// Confirm.
  std::map<std::uint64_t, std::shared_ptr<pending_wait>> ConfirmationWaits;
  /// Requests that wait for a primary.
  std::vector<std::shared_ptr<pending_wait>> PrimaryWaits;
  /// Idle connections for confirmation queries.
  std::map<std::pair<base::endpoint_name, confirm_query_kind>, http::client>
      QueryClients;
  /// Members that have a polling coroutine.
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
  /// Random source of the jitter.
  std::mt19937 Random{std::random_device{}()};
  bool Started = false;
  bool Draining = false;
};

/// Keeps the state alive in coroutines that outlive the service.
using state_pointer = std::shared_ptr<group_service_state>;

/// The group named \p Name, null when the configuration has none.
watched_group *findGroup(group_service_state &State, std::string_view Name);

/// Whether the group has a primary that this instance does not suspect.
bool hasPrimary(const group_service_state &State, const watched_group &Group);

/// Updates the group with a state that a member reported, then wakes waiting
/// requests and calls the change hooks as needed.
void applyState(const state_pointer &State, const base::group_name &Group,
                const endpoint_state &Reported,
                std::optional<confirm_query_kind> QueryKind,
                base::instant AskedAt);

/// Wakes the finished waiters and sends the queries in \p Actions.
void perform(const state_pointer &State, const base::group_name &Group,
             confirm_actions Actions);

/// Sends \p Request on \p Client; connects first if necessary.
base::task<base::result<endpoint_state>>
queryStatus(state_pointer State, http::client &Client, http::address Address,
            status_request Request, base::instant Deadline);

/// Polls one member until it is removed from the configuration.
base::task<void> pollMember(state_pointer State, base::group_name Group,
                            control::endpoint Endpoint);

/// Supervises the failovers of all groups until the service drains.
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
