#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/session/freshness.hpp"
#include "redwinggw/session/log_point.hpp"

#include <map>
#include <optional>

/// The commits of a session that its own later reads have to include.
namespace redwinggw::session {

/// The position after a commit, and when its answer arrived.
struct own_commit {
  log_point Point;
  base::instant At;
};

/// The last commit at each service. Not thread safe.
struct own_commits {
  std::map<base::service_name, own_commit, std::less<>> Last;
  /// When the newest commit was answered that is not in Last: its position is
  /// not known, or it was dropped.
  std::optional<base::instant> UnknownUntil;
};

/// Bounds the memory of a session whose route is moved again and again.
constexpr std::size_t MaxCommitServices = 8;

/// Records a commit at \p Service that was answered at \p At with \p Point, if
/// that is known. Beyond MaxCommitServices the oldest one is dropped.
/// Precondition: it is later than the commits before.
void noteCommit(own_commits &Commits, const base::service_name &Service,
                const std::optional<log_point> &Point, base::instant At);

/// The lowest known position that covers what was acknowledged until
/// \p Staleness before \p Now and every commit of the session at \p Service.
/// Nothing if none is known: only the primary can serve then.
std::optional<required_point> requiredPointWith(const own_commits &Commits,
                                                std::string_view Service,
                                                const freshness &Freshness,
                                                base::milliseconds Staleness,
                                                base::instant Now);

} // namespace redwinggw::session
