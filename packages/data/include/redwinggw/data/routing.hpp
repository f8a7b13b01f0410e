#pragma once

#include "redwinggw/base/time.hpp"
#include "redwinggw/data/group_view.hpp"
#include "redwinggw/data/session_token.hpp"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

/// Routes a read: to a replica proved fresh enough for the session and for the
/// declared maximum age, otherwise to the primary.
namespace redwinggw::data {

/// State of the session token that came with a request.
enum class session_kind {
  Missing,  ///< No token: the session may have written anything.
  None,     ///< The caller declares that it has no session.
  Verified, ///< A valid token.
  Invalid,  ///< A token that did not verify.
};

enum class read_policy { Replicas, Primary };

struct read_request {
  session_kind Session = session_kind::Missing;
  /// The session's position in the group, if it has one.
  std::optional<group_position> Position;
  /// Maximum age of the data that the read accepts; zero: only the primary may
  /// serve it.
  base::milliseconds MaxAge{0};
};

/// Load of an endpoint, as routing takes it into account.
struct endpoint_load {
  base::endpoint_name Name;
  /// Requests of this instance that wait or run there.
  std::size_t Pending = 0;
  /// The circuit breaker is open: recent requests failed.
  bool BreakerOpen = false;
};

struct routing_settings {
  read_policy Policy = read_policy::Replicas;
  /// Longest wait for a replica to reach the session's position.
  base::milliseconds ReplicaWait{80};
  /// For tests only: faults that the fault matrix must detect.
  bool MutateIgnoreSession = false;
  bool MutateIgnoreAge = false;
};

enum class route_reason {
  ReplicaFresh,
  ReplicaAfterWait,
  NotAllowed,
  NoSession,
  LostBranch,
  NoFreshReplica,
};

struct route {
  /// The replica; empty for the primary.
  std::optional<base::endpoint_name> Replica;
  /// Delay before sending, in which the replica is expected to catch up.
  base::microseconds Wait{0};
  route_reason Reason = route_reason::NotAllowed;
};

/// Whether \p Read may be served by a replica at all.
bool mayUseReplica(const read_request &Read, const routing_settings &Settings);

/// Chooses the endpoint for \p Read. Among replicas that are fresh enough it
/// prefers the shortest wait, then \p Zone, then the least pending requests.
/// Thread safe as long as the data is not modified.
route routeRead(const group_view &View, const read_request &Read,
                const std::vector<endpoint_load> &Loads, std::string_view Zone,
                const routing_settings &Settings, base::instant Now);

/// Checks the state that came with a replica's answer. The replica may have
/// been rebuilt after the state that routing used; the answer's state is what
/// the read saw, so only an answer that passes this check is returned to the
/// caller. \p SentAt is the time before the read was sent.
bool isFreshEnough(const group_view &View, const endpoint_state &AnswerState,
                   base::log_position ReadPosition, const read_request &Read,
                   const routing_settings &Settings, base::instant SentAt);

} // namespace redwinggw::data
