#include "redwinggw/data/statement_core.hpp"

#include <boost/asio/io_context.hpp>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::data;

namespace {

struct core_fixture {
  boost::asio::io_context Context;
  control::configuration Configuration;
  bool Current = true;
  statement_core Core{Context.get_executor()};

  core_fixture() {
    Configuration.Version = 7;
    Configuration.Keys = {{"k1", "dulce", "digest"}};
    Core.Ports.Configuration = [this]() -> const control::configuration & {
      return Configuration;
    };
    Core.Ports.MayServe = [this] { return Current; };
    applyConfiguration(Core, Configuration, 1);
  }
};

call queuedCall() {
  call Call;
  Call.Customer = "dulce";
  Call.KeyId = "k1";
  Call.KeyDigest = "digest";
  return Call;
}

} // namespace

// Guards against requests that run after the operator was told that their key
// is out of force: the key was withdrawn while they were queued, and it had
// been checked only on arrival.
Test(statement_core, a_key_withdrawal_stops_queued_requests) {
  core_fixture Fixture;
  call Call = queuedCall();
  cr_assert(isKeyInForce(Fixture.Core, Call));
  Fixture.Configuration.Version = 8;
  Fixture.Configuration.Keys.clear();
  applyConfiguration(Fixture.Core, Fixture.Configuration, 1);
  cr_assert(!isKeyInForce(Fixture.Core, Call));
}

// The same, when the store did not answer the withdrawal: the instance revokes
// the key at once, under the configuration version that it has.
Test(statement_core, a_withdrawal_of_unknown_outcome_stops_them_too) {
  core_fixture Fixture;
  call Call = queuedCall();
  cr_assert(isKeyInForce(Fixture.Core, Call));
  Fixture.Configuration.Keys.clear();
  applyConfiguration(Fixture.Core, Fixture.Configuration, 1);
  cr_assert(!isKeyInForce(Fixture.Core, Call));
}

// Guards against a queued request that runs for the wrong customer: its key's
// id was assigned again, to another customer. The request must not run at all.
Test(statement_core, a_key_id_assigned_again_is_another_key) {
  core_fixture Fixture;
  call Call = queuedCall();
  cr_assert(isKeyInForce(Fixture.Core, Call));
  Fixture.Configuration.Keys = {{"k1", "amar", "another"}};
  applyConfiguration(Fixture.Core, Fixture.Configuration, 1);
  cr_assert(!isKeyInForce(Fixture.Core, Call));
}

// Guards against a key that was withdrawn while the process was paused and its
// request queued: the configuration in memory does not show the withdrawal yet.
Test(statement_core, a_request_that_waited_through_a_pause_does_not_run) {
  core_fixture Fixture;
  call Call = queuedCall();
  cr_assert(mayStillRun(Fixture.Core, Call).has_value());
  Fixture.Current = false;
  const auto Allowed = mayStillRun(Fixture.Core, Call);
  cr_assert(Allowed.has_error());
  cr_assert(kindOf(Allowed.error()) == base::errc::StaleConfiguration);
}
