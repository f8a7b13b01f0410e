#include "redwinggw/session/homes.hpp"

#include "fake_endpoint.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using namespace redwinggw::session::testing;

namespace {

/// The endpoints p and r2 are in the region eu and r1 in us; the restrictions
/// are those of all routes and of the customer "acme".
struct home_fixture : core_fixture {
  home_fixture() {
    place("r1", "z2");
    Core.Regions.ByZone = {{"z1", "eu"}, {"z2", "us"}};
  }
  void place(const char *Endpoint, const char *Zone) {
    const pool_ptr Pool = poolOf(Set, Endpoint);
    endpoint_entry Entry = Pool->entry();
    Entry.Zone = Zone;
    Pool->setEntry(Entry);
    Set.Directory.Endpoints.at(Endpoint).Entry = Entry;
  }
  void restrict(const home_regions &OfRoutes, const home_regions &OfCustomer) {
    auto Table = std::make_shared<route_table>(*Routes);
    for (auto &[Name, Route] : Table->Routes)
      Route.Homes = OfRoutes;
    Table->CustomerHomes["acme"] = OfCustomer;
    Routes = Table;
  }
  bool hasReached(std::string_view Endpoint) const {
    return std::ranges::any_of(Group.Received,
                               [&](const received_statement &Statement) {
                                 return Statement.Endpoint == Endpoint;
                               });
  }
};

/// Counts the statements that are forwarded to an owner.
class counting_link final : public forwarding_link {
public:
  counting_link(std::string Zone, unsigned &Forwarded)
      : Zone(std::move(Zone)), Forwarded(Forwarded) {}
  base::task<forwarding_reply> run(const link_statement &, base::instant,
                                   base::instant) override {
    ++Forwarded;
    forwarding_reply Reply;
    Reply.Exchange.Outcome = exchange_outcome::Answered;
    co_return Reply;
  }
  std::string_view owner() const override { return "owner"; }
  std::string_view zone() const override { return Zone; }

private:
  std::string Zone;
  unsigned &Forwarded;
};

} // namespace

// Guards against one restriction that replaces the other, and against zones of
// an unknown region.
Test(homes, apply_both_restrictions) {
  const zone_regions Regions{{{"z1", "eu"}, {"z2", "us"}}};
  const home_regions Both{"eu", "us"};
  const home_regions Us{"us"};
  const home_regions None;
  cr_assert(isHome(Regions, {}, "z9") && isHome(Regions, {&None, &None}, "z9"));
  cr_assert(!isHome(Regions, {&Both, nullptr}, "z9"));
  cr_assert(isHome(Regions, {&Both, nullptr}, "z1"));
  cr_assert(!isHome(Regions, {&Both, &Us}, "z1"));
  cr_assert(!isHome(Regions, {&Us, &Both}, "z1"));
  cr_assert(isHome(Regions, {&Both, &Us}, "z2"));
}

// Guards against reads that run outside the home regions of a route or of a
// customer.
Test(homes, keep_reads_at_home) {
  for (const bool ByRoute : {true, false}) {
    home_fixture Fixture;
    caller_session Session = Fixture.open("bounded");
    cr_assert(!Fixture.write(Session).Error);
    Fixture.restrict(ByRoute ? home_regions{"us"} : home_regions{},
                     ByRoute ? home_regions{} : home_regions{"us"});
    Fixture.Group.Received.clear();
    for (int Reads = 0; Reads < 20; ++Reads)
      cr_assert(!Fixture.read(Session).Error);
    cr_assert(Fixture.hasReached("r1"));
    cr_assert(!Fixture.hasReached("p") && !Fixture.hasReached("r2"));
  }
}

// Guards against a write that runs outside the home regions, and against a
// refusal that does not say why.
Test(homes, refuse_what_no_endpoint_at_home_can_run) {
  home_fixture Fixture;
  Fixture.restrict({"eu", "us"}, {"us"});
  caller_session Session = Fixture.open("own");
  const answer Answer = Fixture.write(Session);
  cr_assert(Answer.Error && Answer.Error->Code == answer_code::Busy);
  cr_assert(Answer.Error->Reason ==
            "no endpoint of s that can serve this is in a home region (eu, us "
            "and us); retry after 2000 ms");
  cr_assert(Fixture.Group.Received.empty());
}

// Guards against a refusal by an instance that has just started: without a log
// position only the primary, which is away, can serve a read.
Test(homes, wait_for_an_endpoint_at_home) {
  home_fixture Fixture;
  caller_session Session = Fixture.open("bounded");
  cr_assert(!Fixture.write(Session).Error);
  const auto Samples = std::exchange(Fixture.Set.Samples, {});
  Fixture.restrict({"us"}, {});
  boost::asio::steady_timer Timer(Fixture.Context, base::milliseconds(5));
  Timer.async_wait([&](auto) { Fixture.Set.Samples = Samples; });
  cr_assert(!Fixture.read(Session).Error);
  cr_assert(Fixture.Group.Received.back().Endpoint == "r1");
}

// Guards against an open transaction that goes on outside the home regions
// after a change of the configuration.
Test(homes, abort_transactions_that_are_away) {
  for (const bool Commits : {true, false}) {
    home_fixture Fixture;
    caller_session Session = Fixture.open("own");
    Fixture.run(Session, statement_kind::Begin, "BEGIN");
    cr_assert(!Fixture.write(Session).Error);
    Fixture.restrict({}, {"us"});
    const std::size_t Before = Fixture.Group.callerStatements().size();
    const answer Answer =
        Commits ? Fixture.run(Session, statement_kind::Commit, "COMMIT")
                : Fixture.write(Session);
    cr_assert(Answer.Error && Answer.Error->Code == answer_code::Aborted);
    cr_assert(Fixture.Group.callerStatements().size() == Before);
  }
}

// Guards against a transaction that loses its home regions with its route: its
// first statement would run at any endpoint.
Test(homes, remain_when_the_route_of_a_transaction_is_removed) {
  home_fixture Fixture;
  Fixture.restrict({"us"}, {});
  caller_session Session = Fixture.open("own");
  Fixture.run(Session, statement_kind::Begin, "BEGIN");
  auto Table = std::make_shared<route_table>(*Fixture.Routes);
  Table->Routes.erase("own");
  Fixture.Routes = Table;
  cr_assert(Fixture.write(Session).Error);
  cr_assert(Fixture.Group.Received.empty());
}

// Guards against a text that is forwarded to an instance outside the home
// regions: this instance connects to the endpoint itself.
Test(homes, forward_to_instances_at_home_only) {
  for (const char *Zone : {"z1", "z2", "z9"}) {
    home_fixture Fixture;
    unsigned Forwarded = 0;
    Fixture.Core.Ports.Forward = [&](const endpoint_entry &, std::string_view,
                                     unsigned) {
      return std::make_unique<counting_link>(Zone, Forwarded);
    };
    Fixture.restrict({"eu"}, {});
    caller_session Session = Fixture.open("strict");
    cr_assert(!Fixture.write(Session).Error);
    const bool AtHome = std::string_view(Zone) == "z1";
    cr_assert(Forwarded == (AtHome ? 1 : 0));
    cr_assert(Fixture.Group.Received.empty() == AtHome);
  }
}
