#include "line_client.hpp"
#include "native_fleet.hpp"

#include "redwinggw/control/rendezvous.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <functional>
#include <iterator>
#include <vector>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::fleet;

namespace {

/// The instances in the order in which they own the customer's bucket.
std::vector<native_process *> candidates(native_fleet &Fleet) {
  std::vector<native_process *> Candidates;
  std::ranges::transform(Fleet.Instances, std::back_inserter(Candidates),
                         [](native_process &Instance) { return &Instance; });
  std::ranges::sort(Candidates, std::ranges::greater{},
                    [](const native_process *Instance) {
                      return control::rendezvousWeight(
                          control::rendezvousHash("acme"),
                          control::rendezvousHash(Instance->Name));
                    });
  return Candidates;
}

void readFor(const native_process &Instance, std::chrono::milliseconds Time) {
  const auto End = std::chrono::steady_clock::now() + Time;
  line_client Caller(Instance.Callers, "strict", "key");
  while (std::chrono::steady_clock::now() < End) {
    Caller.run("READ a");
    sleepBetweenPolls();
  }
}

} // namespace

// Guards against requests for a reserve, and answers, that get lost between
// instances: the owner is frozen until its successor grants instead.
Test(bucket_reserve_path, grants_from_the_reserve_of_a_frozen_owner) {
  native_fleet Fleet(18, "[policy]\nbucket_reserve = 0.4\n");
  const auto Candidates = candidates(Fleet);
  const auto Granted = [&] {
    readFor(*Candidates[5], std::chrono::seconds(10));
    Candidates[0]->Process->signal(SIGSTOP);
    readFor(*Candidates[5], std::chrono::seconds(2));
    Candidates[0]->Process->signal(SIGCONT);
    return Candidates[1]->Process->output().find("bucket_reserve_used") !=
           std::string::npos;
  };
  cr_assert(eventually(Granted, std::chrono::minutes(2)));
}
