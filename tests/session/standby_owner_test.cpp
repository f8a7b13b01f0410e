#include "redwinggw/session/standby_owner.hpp"

#include "redwinggw/session/forwarding_client.hpp"
#include "redwinggw/session/forwarding_server.hpp"

#include "fake_endpoint.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using namespace redwinggw::session::testing;

namespace {

namespace asio = boost::asio;

/// An instance that accepts forwarded statements.
struct owner_fixture {
  owner_fixture(asio::io_context &Context, fake_group &Group)
      : Core(Context, Group),
        Server(Context.get_executor(), Core.Core, "secret"),
        Address(Server.listen({"127.0.0.1", 0}).value()) {}

  /// The connections that it opened to the primary.
  std::uint64_t connects() { return poolOf(Core.Set, "p")->connects(); }

  core_fixture Core;
  forwarding_server Server;
  http::address Address;
};

/// An instance that forwards its callers' statements.
struct caller_fixture {
  caller_fixture(asio::io_context &Context, fake_group &Group,
                 const std::map<std::string, http::address> &Addresses)
      : Core(Context, Group),
        Client(Context.get_executor(), Core.Set.Watch, "secret") {
    Core.Core.Limits.StandbyOwners = true;
    Core.Core.Ports.Forward =
        [this,
         &Addresses](const endpoint_entry &Entry, std::string_view Customer,
                     unsigned Priority) -> std::unique_ptr<forwarding_link> {
      const auto Runner = runnerOf(
          {"owner", "standby"}, "caller", [this](std::string_view Name) {
            return Suspect != Name && Client.isUsable(Name, base::now());
          });
      if (Runner.empty())
        return nullptr;
      return Client.linkTo({Runner, Addresses.at(Runner)}, Entry.Name,
                           std::string(Customer), Priority);
    };
  }

  core_fixture Core;
  forwarding_client Client;
  /// The instance that it does not hear any more.
  std::string Suspect;
};

/// An owner, a standby owner and two callers' instances in one event loop.
struct standby_fleet {
  ~standby_fleet() {
    Owner.Server.stop();
    Standby.Server.stop();
    Context.poll();
  }

  /// Lets the owner accept connections and answer nothing, like a stopped
  /// process.
  void freezeOwner() {
    Silent.open(asio::ip::tcp::v4());
    Silent.bind({asio::ip::make_address("127.0.0.1"), 0});
    Silent.listen();
    Addresses["owner"] = {"127.0.0.1", Silent.local_endpoint().port()};
  }

  /// Lets the first caller's instance suspect the owner a moment later.
  void suspectOwnerSoon() {
    Timer.expires_after(std::chrono::milliseconds(30));
    Timer.async_wait([this](boost::system::error_code) {
      First.Suspect = "owner";
      First.Client.abandon("owner", base::now());
    });
  }

  asio::io_context Context;
  fake_group Group;
  owner_fixture Owner{Context, Group};
  owner_fixture Standby{Context, Group};
  std::map<std::string, http::address> Addresses{{"owner", Owner.Address},
                                                 {"standby", Standby.Address}};
  caller_fixture First{Context, Group, Addresses};
  caller_fixture Second{Context, Group, Addresses};
  asio::ip::tcp::acceptor Silent{Context};
  asio::steady_timer Timer{Context};
};

} // namespace

// Guards against a standby that takes the connections which a living owner
// needs for the instances that reach it.
Test(standby_owner, leaves_the_owner_its_part) {
  for (std::size_t Accepted = 2; Accepted < 200; ++Accepted) {
    const auto Owner = limitsFor(owner_role::Owner, Accepted, 9);
    const auto Standby = limitsFor(owner_role::Standby, Accepted, 9);
    cr_assert(Standby.MaxConnections >= 1 && Standby.KeptConnections == 0);
    cr_assert(Owner.Connections + Standby.MaxConnections <= Accepted);
  }
}

// Guards against connections that stay open at the standby after the owner is
// back.
Test(standby_owner, holds_connections_only_while_it_is_used) {
  standby_fleet Fleet;
  core_fixture &Core = Fleet.Standby.Core;
  endpoint_pool &Pool = *poolOf(Core.Set, "p");
  Pool.setLimits(limitsFor(owner_role::Standby, 56, 58));
  Fleet.First.Suspect = "owner";
  caller_session Session = Fleet.First.Core.open("strict");
  cr_assert(!Fleet.First.Core.write(Session).Error);
  cr_assert(Pool.idle() == 1);
  Pool.closeUnused(base::now() + std::chrono::seconds(2));
  cr_assert(Pool.open() == 0);
}

// The owner's process is gone. A write that could not be sent to it runs, once,
// at the standby.
Test(standby_owner, runs_what_a_killed_owner_did_not_get) {
  standby_fleet Fleet;
  Fleet.Owner.Server.stop();
  caller_session Session = Fleet.First.Core.open("strict");
  cr_assert(!Fleet.First.Core.write(Session).Error);
  cr_assert(Fleet.Group.callerStatements().size() == 1);
  cr_assert(Fleet.Owner.connects() == 0 && Fleet.Standby.connects() == 1);
}

// The owner dies with a write that it has sent on: that one is in doubt and is
// not run by the standby. A read is.
Test(standby_owner, never_repeats_a_write_that_a_killed_owner_got) {
  for (const bool Writes : {true, false}) {
    standby_fleet Fleet;
    Fleet.Group.Script =
        [&](const received_statement &) -> std::optional<exchange> {
      Fleet.Owner.Server.stop();
      return std::nullopt;
    };
    caller_session Session = Fleet.First.Core.open("strict");
    const answer Answer = Writes ? Fleet.First.Core.write(Session)
                                 : Fleet.First.Core.read(Session);
    cr_assert(Writes ? failedWith(Answer, answer_code::InDoubt)
                     : !Answer.Error);
    cr_assert(Fleet.Group.callerStatements().size() == (Writes ? 1 : 2));
    cr_assert(Fleet.Standby.connects() == (Writes ? 0 : 1));
  }
}

// The owner is stopped with a write that it has received. Its caller is told
// that the write may have run when the owner is suspect, and not only when the
// time for the write is over, which would be answered with Timeout.
Test(standby_owner, ends_statements_at_a_frozen_owner) {
  standby_fleet Fleet;
  Fleet.freezeOwner();
  Fleet.suspectOwnerSoon();
  caller_session Session = Fleet.First.Core.open("strict");
  cr_assert(failedWith(Fleet.First.Core.write(Session), answer_code::InDoubt));
  cr_assert(Fleet.Group.Received.empty());
  cr_assert(!Fleet.First.Core.write(Session).Error);
  cr_assert(Fleet.Standby.connects() == 1);
}

// A transaction is open at an owner that is suspect now. Its commit is not sent
// any more, so it must not be reported as in doubt.
Test(standby_owner, aborts_transactions_of_a_lost_owner) {
  standby_fleet Fleet;
  core_fixture &Core = Fleet.First.Core;
  caller_session Session = Core.open("strict");
  Core.run(Session, statement_kind::Begin, "BEGIN");
  cr_assert(!Core.write(Session).Error);
  // Guards against the loss of what a living owner runs when only its
  // heartbeats are missing.
  Fleet.First.Client.abandon("owner", base::now());
  cr_assert(!Core.write(Session).Error);
  Fleet.First.Client.abandon("owner", base::now() + std::chrono::seconds(1));
  const std::size_t Before = Fleet.Group.Received.size();
  cr_assert(failedWith(Core.run(Session, statement_kind::Commit, "COMMIT"),
                       answer_code::Aborted));
  cr_assert(Fleet.Group.Received.size() == Before);
  while (Fleet.Owner.Server.pinnedLinks() != 0)
    Fleet.Context.run_one();
}

// One instance does not reach the owner, another does: both are served, at the
// same time, within what the endpoint accepts.
Test(standby_owner, serves_beside_an_owner_that_others_reach) {
  standby_fleet Fleet;
  constexpr std::size_t Accepted = 7;
  Fleet.Group.MaxConnections = Accepted;
  poolOf(Fleet.Owner.Core.Set, "p")
      ->setLimits(limitsFor(owner_role::Owner, Accepted, 4));
  poolOf(Fleet.Standby.Core.Set, "p")
      ->setLimits(limitsFor(owner_role::Standby, Accepted, 4));
  Fleet.First.Suspect = "owner";
  for (const char *Key : {"key", "key2"})
    for (caller_fixture *Caller : {&Fleet.First, &Fleet.Second}) {
      caller_session Session = Caller->Core.open("strict", Key);
      cr_assert(!Caller->Core.write(Session).Error);
    }
  cr_assert(Fleet.Owner.connects() == 2 && Fleet.Standby.connects() == 2);
  cr_assert(Fleet.Group.Refusals == 0);
  cr_assert(Fleet.Group.callerStatements().size() == 4);
}

// Owner and standby are lost together, as with their machine: the caller's
// instance connects to the endpoint itself.
Test(standby_owner, connects_directly_without_owner_and_standby) {
  standby_fleet Fleet;
  Fleet.Owner.Server.stop();
  Fleet.Standby.Server.stop();
  caller_session Session = Fleet.First.Core.open("strict");
  cr_assert(!Fleet.First.Core.write(Session).Error);
  cr_assert(Fleet.Group.callerStatements().size() == 1);
  cr_assert(poolOf(Fleet.First.Core.Set, "p")->connects() == 1);
}

// The whole fleet restarts. Instances that know nobody else connect themselves;
// as soon as all know each other there is one owner and one standby.
Test(standby_owner, agrees_after_a_restart_of_all) {
  const std::vector<owned_endpoint> Endpoints = {{"p", "z"}};
  const std::vector<owner_candidate> All = {
      {"a", "z", 0.1}, {"b", "z", 0.5}, {"c", "z", 0.1}};
  std::multiset<owner_role> Roles;
  for (const owner_candidate &Self : All) {
    const auto Alone = assignOwners(Endpoints, {Self});
    cr_assert(roleOf(Alone.front(), Self.Name) == owner_role::Owner);
    cr_assert(runnerOf(Alone.front(), Self.Name, {}) == Self.Name);
    Roles.insert(roleOf(assignOwners(Endpoints, All).front(), Self.Name));
  }
  using enum owner_role;
  cr_assert(Roles == std::multiset({Owner, Standby, Other}));
}
