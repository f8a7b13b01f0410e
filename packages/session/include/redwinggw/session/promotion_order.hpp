#pragma once

#include "redwinggw/base/enum_table.hpp"
#include "redwinggw/base/ids.hpp"
#include "redwinggw/session/promotion_evidence.hpp"

#include <optional>
#include <string_view>
#include <vector>

/// Decides which promotion the orderer of a move requests from the platform.
///
/// An order may take effect after its sender has given it up or has been
/// replaced: its bytes wait in a kernel, on the way or at the platform, and
/// there is no way to take it back. It is harmless while its target is the
/// primary, since an order for the present primary changes nothing. So the
/// target of a move is recorded in the claim's row before the first order is
/// sent, by a commit that fails if another instance has claimed meanwhile, and
/// whoever resumes the move orders the same target. It is replaced only when it
/// does not answer or cannot be promoted, and when every order for it has been
/// answered or is older than the time in which orders arrive.
///
/// Decisions without I/O.
namespace redwinggw::session {

enum class order_step {
  /// Ask the endpoints again.
  Wait,
  /// The endpoint has been promoted since the last agreement: agree on it.
  Adopt,
  /// The old primary leads, and no order can replace it: agree on it.
  Keep,
  /// Record the endpoint as the target of the move, and order its promotion.
  Order,
};

/// The name of \p Step in logs. Thread safe.
std::string_view orderStepName(order_step Step);

struct order_view {
  /// Every endpoint that may hold acknowledged commits, as far as it answers.
  std::vector<log_holder> Holders;
  promotion_rule Rule;
  /// The primary that is being replaced.
  base::endpoint_name Primary;
  /// The recorded target; empty while no promotion was ordered in this move,
  /// nothing if that is not known.
  std::optional<base::endpoint_name> Target;
  /// No order that was sent for Target, or in earlier moves for Primary, can
  /// take effect any more.
  bool OrdersSettled = false;
  /// Replicas have had the time to receive what the old primary has.
  bool MayKeepPrimary = false;
};

struct order_decision {
  order_step Step = order_step::Wait;
  base::endpoint_name Endpoint;
  /// What is known of the terms before the order.
  promotion_start Start;
};

/// What to do next. Precondition: no instance uses the old primary. Thread
/// safe.
order_decision decideOrder(const order_view &View);

} // namespace redwinggw::session
