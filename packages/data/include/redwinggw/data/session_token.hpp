#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/data/endpoint.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Session tokens: what a caller has seen of each group, carried by the caller
/// itself, so that read-your-writes holds through any instance.
namespace redwinggw::data {

/// A point in the history of a group.
struct group_position {
  base::group_name Group;
  base::term_number Term = 0;
  base::log_position Position = 0;

  friend bool operator==(const group_position &,
                         const group_position &) = default;
};

/// What one session has seen; sorted by group.
struct session_state {
  std::vector<group_position> Positions;

  friend bool operator==(const session_state &,
                         const session_state &) = default;
};

/// The token for \p Session, signed under \p FleetKey and bound to
/// \p Customer: with another customer's key it does not verify. Thread safe.
std::string encodeToken(std::string_view FleetKey, std::string_view Customer,
                        const session_state &Session);

/// What \p Token says; nothing when it was not signed for \p Customer.
/// Thread safe.
std::optional<session_state> decodeToken(std::string_view FleetKey,
                                         std::string_view Customer,
                                         std::string_view Token);

/// The position of \p Session in \p Group, null when it has none.
const group_position *findPosition(const session_state &Session,
                                   std::string_view Group);

/// Whether \p Position is part of the branch that \p History describes. It is
/// not when its term is unknown there or when the branch left that term before
/// the position: the entries were dropped by a promotion.
bool isOnBranch(const std::vector<history_row> &History,
                const group_position &Position);

/// Whether data at \p Applied, on the branch of \p History, holds all that
/// \p Position has seen.
bool covers(const std::vector<history_row> &History, base::log_position Applied,
            const group_position &Position);

/// Notes that the session has seen \p Seen. A position that the session had on
/// an earlier term of the same branch is replaced when it is lower; positions
/// on a lost branch are replaced always.
void advance(session_state &Session, const std::vector<history_row> &History,
             const group_position &Seen);

} // namespace redwinggw::data
