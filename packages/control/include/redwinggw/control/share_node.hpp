#pragma once

#include "redwinggw/control/configuration.hpp"
#include "redwinggw/control/membership.hpp"
#include "redwinggw/control/share_allocator.hpp"
#include "redwinggw/control/share_consumer.hpp"
#include "redwinggw/control/share_lease.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// All decisions on shares in one instance ("node"): consumer, allocator and
/// leases together. Decisions without I/O, which is in share_service.hpp.
namespace redwinggw::control {

struct share_settings {
  std::uint16_t Partitions = 16;
  share_limits Shares;
  consumer_limits Consumer;
  lease_limits Lease;
  base::microseconds ReadEvery{500'000};
  base::microseconds LeaseEvery{50'000};
};

struct share_send {
  base::instance_name To;
  wire::share_message Message;
};

/// What the caller has to do next.
struct share_actions {
  std::vector<share_send> Sends;
  std::vector<share_verdict> Verdicts;
  /// Read all rows `share/` and pass them to onRows.
  bool Read = false;
  /// Commit this; then call onCommitAnswer.
  std::optional<storage::commit_request> Commit;
};

/// Not thread safe.
struct share_node {
  share_settings Settings;
  base::instance_name Self;
  std::uint64_t Incarnation = 0;
  bool Draining = false;
  share_plans Plans;
  share_consumer Consumer;
  std::vector<share_lease> Leases;
  share_allocator Allocator;
  /// Which instance was named as the allocator of a partition, and until when
  /// that is believed.
  struct allocator_hint {
    base::instance_name Allocator;
    base::instant Until;
  };
  std::map<std::uint16_t, allocator_hint> Hints;
  /// Partitions in the commit in flight, in its order.
  std::vector<std::uint16_t> Committing;
  std::uint64_t LastId = 0;
  bool Reading = false;
  base::instant NextReadAt;
  base::instant NextLeaseAt;
};

share_node makeShareNode(const base::instance_name &Self,
                         std::uint64_t Incarnation, share_settings Settings);

/// Applies the rates and bursts in force.
void applyPlans(share_node &Node, const std::vector<customer> &Customers,
                base::instant Now);

/// Steps the leases, requests tokens ahead, and refuses operations as
/// dueVerdicts does. Call every few milliseconds while operations wait, else
/// every 50 ms.
share_actions onShareTick(share_node &Node, const membership &Membership,
                          base::instant Now);

/// Only sends the token requests that are due; call after waitForToken.
share_actions requestTokens(share_node &Node, const membership &Membership,
                            base::instant Now);

/// Processes a share message from \p From.
share_actions onShareMessage(share_node &Node, const membership &Membership,
                             const base::instance_name &From,
                             const wire::share_message &Message,
                             base::instant Now);

/// Processes the rows read; nothing when the store did not answer.
void onRows(share_node &Node,
            const std::optional<std::vector<storage::row>> &Rows,
            base::instant Now);

/// Processes the versions that a commit returned; nothing when it failed.
void onCommitAnswer(share_node &Node,
                    const std::optional<std::vector<std::uint64_t>> &Versions,
                    base::instant Now);

} // namespace redwinggw::control
