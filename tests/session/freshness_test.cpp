#include "redwinggw/session/freshness.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using base::instant;
using base::milliseconds;

namespace {

const instant Start{std::chrono::seconds(100)};

freshness threeSamples() {
  freshness Freshness;
  addSample(Freshness, {Start, {1, 10}}, Start);
  addSample(Freshness, {Start + milliseconds(1000), {1, 20}}, Start);
  addSample(Freshness, {Start + milliseconds(2000), {1, 30}}, Start);
  return Freshness;
}

/// The required point, if there is one.
std::optional<log_point> pointWithin(const freshness &Freshness,
                                     milliseconds Staleness, instant Now) {
  const auto Required = requiredPoint(Freshness, Staleness, Now);
  if (!Required)
    return std::nullopt;
  return Required->Point;
}

} // namespace

// A read accepts data up to 1.5 s old: it must include what was acknowledged
// before that, and no more is required.
Test(freshness, requires_the_oldest_sample_inside_the_bound) {
  const freshness Freshness = threeSamples();
  const instant Now = Start + milliseconds(2100);
  cr_assert(pointWithin(Freshness, milliseconds(1500), Now) ==
            log_point({1, 20}));
  cr_assert(pointWithin(Freshness, milliseconds(2500), Now) ==
            log_point({1, 10}));
}

// The primary has not answered for longer than the bound: what it has
// acknowledged since is not known, so no replica may serve.
Test(freshness, has_no_point_without_a_recent_sample) {
  const freshness Freshness = threeSamples();
  cr_assert(!requiredPoint(Freshness, milliseconds(1500),
                           Start + milliseconds(4000)));
  cr_assert(!requiredPoint(freshness(), milliseconds(1500), Start));
}

// Answers arrive out of order: one to an earlier statement arrives later, and
// must not count as a recent sample.
Test(freshness, ignores_answers_out_of_order) {
  freshness Freshness = threeSamples();
  addSample(Freshness, {Start + milliseconds(500), {1, 12}},
            Start + milliseconds(2100));
  cr_assert(pointWithin(Freshness, milliseconds(50),
                        Start + milliseconds(2050)) == log_point({1, 30}));
}

Test(freshness, forgets_old_samples) {
  freshness Freshness = threeSamples();
  const instant Late = Start + milliseconds(11500);
  addSample(Freshness, {Late, {1, 90}}, Late);
  cr_assert(Freshness.Samples.size() == 2);
}
