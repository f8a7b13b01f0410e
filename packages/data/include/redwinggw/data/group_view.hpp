#pragma once

#include "redwinggw/base/time.hpp"
#include "redwinggw/control/configuration.hpp"
#include "redwinggw/data/endpoint.hpp"

#include <deque>
#include <optional>
#include <string_view>
#include <vector>

/// What one instance knows of one database group.
namespace redwinggw::data {

struct member_view {
  control::endpoint Endpoint;
  /// The last state it told, with the time before the question was sent: what
  /// it says was true at that time or later.
  std::optional<endpoint_state> State;
  base::instant AskedAt;
  /// Failures since the last answer.
  unsigned Failures = 0;
  /// Time of the first of these failures.
  base::instant FailingSince;
  /// It is leaving: no new work goes there.
  bool Leaving = false;
};

/// A position that the primary had reached at a time.
struct primary_sample {
  base::instant At;
  base::log_position Position = 0;
};

/// Not thread safe. Kept by the group watcher, read by routing.
struct group_view {
  base::group_name Group;
  /// Highest term that any member told, and its primary when one is known.
  base::term_number Term = 0;
  std::optional<base::endpoint_name> Primary;
  /// History of the branch that Term is on.
  std::vector<history_row> History;
  std::vector<member_view> Members;
  /// Ascending samples for the age of replicas; see ageOf.
  std::deque<primary_sample> Samples;
};

/// Takes in what a member told. States of lower terms than the member told
/// before are late answers and change nothing, unless a failure in between
/// shows that the member came back without its state.
void observe(group_view &View, const endpoint_state &State,
             base::instant AskedAt);

/// Notes that \p Member did not answer a question sent at \p AskedAt.
void observeFailure(group_view &View, std::string_view Member,
                    base::instant AskedAt);

/// The member called \p Name, null when there is none.
const member_view *findMember(const group_view &View, std::string_view Name);
member_view *findMember(group_view &View, std::string_view Name);

/// An upper bound on the age of data at position \p Applied of the current
/// branch: everything the primary had committed before (\p Now - age) is in
/// it. Nothing when no sample proves a bound.
std::optional<base::microseconds>
ageOf(const group_view &View, base::log_position Applied, base::instant Now);

/// Makes the members match \p Endpoints, keeping what is known of those that
/// stay.
void setMembers(group_view &View,
                const std::vector<control::endpoint> &Endpoints);

} // namespace redwinggw::data
