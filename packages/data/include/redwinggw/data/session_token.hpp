#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/data/endpoint.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Session tokens. The caller carries the positions that its session has seen
/// in each group, so that read-your-writes holds through any instance.
namespace redwinggw::data {

/// A position in the log of a group.
struct group_position {
  base::group_name Group;
  base::term_number Term = 0;
  base::log_position Position = 0;

  friend bool operator==(const group_position &,
                         const group_position &) = default;
};

/// The positions that one session has seen, sorted by group.
struct session_state {
  std::vector<group_position> Positions;

  friend bool operator==(const session_state &,
                         const session_state &) = default;
};

/// Encodes \p Session as a token, signed with \p FleetKey and bound to
/// \p Customer: it does not verify for another customer. Thread safe.
std::string encodeToken(std::string_view FleetKey, std::string_view Customer,
                        const session_state &Session);

/// Decodes \p Token; empty when it was not signed for \p Customer. Thread safe.
std::optional<session_state> decodeToken(std::string_view FleetKey,
                                         std::string_view Customer,
                                         std::string_view Token);

/// The position of \p Session in \p Group, null when it has none.
const group_position *findPosition(const session_state &Session,
                                   std::string_view Group);

/// Whether \p Position is on the branch that \p History describes. It is not
/// when the history lacks its term, or when that term ended on the branch
/// before the position: a promotion dropped those entries.
bool isOnBranch(const std::vector<history_row> &History,
                const group_position &Position);

/// Whether data at \p Applied, on the branch of \p History, contains everything
/// that \p Position has seen.
bool covers(const std::vector<history_row> &History, base::log_position Applied,
            const group_position &Position);

/// Adds \p Seen to the session. A lower position on the same branch is
/// replaced, a position on a lost branch is always replaced.
void advance(session_state &Session, const std::vector<history_row> &History,
             const group_position &Seen);

} // namespace redwinggw::data
