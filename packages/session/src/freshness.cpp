#include "redwinggw/session/freshness.hpp"

#include <algorithm>

namespace redwinggw::session {

void addSample(freshness &Freshness, freshness_sample Sample,
               base::instant Now) {
  auto &Samples = Freshness.Samples;
  while (!Samples.empty() &&
         Now - Samples.front().SentAt > Freshness.Limits.KeepFor)
    Samples.pop_front();
  // Answers may arrive out of order: one to an earlier statement adds nothing.
  const bool Covered =
      !Samples.empty() &&
      Sample.SentAt - Samples.back().SentAt < Freshness.Limits.Spacing;
  if (!Covered)
    Samples.push_back(Sample);
}

std::optional<required_point> requiredPoint(const freshness &Freshness,
                                            base::milliseconds Staleness,
                                            base::instant Now) {
  const base::instant Needed = Now - Staleness;
  const auto Found = std::ranges::lower_bound(
      Freshness.Samples, Needed, std::less{}, &freshness_sample::SentAt);
  if (Found == Freshness.Samples.end())
    return std::nullopt;
  return required_point{Found->Point, Found->SentAt};
}

void clearSamples(freshness &Freshness) { Freshness.Samples.clear(); }

} // namespace redwinggw::session
