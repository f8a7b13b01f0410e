#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/wire/message.hpp"

#include <cstddef>
#include <deque>
#include <optional>

/// Limits the traffic between instances to a part of the link. Decisions
/// without I/O.
///
/// Heartbeats and messages about tokens are never delayed: an instance whose
/// heartbeats wait looks dead to the others, and a token that arrives late is
/// of no use. Digests, changes and requests of lists are not delayed either:
/// they are small, and without them the receiver needs a list. All of these
/// count, however, and lists wait until there is room, for a second at most:
/// heartbeats alone may exceed the limit all the time.
namespace redwinggw::control {

/// A shared read that waits to be sent.
struct waiting_read {
  base::instance_name To;
  wire::shared_store_read Read;
  base::instant EnqueuedAt;
};

/// Not thread safe.
struct traffic_limit {
  /// 0: no limit.
  double BytesPerSecond = 0;
  /// What may be sent at FilledAt; below 0 while more was sent than the limit
  /// allows.
  double Room = 0;
  std::optional<base::instant> FilledAt;
  std::deque<waiting_read> Waiting;
};

/// The part of a link of \p Mbps megabits per second that is used for traffic
/// between instances, in bytes per second; 0 for a link that is not known.
double controlBytesPerSecond(double Mbps);

/// Records that \p Bytes are sent at \p Now.
void chargeTraffic(traffic_limit &Limit, std::size_t Bytes, base::instant Now);

/// Adds \p Read to those that wait. It replaces an older one of the same kind
/// for the same receiver, except for changes, and is sent after the changes
/// that were added before it. Of too many the oldest is dropped: its receiver
/// requests the list again.
void enqueueRead(traffic_limit &Limit, waiting_read Read);

/// The next read to send at \p Now; nothing while there is no room and only
/// lists wait.
std::optional<waiting_read> nextRead(traffic_limit &Limit, base::instant Now);

} // namespace redwinggw::control
