#include "redwinggw/session/evacuations.hpp"

#include "fake_endpoint.hpp"

#include <algorithm>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using namespace redwinggw::session::testing;

namespace {

void evacuate(core_fixture &Fixture, const std::string &Endpoint,
              bool Evacuated = true) {
  poolOf(Fixture.Set, Endpoint)->setEvacuated(Evacuated);
}

bool hasReached(const core_fixture &Fixture, std::string_view Endpoint,
                std::size_t Since) {
  const auto &Received = Fixture.Group.Received;
  return std::any_of(Received.begin() + static_cast<std::ptrdiff_t>(Since),
                     Received.end(), [&](const received_statement &Statement) {
                       return Statement.Endpoint == Endpoint;
                     });
}

} // namespace

// Guards against an older read, reported late, that ends an evacuation.
Test(evacuations, follow_the_newest_read) {
  evacuations Known;
  cr_assert(applyEvacuations(Known, {5, {"z2", "z1"}}));
  cr_assert(isEvacuated(Known, "z1") && isEvacuated(Known, "z2"));
  cr_assert(!applyEvacuations(Known, {4, {}}));
  cr_assert(isEvacuated(Known, "z1"));
  cr_assert(!applyEvacuations(Known, {6, {"z1", "z2"}}));
  cr_assert(applyEvacuations(Known, {7, {"z2"}}));
  cr_assert(!isEvacuated(Known, "z1"));
}

Test(evacuations, send_reads_to_the_endpoints_elsewhere) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("own");
  Fixture.write(Session);
  evacuate(Fixture, "r1");
  const std::size_t Before = Fixture.Group.Received.size();
  for (int Reads = 0; Reads < 20; ++Reads)
    cr_assert(!Fixture.read(Session).Error);
  cr_assert(!hasReached(Fixture, "r1", Before));
}

// Guards against a write that reaches a primary whose zone is evacuated.
Test(evacuations, refuse_what_only_an_evacuated_primary_can_run) {
  core_fixture Fixture;
  caller_session Session = Fixture.open("own");
  evacuate(Fixture, "p");
  const answer Answer = Fixture.write(Session);
  cr_assert(Answer.Error && Answer.Error->Code == answer_code::Busy);
  cr_assert(!hasReached(Fixture, "p", 0));
  evacuate(Fixture, "p", false);
  cr_assert(!Fixture.write(Session).Error);
}

// Guards against statements, a commit or a rollback that reach an endpoint
// because a transaction was open there when its zone was evacuated.
Test(evacuations, abort_open_transactions_and_send_nothing_more) {
  for (const bool Commits : {true, false}) {
    core_fixture Fixture;
    caller_session Session = Fixture.open("own");
    Fixture.run(Session, statement_kind::Begin, "BEGIN");
    cr_assert(!Fixture.write(Session).Error);
    evacuate(Fixture, "p");
    const std::size_t Before = Fixture.Group.Received.size();
    const answer Answer =
        Commits ? Fixture.run(Session, statement_kind::Commit, "COMMIT")
                : Fixture.write(Session);
    cr_assert(Answer.Error && Answer.Error->Code == answer_code::Aborted);
    if (!Commits)
      Fixture.run(Session, statement_kind::Rollback, "ROLLBACK");
    cr_assert(!hasReached(Fixture, "p", Before));
    cr_assert(!Session.Transaction);
    cr_assert(Fixture.Group.Connected == 0, "the connection is still open");
  }
}
