#include "redwinggw/control/peer_service.hpp"
#include "redwinggw/control/share_service.hpp"
#include "redwinggw/http/server.hpp"

#include "platform/platform.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <functional>
#include <memory>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using base::milliseconds;

namespace {

namespace asio = boost::asio;
const http::address AnyPort{"127.0.0.1", 0};
constexpr double Burst = 60;

struct instance {
  storage::store Store;
  std::unique_ptr<peer_service> Peers;
  std::unique_ptr<share_service> Shares;
  http::address Address;
};

/// Instances with real sockets and a stand-in for the platform, in one process.
struct running_fleet {
  asio::io_context Context;
  standin::platform_standin Platform{Context.get_executor(), milliseconds(0)};
  http::server Server{Context.get_executor(),
                      {},
                      [this](http::connection &, http::request Request) {
                        return Platform.handle(std::move(Request));
                      }};
  std::vector<instance> Instances;
};

base::task<void> sendToPlatform(standin::platform_standin &Platform,
                                http::request Request) {
  co_await Platform.handle(std::move(Request));
}

void registerInstance(running_fleet &Fleet, const std::string &Name,
                      const http::address &Peers) {
  http::request Request;
  Request.Target = "/admin/instance";
  Request.Body =
      boost::json::serialize(boost::json::object{{"name", Name},
                                                 {"zone", "z"},
                                                 {"peers", toText(Peers)},
                                                 {"callers", "127.0.0.1:1"},
                                                 {"operators", "127.0.0.1:1"},
                                                 {"state", "live"}});
  asio::co_spawn(Fleet.Context,
                 sendToPlatform(Fleet.Platform, std::move(Request)),
                 asio::detached);
}

std::unique_ptr<running_fleet> startFleet(std::size_t Count,
                                          share_options Options = {}) {
  auto Fleet = std::make_unique<running_fleet>();
  const auto Executor = Fleet->Context.get_executor();
  const http::address Platform = Fleet->Server.listen(AnyPort).value();
  Fleet->Instances.resize(Count);
  configuration Configuration;
  Configuration.Customers.push_back({"sweets", 10, Burst});
  for (std::size_t Index = 0; Index < Count; ++Index) {
    instance &Instance = Fleet->Instances[Index];
    const std::string Name(1, static_cast<char>('a' + Index));
    Instance.Store = {Executor, Platform, Name};
    Instance.Peers =
        std::make_unique<peer_service>(Executor, peer_identity{Name, "z", 1},
                                       AnyPort, "fleet key", Instance.Store);
    Instance.Address = Instance.Peers->start().value();
    Instance.Shares = std::make_unique<share_service>(Executor, *Instance.Peers,
                                                      Instance.Store, Options);
    Instance.Shares->start();
    Instance.Shares->apply(Configuration);
    registerInstance(*Fleet, Name, Instance.Address);
  }
  return Fleet;
}

/// Runs until \p Done, or for 30 s; true when it was done. Each instance
/// reports a read of the store every 10 ms, in place of the configuration
/// service.
bool runUntil(running_fleet &Fleet, const std::function<bool()> &Done) {
  const base::instant Cap = base::now() + milliseconds(30000);
  while (!Done() && base::now() < Cap) {
    Fleet.Context.run_for(milliseconds(10));
    for (const instance &Instance : Fleet.Instances)
      Instance.Peers->noteStoreRead(base::now(), base::now(), 0);
  }
  return Done();
}

void stopFleet(running_fleet &Fleet) {
  for (const instance &Instance : Fleet.Instances) {
    Instance.Shares->stop();
    Instance.Peers->stop();
  }
  Fleet.Server.drain();
  Fleet.Context.run_for(milliseconds(100));
}

bool seesAllAlive(const instance &Instance, std::size_t Others) {
  const auto &Members = Instance.Peers->view().Members;
  return Members.size() == Others &&
         std::ranges::all_of(Members, [](const member &Member) {
           return Member.State == member_state::Alive;
         });
}

bool allSeeAllAlive(const running_fleet &Fleet) {
  return std::ranges::all_of(Fleet.Instances, [&](const instance &Instance) {
    return seesAllAlive(Instance, Fleet.Instances.size() - 1);
  });
}

bool isCurrent(const instance &Instance) {
  return Instance.Peers->configFreshness(base::now()) ==
         config_freshness::Current;
}

struct admission_counts {
  std::size_t Admitted = 0;
  std::size_t OverRate = 0;
  std::size_t total() const { return Admitted + OverRate; }
};

base::task<void> request(share_service &Shares, admission_counts &Counts) {
  const base::instant Deadline = base::now() + milliseconds(20000);
  const auto Answer = co_await Shares.admit("sweets", Deadline);
  if (Answer)
    ++Counts.Admitted;
  else if (kindOf(Answer.error()) == base::errc::OverRate)
    ++Counts.OverRate;
}

admission_counts requestAtAll(running_fleet &Fleet, std::size_t Each) {
  admission_counts Counts;
  for (const instance &Instance : Fleet.Instances)
    for (std::size_t Count = 0; Count < Each; ++Count)
      asio::co_spawn(Fleet.Context, request(*Instance.Shares, Counts),
                     asio::detached);
  const std::size_t Sent = Each * Fleet.Instances.size();
  cr_assert(runUntil(Fleet, [&] { return Counts.total() == Sent; }));
  return Counts;
}

} // namespace

Test(peer_service, instances_find_each_other_and_share_one_budget) {
  const auto Fleet = startFleet(3);
  cr_assert(runUntil(*Fleet, [&] { return allSeeAllAlive(*Fleet); }));
  cr_assert(std::ranges::all_of(Fleet->Instances, isCurrent));
  // The bucket of a new customer is empty; these wait for the share allocator.
  cr_assert(requestAtAll(*Fleet, 2).Admitted == 6);
  // Far more than the rate allows: all are answered, most are refused.
  const admission_counts Counts = requestAtAll(*Fleet, 500);
  cr_assert(Counts.OverRate > 1200);
  double Given = 0;
  for (const instance &Instance : Fleet->Instances)
    Given += Instance.Shares->status().Allocated;
  cr_assert(Given >= static_cast<double>(Counts.Admitted + 6));
  stopFleet(*Fleet);
}

Test(peer_service, a_drained_giver_hands_over_and_is_seen_leaving) {
  const auto Fleet = startFleet(3);
  const auto Leases = [&](std::size_t Index) {
    return Fleet->Instances[Index].Shares->status().Leases;
  };
  cr_assert(runUntil(*Fleet, [&] {
    return Leases(0) + Leases(1) + Leases(2) == 16 && Leases(0) > 0;
  }));
  Fleet->Instances[0].Shares->drain();
  Fleet->Instances[0].Peers->drain();
  cr_assert(runUntil(
      *Fleet, [&] { return Leases(0) == 0 && Leases(1) + Leases(2) == 16; }));
  const membership &View = Fleet->Instances[1].Peers->view();
  cr_assert(findMember(View, "a")->State == member_state::Leaving);
  stopFleet(*Fleet);
}

Test(peer_service, foreign_datagrams_are_dropped_and_counted) {
  const auto Fleet = startFleet(1);
  asio::ip::udp::socket Socket(Fleet->Context, asio::ip::udp::v4());
  const auto &Address = Fleet->Instances[0].Address;
  Socket.send_to(asio::buffer("not one of ours"),
                 {asio::ip::make_address(Address.Host), Address.Port});
  const membership &View = Fleet->Instances[0].Peers->view();
  cr_assert(runUntil(*Fleet, [&] { return View.Counters.UnknownSender == 1; }));
  stopFleet(*Fleet);
}

Test(peer_service, the_static_baseline_gives_each_instance_its_part) {
  share_options Options;
  Options.Policy = share_policy::Static;
  const auto Fleet = startFleet(3, Options);
  cr_assert(runUntil(*Fleet, [&] { return allSeeAllAlive(*Fleet); }));
  const admission_counts Counts = requestAtAll(*Fleet, 100);
  cr_assert(Counts.Admitted < static_cast<std::size_t>(Burst));
  cr_assert(Counts.OverRate == 300 - Counts.Admitted);
  stopFleet(*Fleet);
}
