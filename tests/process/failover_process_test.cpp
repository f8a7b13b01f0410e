#include "background_writer.hpp"
#include "fleet.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <functional>
#include <iostream>
#include <iterator>

#include "criterion_test.hpp"

using namespace redwinggw::fleet;

namespace {

constexpr const char *Group = "orders-db";
constexpr const char *FirstPrimary = "orders-db-1";

using step = std::function<void(running_fleet &)>;

void setFault(running_fleet &Fleet, boost::json::object Fault) {
  Fleet.setFault(FirstPrimary, Fault);
}

/// Waits until another endpoint is the primary.
void waitForAnotherPrimary(running_fleet &Fleet) {
  const bool Replaced = eventually([&] {
    const auto *Primary = Fleet.primaryOf(Group);
    return Primary != nullptr && Primary->Name != FirstPrimary;
  });
  if (!Replaced)
    std::cerr << Fleet.logs();
  cr_assert(Replaced);
}

/// Writes through both instances during \p Break and then \p Heal; then
/// compares the outcomes that the callers got with the data of the primary.
void writeThroughFault(const step &Break, const step &Heal) {
  running_fleet Fleet(smallPlan());
  Fleet.start();
  std::vector<redwinggw::http::address> Instances;
  for (const auto &Instance : Fleet.instances())
    Instances.push_back(Instance->Callers);
  background_writer Writer(caller(customerKey("dulciuri"), "orders"), Instances,
                           1);
  constexpr std::int64_t OtherMarks = 1'000'000;
  background_writer Other(caller(customerKey("aterro"), "orders"), Instances,
                          OtherMarks);
  cr_assert(writesContinue(Fleet, Writer));
  Break(Fleet);
  waitForAnotherPrimary(Fleet);
  cr_assert(writesContinue(Fleet, Writer));
  Heal(Fleet);
  cr_assert(writesContinue(Fleet, Writer));
  auto Records = Writer.stop();
  std::ranges::copy(Other.stop(), std::back_inserter(Records));
  const auto *Primary = Fleet.primaryOf(Group);
  cr_assert(Primary != nullptr);
  const auto Violations = consistencyViolations(Fleet, Primary->Name, Records);
  for (const std::string &Violation : Violations)
    std::cerr << Violation << "\n";
  cr_assert(Violations.empty());
}

void doNothing(running_fleet &) {}

} // namespace

// The primary's machine dies while callers write. Callers see a pause; each
// write that was reported as "done" is there afterwards, once.
Test(failover, a_killed_primary_loses_no_acknowledged_write) {
  writeThroughFault(
      [](running_fleet &Fleet) {
        Fleet.endpoint(FirstPrimary).Process->signal(SIGKILL);
      },
      doNothing);
}

// A network partition separates the primary from the instances, but not from
// its replicas, and later heals. The old primary still takes itself for the
// primary.
Test(failover, a_primary_cut_from_instances_is_replaced) {
  writeThroughFault(
      [](running_fleet &Fleet) {
        setFault(Fleet, {{"kind", "cut"}, {"peer", "instances"}});
      },
      [](running_fleet &Fleet) { setFault(Fleet, {{"kind", "none"}}); });
}

// The primary answers the instances, but its log reaches no replica. Its
// commits would be lost with it, so none of them may be acknowledged.
Test(failover, a_primary_cut_from_its_replicas_acknowledges_nothing) {
  writeThroughFault(
      [](running_fleet &Fleet) {
        setFault(Fleet, {{"kind", "cut"}, {"peer", "endpoints"}});
      },
      [](running_fleet &Fleet) { setFault(Fleet, {{"kind", "none"}}); });
}

// The primary's process is stopped, replaced and resumed. It then finishes the
// requests that it had received before as if no time had passed.
Test(failover, a_primary_that_wakes_up_replaced_acknowledges_nothing) {
  writeThroughFault(
      [](running_fleet &Fleet) {
        Fleet.endpoint(FirstPrimary).Process->signal(SIGSTOP);
      },
      [](running_fleet &Fleet) {
        Fleet.endpoint(FirstPrimary).Process->signal(SIGCONT);
      });
}
