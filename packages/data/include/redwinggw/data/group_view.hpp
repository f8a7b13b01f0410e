#pragma once

#include "redwinggw/base/time.hpp"
#include "redwinggw/control/configuration.hpp"
#include "redwinggw/data/endpoint.hpp"

#include <deque>
#include <optional>
#include <string_view>
#include <vector>

/// One instance's view of one replica group.
namespace redwinggw::data {

struct member_view {
  control::endpoint Endpoint;
  /// The last state the member reported, and the time before that request was
  /// sent: the state was true at that time or later.
  std::optional<endpoint_state> State;
  base::instant AskedAt;
  /// Failures since the last answer.
  unsigned Failures = 0;
  /// Time of the first of these failures.
  base::instant FailingSince;
  /// The member is being removed: no new work is sent to it.
  bool Leaving = false;
};

/// A log position that the primary had reached at a given time.
struct primary_sample {
  base::instant At;
  base::log_position Position = 0;
};

/// Not thread safe. Maintained by group_service, read by routing.
struct group_view {
  base::group_name Group;
  /// Highest term that any member reported, and the primary of that term if
  /// known.
  base::term_number Term = 0;
  std::optional<base::endpoint_name> Primary;
  /// History of the branch of the log that Term belongs to.
  std::vector<history_row> History;
  std::vector<member_view> Members;
  /// Samples in ascending order, used to bound the age of replicas; see ageOf.
  std::deque<primary_sample> Samples;
};

/// Processes a state that a member reported. A state of a lower term than the
/// member's last one is a late answer and is ignored, unless a failure in
/// between shows that the member restarted without its state.
void observeState(group_view &View, const endpoint_state &State,
                  base::instant AskedAt);

/// Notes that \p Member did not answer a request sent at \p AskedAt.
void observeFailure(group_view &View, std::string_view Member,
                    base::instant AskedAt);

/// The member named \p Name, null when there is none.
const member_view *findMember(const group_view &View, std::string_view Name);
member_view *findMember(group_view &View, std::string_view Name);

/// Upper bound on the age of data at position \p Applied of the current branch:
/// the data contains everything that the primary had committed before (\p Now -
/// age). Empty when no sample proves a bound.
std::optional<base::microseconds>
ageOf(const group_view &View, base::log_position Applied, base::instant Now);

/// Sets the members to \p Endpoints; the state of members that stay is kept.
void setMembers(group_view &View,
                const std::vector<control::endpoint> &Endpoints);

} // namespace redwinggw::data
