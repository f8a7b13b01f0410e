#include "redwinggw/session/own_commits.hpp"

#include <algorithm>

namespace redwinggw::session {

namespace {

void noteUnknown(own_commits &Commits, base::instant At) {
  Commits.UnknownUntil = std::max(At, Commits.UnknownUntil.value_or(At));
}

} // namespace

void noteCommit(own_commits &Commits, const base::service_name &Service,
                const std::optional<log_point> &Point, base::instant At) {
  if (!Point) {
    Commits.Last.erase(Service);
    noteUnknown(Commits, At);
    return;
  }
  Commits.Last[Service] = {*Point, At};
  if (Commits.Last.size() <= MaxCommitServices)
    return;
  const auto Oldest = std::ranges::min_element(
      Commits.Last, {}, [](const auto &Entry) { return Entry.second.At; });
  noteUnknown(Commits, Oldest->second.At);
  Commits.Last.erase(Oldest);
}

std::optional<required_point> requiredPointWith(const own_commits &Commits,
                                                std::string_view Service,
                                                const freshness &Freshness,
                                                base::milliseconds Staleness,
                                                base::instant Now) {
  const auto Own = Commits.Last.find(Service);
  if (Own == Commits.Last.end()) {
    // A sample from after a commit covers it.
    if (Commits.UnknownUntil)
      Staleness = std::min(Staleness, std::chrono::floor<base::milliseconds>(
                                          Now - *Commits.UnknownUntil));
    return requiredPoint(Freshness, Staleness, Now);
  }
  auto Point = requiredPoint(Freshness, Staleness, Now);
  if (Point && Own->second.Point > Point->Point)
    Point = required_point{Own->second.Point, Own->second.At};
  return Point;
}

} // namespace redwinggw::session
