#include "config_fixture.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::testing;
using base::errc;
using base::task;

namespace {

// Named, because g++ 12 does not compile braced lists in a co_await expression.
const std::string First = sheetOf(0, {"a"});
const std::string Other = sheetOf(0, {"b"});

} // namespace

namespace {

task<void> changeAtBoth(config_fixture &Fleet) {
  const auto Accepted = co_await Fleet.Left->submit(First);
  cr_assert(Accepted->Version == 1);
  cr_assert(Fleet.Left->inForce().Version == 1);
  const auto Given = co_await Fleet.Right->giveKey("a");
  cr_assert(isKeyInForce(*Fleet.Right, Given->Key));
  co_await Fleet.until([&] { return isKeyInForce(*Fleet.Left, Given->Key); });
  const auto Withdrawn = co_await Fleet.Left->withdrawKey(Given->Id);
  cr_assert(Withdrawn->Version == 3);
  cr_assert(!isKeyInForce(*Fleet.Left, Given->Key));
  co_await Fleet.until([&] { return !isKeyInForce(*Fleet.Right, Given->Key); });
  const auto History = co_await Fleet.Left->history(2);
  cr_assert(History->size() == 2);
  cr_assert(History->front().Version == 3);
}

} // namespace

Test(config_service, an_accepted_change_comes_into_force_everywhere) {
  config_fixture Fleet;
  Fleet.run([&] { return changeAtBoth(Fleet); });
}

namespace {

task<void> readOnHint(config_fixture &Fleet,
                      control::configuration_service &Third) {
  Third.start();
  co_await Fleet.until([&] { return Third.hasConfiguration(); });
  co_await Fleet.Left->submit(First);
  Third.noteVersionSeen(1);
  co_await Fleet.until([&] { return Third.inForce().Version == 1; });
  Third.stop();
}

} // namespace

Test(config_service, a_peers_higher_version_is_read_at_once) {
  config_fixture Fleet;
  control::config_options Slow;
  Slow.RefreshInterval = std::chrono::hours(1);
  const auto Third = std::make_unique<control::configuration_service>(
      Fleet.Context.get_executor(), Fleet.Store, Slow);
  Fleet.run([&] { return readOnHint(Fleet, *Third); });
}

namespace {

task<void> repeatAfterLostAnswer(config_fixture &Fleet) {
  Fleet.Cut = store_cut::AfterCommit;
  const auto Unknown = co_await Fleet.Left->submit(First);
  cr_assert(kindOf(Unknown.error()) == errc::OutcomeUnknown);
  Fleet.Cut = store_cut::None;
  const auto Again = co_await Fleet.Right->submit(First);
  cr_assert(Again->Version == 1);
  cr_assert(Again->AlreadyAccepted);
}

} // namespace

// The store accepts a sheet, but its answer is lost. Guards against reporting a
// conflict to the operator who submits it again, and against accepting the
// sheet twice.
Test(config_service, a_lost_answer_is_resolved_by_reading_back) {
  config_fixture Fleet;
  Fleet.run([&] { return repeatAfterLostAnswer(Fleet); });
}

namespace {

task<void> withdrawThrough(config_fixture &Fleet, store_cut Cut) {
  co_await Fleet.Left->submit(First);
  const auto Given = co_await Fleet.Left->giveKey("a");
  co_await Fleet.until([&] { return isKeyInForce(*Fleet.Right, Given->Key); });
  Fleet.Cut = Cut;
  const auto Unknown = co_await Fleet.Left->withdrawKey(Given->Id);
  cr_assert(kindOf(Unknown.error()) == errc::OutcomeUnknown);
  cr_assert(!isKeyInForce(*Fleet.Left, Given->Key));
  Fleet.Cut = store_cut::None;
  co_await Fleet.until([&] { return !isKeyInForce(*Fleet.Right, Given->Key); });
}

} // namespace

// An operator withdraws a key while the store fails, before or after the commit
// took effect. The outcome is reported as unknown; the key must stop working
// here at once, and everywhere when the store is back.
Test(config_service,
     a_withdrawal_of_unknown_outcome_is_in_force_and_completed) {
  for (const store_cut Cut :
       {store_cut::BeforeCommit, store_cut::AfterCommit}) {
    config_fixture Fleet;
    Fleet.run([&] { return withdrawThrough(Fleet, Cut); });
  }
}

namespace {

task<void> withdrawInOutage(config_fixture &Fleet) {
  co_await Fleet.Left->submit(First);
  const auto Given = co_await Fleet.Left->giveKey("a");
  Fleet.Cut = store_cut::All;
  const auto Refused = co_await Fleet.Left->withdrawKey(Given->Id);
  cr_assert(kindOf(Refused.error()) == errc::StoreUnreachable);
  cr_assert(isKeyInForce(*Fleet.Left, Given->Key));
}

} // namespace

Test(config_service,
     a_withdrawal_that_changed_nothing_leaves_the_key_in_force) {
  config_fixture Fleet;
  Fleet.run([&] { return withdrawInOutage(Fleet); });
}

namespace {

task<void> startInOutage(config_fixture &Fleet) {
  co_await Fleet.Left->submit(First);
  cr_assert(!Fleet.Left->hasConfiguration());
  cr_assert(!Fleet.Left->lastStoreAnswer());
  Fleet.Cut = store_cut::None;
  co_await Fleet.until([&] { return Fleet.Left->hasConfiguration(); });
  cr_assert(Fleet.Left->lastStoreAnswer().has_value());
}

} // namespace

// An instance restarts while the store is down. It has nothing in force, and
// must not mistake an empty configuration for the accepted one.
Test(config_service, nothing_is_in_force_before_the_store_was_read) {
  config_fixture Fleet;
  Fleet.Cut = store_cut::All;
  Fleet.run([&] { return startInOutage(Fleet); });
}

namespace {

task<void> submitWithoutMajority(config_fixture &Fleet) {
  const auto Refused = co_await Fleet.Left->submit(First);
  cr_assert(kindOf(Refused.error()) == errc::StaleConfiguration);
  const auto Accepted = co_await Fleet.Right->submit(Other);
  cr_assert(Accepted.has_value(), "%s", describe(Accepted.error()).c_str());
  cr_assert(Accepted->Version == 1);
}

} // namespace

// Guards against accepting a change that no majority can confirm to be in
// force.
Test(config_service, without_a_majority_nothing_is_accepted) {
  config_fixture Fleet;
  control::configuration_ports Ports;
  Ports.MayAccept = [] { return false; };
  Fleet.Left->setPorts(Ports);
  Fleet.run([&] { return submitWithoutMajority(Fleet); });
}

namespace {

task<void> submitAndCount(config_fixture &Fleet) {
  const auto Accepted = co_await Fleet.Left->submit(First);
  cr_assert(Accepted->Confirmed);
  cr_assert(Accepted->InForceAt == 2);
  cr_assert(Accepted->Instances == 2);
}

} // namespace

Test(config_service, the_answer_counts_instances_and_waits_for_a_majority) {
  config_fixture Fleet;
  bool Knows = false;
  control::configuration_ports Ports;
  Ports.MajorityKnows = [&](base::config_version) { return Knows; };
  Ports.Others = [&] {
    return std::vector<control::instance_version>{
        {"right", Fleet.Right->inForce().Version}};
  };
  Ports.NoteStoreRead = [&](base::instant Sent, base::instant Answered,
                            base::config_version Head) {
    cr_assert(Sent <= Answered);
    Knows = Knows || Head == 1;
  };
  Fleet.Left->setPorts(Ports);
  Fleet.run([&] { return submitAndCount(Fleet); });
}
