#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/session/slot_queue.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

/// Demand-based connections: which idle connection to an endpoint is closed for
/// a new one, how many set-ups run at a time, and which idle connections are
/// kept. Decisions without I/O.
///
/// It handles an endpoint that accepts fewer connections than it has customers,
/// and bursts of one of them. By last use alone, a burst closes the idle
/// connections of all others, whose next statements then each pay for a set-up,
/// which takes a slot like a statement.
namespace redwinggw::session {

enum class connection_policy {
  /// The least recently used idle connection is closed first.
  Recent,
  /// The idle connection with the least expected reuse is closed first.
  Demand,
};

/// One customer's use of the endpoint.
struct customer_use {
  /// Statements so far, each weighted by exp(-age / RateTime), at UpdatedAt.
  double Weighted = 0;
  base::instant UpdatedAt;
  /// Smoothed time for which a statement or transaction holds a connection.
  base::microseconds Hold{20'000};
  /// Connections that are set up or checked out, and idle ones.
  std::size_t InUse = 0;
  std::size_t Idle = 0;
  /// Statements that wait for a connection.
  std::size_t Waiting = 0;
};

/// Not thread safe.
struct connection_plan {
  std::map<base::customer_name, customer_use, std::less<>> Customers;
  /// Set-ups in progress, and their smoothed time.
  std::size_t SetUps = 0;
  base::microseconds SetUpTime{15'000};
};

/// What the plan is decided for: the pool's state and its limits.
struct connection_room {
  std::size_t Open = 0;
  /// Connections that may be open before others are closed for new ones.
  std::size_t Limit = 0;
  /// Slots of the endpoint; 0: not known.
  unsigned Slots = 0;
  /// A connection may be opened below Limit, or above it, as far as the
  /// endpoint has accepted connections recently.
  bool MayOpen = false;
  /// The endpoint refused a connection a moment ago.
  bool Refused = false;
};

enum class connection_step {
  Open,
  /// Close an idle connection of Victim, then open one.
  Replace,
  /// Wait for a connection of the same customer, or for the end of a set-up.
  Wait,
};

struct connection_decision {
  connection_step Step = connection_step::Wait;
  base::customer_name Victim;
};

/// Records that a statement of \p Customer arrived.
void noteDemand(connection_plan &Plan, std::string_view Customer,
                base::instant Now);

/// Records how long a connection was checked out.
void noteHeld(connection_plan &Plan, std::string_view Customer,
              base::microseconds Held);

/// Records the end of a set-up. Precondition: one is in progress.
void noteSetUp(connection_plan &Plan, base::microseconds Took, bool Succeeded);

/// Smoothed rate of the customer's statements, per second.
double rateOf(const customer_use &Use, base::instant Now);

/// Whether the customer is expected to use a connection soon again.
bool hasDemand(const customer_use &Use, base::instant Now);

/// How often per second the last of the customer's idle connections is expected
/// to be used, where the most recently used one is always taken first: the rate
/// of the statements that find the others in use (Erlang's loss formula).
double expectedReuse(const customer_use &Use, base::instant Now);

/// How a customer without an idle connection gets one. Precondition: it has no
/// idle connection.
connection_decision decideConnection(const connection_plan &Plan,
                                     const connection_room &Room,
                                     std::string_view Customer,
                                     slot_level Level, base::instant Now);

/// For how long the customer's last idle connection is kept although more are
/// open than are kept otherwise. Zero for a customer without demand.
base::microseconds keptFor(const customer_use &Use, base::instant Now);

/// Expected time until one more waiting statement of \p Customer gets a
/// connection.
base::microseconds expectedConnection(const connection_plan &Plan,
                                      std::string_view Customer);

/// Drops customers that have no connection, wait for none and have no demand.
void forgetUnused(connection_plan &Plan, base::instant Now);

} // namespace redwinggw::session
