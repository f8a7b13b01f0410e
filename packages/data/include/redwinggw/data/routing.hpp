#pragma once

#include "redwinggw/base/time.hpp"
#include "redwinggw/data/group_view.hpp"
#include "redwinggw/data/session_token.hpp"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

/// Where a read goes: to a replica that is proved fresh enough for the session
/// and the declared age, otherwise to the primary.
namespace redwinggw::data {

/// What a caller told of its session.
enum class session_kind {
  Missing,  ///< No token: it may have written something that we cannot know.
  None,     ///< The caller says that there is nothing to be consistent with.
  Verified, ///< A token that verified.
  Invalid,  ///< A token that did not verify.
};

enum class read_policy { Replicas, Primary };

struct read_request {
  session_kind Session = session_kind::Missing;
  /// The session's position in the group, when it has one.
  std::optional<group_position> Position;
  /// Age that the read accepts; zero: only the primary will do.
  base::milliseconds MaxAge{0};
};

/// What routing weighs besides freshness.
struct endpoint_load {
  base::endpoint_name Name;
  /// Requests waiting or running there, of this instance.
  std::size_t Pending = 0;
  /// The circuit is open: recent requests failed.
  bool BreakerOpen = false;
};

struct routing_settings {
  read_policy Policy = read_policy::Replicas;
  /// Longest wait for a replica to reach a session's position.
  base::milliseconds ReplicaWait{80};
  /// Test only: mutations that the fault matrix must catch.
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
  /// The replica, or nothing for the primary.
  std::optional<base::endpoint_name> Replica;
  /// Time to wait before sending, so that the replica has caught up.
  base::microseconds Wait{0};
  route_reason Reason = route_reason::NotAllowed;
};

/// Whether \p Read may go to a replica at all.
bool mayUseReplica(const read_request &Read, const routing_settings &Settings);

/// Chooses where \p Read goes. Prefers, among fresh replicas, \p Zone first,
/// then the one with least pending work. Thread safe on constant data.
route routeRead(const group_view &View, const read_request &Read,
                const std::vector<endpoint_load> &Loads, std::string_view Zone,
                const routing_settings &Settings, base::instant Now);

/// Judges the state that came with a replica's answer. The state that routing
/// had seen may be older than a rebuild of the replica; the answer's own state
/// is what the read saw, so only an answer that passes here is delivered.
/// \p SentAt is the time before the read was sent.
bool isFreshEnough(const group_view &View, const endpoint_state &AnswerState,
                   base::log_position ReadPosition, const read_request &Read,
                   const routing_settings &Settings, base::instant SentAt);

} // namespace redwinggw::data
