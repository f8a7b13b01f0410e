#include "redwinggw/session/replica_lag.hpp"

#include <random>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using base::instant;
using base::milliseconds;

namespace {

const instant Start{std::chrono::seconds(100)};

required_point pointOfAge(milliseconds Age, instant Now,
                          base::log_position Position = 50) {
  return {{1, Position}, Now - Age};
}

/// Reads sent to a replica, those that it refused, and those that were sent
/// elsewhere.
struct read_counts {
  unsigned Tried = 0;
  unsigned Refused = 0;
  unsigned SentElsewhere = 0;
};

/// Every 10 ms a session reads what it committed up to 300 ms ago, at a replica
/// that receives commits with a random lag. With \p UsesEstimate it reads
/// elsewhere if the replica probably has not received the commit.
read_counts simulate(bool UsesEstimate, unsigned Reads) {
  std::mt19937 Random(4711);
  std::lognormal_distribution<double> LagMs(4.0, 0.6);
  std::uniform_int_distribution<int> AgeMs(0, 300);
  replica_lag Lag;
  read_counts Result;
  instant Now = Start;
  for (unsigned Read = 0; Read < Reads; ++Read) {
    Now += milliseconds(10);
    const milliseconds Age(AgeMs(Random));
    const required_point Required = pointOfAge(Age, Now, 50 + Read);
    if (UsesEstimate && probablyLags(Lag, Required, Now)) {
      ++Result.SentElsewhere;
      continue;
    }
    ++Result.Tried;
    if (static_cast<double>(Age.count()) >= LagMs(Random)) {
      noteServed(Lag);
      continue;
    }
    ++Result.Refused;
    noteLagging(Lag, Required, Now);
  }
  return Result;
}

} // namespace

Test(replica_lag, trusts_a_replica_that_was_seen_to_have_the_position) {
  replica_lag Lag;
  noteLagging(Lag, pointOfAge(milliseconds(200), Start), Start);
  cr_assert(probablyLags(Lag, pointOfAge(milliseconds(50), Start), Start));
  noteReached(Lag, {1, 60});
  cr_assert(!probablyLags(Lag, pointOfAge(milliseconds(50), Start), Start));
  // Answers out of order: an older one does not lower the position.
  noteReached(Lag, {1, 40});
  cr_assert(!probablyLags(Lag, pointOfAge(milliseconds(50), Start), Start));
}

// Guards against sending replicas reads of a commit that they cannot have yet.
Test(replica_lag, learns_the_typical_lag) {
  constexpr unsigned Reads = 4000;
  const read_counts WithoutEstimate = simulate(false, Reads);
  cr_assert(WithoutEstimate.Refused * 6 > WithoutEstimate.Tried, "%u of %u",
            WithoutEstimate.Refused, WithoutEstimate.Tried);
  const read_counts WithEstimate = simulate(true, Reads);
  cr_assert(WithEstimate.Refused * 40 < WithEstimate.Tried, "%u of %u",
            WithEstimate.Refused, WithEstimate.Tried);
  // What the replica probably has is still read there.
  cr_assert(WithEstimate.Tried * 2 > Reads, "%u of %u", WithEstimate.Tried,
            Reads);
}

// Guards against sending reads in vain to a replica that is seconds behind.
Test(replica_lag, backs_off_from_a_replica_that_is_far_behind) {
  replica_lag Lag;
  unsigned Asked = 0;
  const auto Ask = [&](instant Now) {
    const required_point Required = pointOfAge(milliseconds(2000), Now);
    if (probablyLags(Lag, Required, Now))
      return;
    ++Asked;
    noteLagging(Lag, Required, Now);
  };
  for (int Step = 0; Step < 1000; ++Step)
    Ask(Start + milliseconds(10 * Step));
  cr_assert(Asked < 15, "%u", Asked);
  const instant Late = Start + std::chrono::seconds(20);
  const required_point Required = pointOfAge(milliseconds(2000), Late);
  cr_assert(!probablyLags(Lag, Required, Late));
  noteServed(Lag);
  cr_assert(!probablyLags(Lag, Required, Late));
}
