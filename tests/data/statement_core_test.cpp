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

// A key is withdrawn while its requests wait in a queue. The operator was told
// that it is out of force; the waiting requests run all the same, because they
// were checked when they arrived.
Test(statement_core, a_key_withdrawal_stops_queued_requests) {
  core_fixture Fixture;
  call Call = queuedCall();
  cr_assert(isKeyInForce(Fixture.Core, Call));
  Fixture.Configuration.Version = 8;
  Fixture.Configuration.Keys.clear();
  applyConfiguration(Fixture.Core, Fixture.Configuration, 1);
  cr_assert(!isKeyInForce(Fixture.Core, Call));
}

// The same, but the store did not answer the withdrawal. The instance takes
// the key out of force at once, under the version it has.
Test(statement_core, a_withdrawal_of_unknown_outcome_stops_them_too) {
  core_fixture Fixture;
  call Call = queuedCall();
  cr_assert(isKeyInForce(Fixture.Core, Call));
  Fixture.Configuration.Keys.clear();
  applyConfiguration(Fixture.Core, Fixture.Configuration, 1);
  cr_assert(!isKeyInForce(Fixture.Core, Call));
}

// An id of a key is given again, to another customer. A request that waits
// under the old key must not run for the new customer, or at all.
Test(statement_core, a_key_id_assigned_again_is_another_key) {
  core_fixture Fixture;
  call Call = queuedCall();
  cr_assert(isKeyInForce(Fixture.Core, Call));
  Fixture.Configuration.Keys = {{"k1", "amar", "another"}};
  applyConfiguration(Fixture.Core, Fixture.Configuration, 1);
  cr_assert(!isKeyInForce(Fixture.Core, Call));
}

// The process was paused while a request waited in a queue. Its key may have
// been withdrawn meanwhile; the configuration in memory cannot tell.
Test(statement_core, a_request_that_waited_through_a_pause_does_not_run) {
  core_fixture Fixture;
  call Call = queuedCall();
  cr_assert(mayStillRun(Fixture.Core, Call).has_value());
  Fixture.Current = false;
  const auto Allowed = mayStillRun(Fixture.Core, Call);
  cr_assert(Allowed.has_error());
  cr_assert(kindOf(Allowed.error()) == base::errc::StaleConfiguration);
}
