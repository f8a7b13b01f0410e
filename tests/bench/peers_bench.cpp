// Measures what membership and rate shares cost each instance: bytes, datagrams
// and CPU time by the number of instances, customers and requests. Decisions
// and serialisation are the real code; time is simulated, so that a run takes
// only as long as its work. --udp adds a few sizes over real sockets.

#include "peers_fleet.hpp"

#include "redwinggw/control/centralized_buckets.hpp"
#include "redwinggw/control/peer_service.hpp"
#include "redwinggw/http/server.hpp"

#include "platform/platform.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <deque>
#include <memory>
#include <random>
#include <string_view>

using namespace redwinggw;
using namespace redwinggw::bench;
using namespace redwinggw::control;
using base::instant;
using base::microseconds;
using base::milliseconds;

namespace {

double cpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double heardPart(const bench_fleet &Fleet) {
  const membership &View = Fleet.Nodes.front().Membership;
  const auto Heard =
      std::ranges::count_if(View.Members, [&](const member &Member) {
        return isInContact(View, Member, Fleet.Now);
      });
  return static_cast<double>(Heard) / static_cast<double>(View.Members.size());
}

void benchMembership(std::size_t Count) {
  constexpr milliseconds Step{50};
  constexpr milliseconds WarmUp{5000};
  constexpr milliseconds Time{10000};
  bench_fleet Fleet = makeFleet(Count);
  const instant Start = Fleet.Now + WarmUp;
  for (; Fleet.Now < Start; Fleet.Now += Step)
    heartbeats(Fleet);
  Fleet.Traffic = {};
  const double Before = cpuSeconds();
  for (; Fleet.Now < Start + Time; Fleet.Now += Step)
    heartbeats(Fleet);
  const double Seconds = std::chrono::duration<double>(Time).count();
  const double NodeSeconds = Seconds * static_cast<double>(Count);
  std::printf("%9zu %12.1f %12.0f %14.3f %10.2f\n", Count,
              Fleet.Traffic.Datagrams / NodeSeconds,
              Fleet.Traffic.Bytes / NodeSeconds,
              100 * (cpuSeconds() - Before) / NodeSeconds, heardPart(Fleet));
}

constexpr std::size_t DemandCustomers = 70;

std::string customerName(std::size_t Index) {
  return "customer-" + std::to_string(Index);
}

void acceptPositions(bench_node &Node) {
  for (const member &Member : Node.Membership.Members)
    for (const wire::position_report &Position : Member.Report.Positions)
      if (Member.ReportAt)
        Node.SampledAt[Position.Group] =
            std::max(Node.SampledAt[Position.Group],
                     *Member.ReportAt - milliseconds(Position.Age));
}

/// What the instance reports in its next heartbeats: the demand of its callers,
/// and the log positions of seven services.
void completeHeartbeat(bench_node &Node, std::mt19937 &Random, instant Now) {
  acceptPositions(Node);
  membership &Membership = Node.Membership;
  wire::peer_report &Report = Membership.Local;
  Report.Demands = announceDemand(Node.Demands, Now);
  const bool InContact = inContactWithMajority(Membership, Now);
  divideRates(Node.Demands, Membership, InContact, Now);
  centralizeBuckets(Node.Demands, Membership, InContact, Now);
  Report.CentralizesBuckets = hasCentralizedBuckets(Node.Demands, Now);
  Membership.ZoneDigest.Demands = zoneDemands(Node.Demands);
  Membership.FleetDigest.Demands = fleetDemands(Node.Demands);
  Report.Positions.clear();
  for (std::size_t Service = 0; Service < Services; ++Service) {
    // Two heartbeats in five follow a statement of this instance that the
    // service's primary has answered.
    if (Random() % 5 < 2)
      Node.SampledAt[Service] = Now;
    const auto Age =
        std::chrono::ceil<milliseconds>(Now - Node.SampledAt[Service]);
    Report.Positions.push_back({static_cast<std::uint32_t>(Service), 1, 1,
                                static_cast<wire::age_ms>(Age.count())});
  }
  Membership.LocalAt = Now;
}

/// One step of an instance whose callers have \p Rate operations per second.
void stepWithDemand(bench_fleet &Fleet, std::mt19937 &Random, double Rate,
                    milliseconds Step) {
  std::poisson_distribution<> Arrivals(
      Rate * std::chrono::duration<double>(Step).count());
  for (bench_node &Node : Fleet.Nodes) {
    for (int Left = Arrivals(Random); Left > 0; --Left)
      takeDemandToken(Node.Demands, customerName(Random() % DemandCustomers), 0,
                      {}, Fleet.Now);
    if (isTickDue(Node.Membership, Fleet.Now))
      completeHeartbeat(Node, Random, Fleet.Now);
  }
  heartbeats(Fleet);
}

/// Heartbeats with the demand of DemandCustomers customers, 18 operations per
/// second at each instance.
void benchDemands(std::size_t Count) {
  constexpr milliseconds Step{50};
  constexpr milliseconds WarmUp{5000};
  constexpr milliseconds Time{5000};
  constexpr double Rate = 18;
  bench_fleet Fleet = makeFleet(Count);
  std::vector<customer> Customers(DemandCustomers);
  for (std::size_t Index = 0; Index < Customers.size(); ++Index) {
    Customers[Index].Name = customerName(Index);
    Customers[Index].Rate = 2 * Rate * static_cast<double>(Count) /
                            static_cast<double>(DemandCustomers);
    Customers[Index].Burst = Customers[Index].Rate;
  }
  for (bench_node &Node : Fleet.Nodes)
    applyRates(Node.Demands, Customers, Fleet.Now);
  std::mt19937 Random(1);
  const instant Start = Fleet.Now + WarmUp;
  for (; Fleet.Now < Start; Fleet.Now += Step)
    stepWithDemand(Fleet, Random, Rate, Step);
  Fleet.Traffic = {};
  Fleet.ByScope.clear();
  for (bench_node &Node : Fleet.Nodes)
    Node.Sent = {};
  for (; Fleet.Now < Start + Time; Fleet.Now += Step)
    stepWithDemand(Fleet, Random, Rate, Step);
  const double Seconds = std::chrono::duration<double>(Time).count();
  double Most = 0;
  for (const bench_node &Node : Fleet.Nodes)
    Most = std::max(Most, Node.Sent.Bytes / Seconds);
  std::printf("%9zu %12.0f %12.0f", Count,
              Fleet.Traffic.Bytes / Seconds / static_cast<double>(Count), Most);
  for (const auto Scope : {wire::digest_scope::None, wire::digest_scope::Zone,
                           wire::digest_scope::Fleet}) {
    const traffic &Sent = Fleet.ByScope[Scope];
    std::printf(" %12.0f", Sent.Bytes / std::max(1.0, Sent.Datagrams));
  }
  std::printf(" %10.2f\n", heardPart(Fleet));
}

struct share_load {
  std::size_t Instances = 8;
  std::size_t Customers = 8;
  double RequestsPerSecond = 1000;
};

void requestAt(bench_fleet &Fleet, std::size_t Index,
               const std::string &Customer) {
  bench_node &Node = Fleet.Nodes[Index];
  if (takeToken(Node.Shares.Consumer, Customer, Fleet.Now)) {
    ++Fleet.Spent;
    return;
  }
  ++Fleet.Waited;
  waitForToken(Node.Shares.Consumer, Customer, Fleet.Now,
               Fleet.Now + milliseconds(1000));
  carryOut(Fleet, Index,
           requestTokens(Node.Shares, Node.Membership, Fleet.Now));
}

void benchShares(const share_load &Load) {
  constexpr milliseconds Step{1};
  constexpr int ShareTick = 5;
  constexpr int HeartbeatTick = 50;
  constexpr int WarmUp = 5000;
  constexpr int Steps = 5000;
  bench_fleet Fleet = makeFleet(Load.Instances);
  std::vector<customer> Customers(Load.Customers);
  const double Rate =
      2 * Load.RequestsPerSecond / static_cast<double>(Load.Customers);
  for (std::size_t Index = 0; Index < Customers.size(); ++Index) {
    Customers[Index].Name = "customer-" + std::to_string(Index);
    Customers[Index].Rate = Rate;
    Customers[Index].Burst = std::max(10.0, Rate);
  }
  std::ranges::for_each(Fleet.Nodes, [&](bench_node &Node) {
    applyPlans(Node.Shares, Customers, Fleet.Now);
  });
  std::mt19937 Random(1);
  std::poisson_distribution<> Arrivals(Load.RequestsPerSecond / 1000);
  double Before = 0;
  traffic Heartbeats;
  for (int At = 0; At < WarmUp + Steps; ++At, Fleet.Now += Step) {
    if (At == WarmUp) {
      Fleet.Traffic = {};
      Fleet.Spent = Fleet.Waited = 0;
      Before = cpuSeconds();
    }
    if (At % HeartbeatTick == 0) {
      const traffic Sent = Fleet.Traffic;
      heartbeats(Fleet);
      Fleet.Traffic = Sent;
    }
    if (At % ShareTick == 0)
      for (std::size_t Index = 0; Index < Fleet.Nodes.size(); ++Index)
        carryOut(Fleet, Index,
                 onShareTick(Fleet.Nodes[Index].Shares,
                             Fleet.Nodes[Index].Membership, Fleet.Now));
    for (int Count = Arrivals(Random); Count > 0; --Count)
      requestAt(Fleet, Random() % Load.Instances,
                Customers[Random() % Load.Customers].Name);
  }
  const double NodeSeconds = 5.0 * static_cast<double>(Load.Instances);
  std::printf("%9zu %9zu %10.0f %12.1f %12.0f %14.3f %10.3f\n", Load.Instances,
              Load.Customers, Load.RequestsPerSecond,
              Fleet.Traffic.Datagrams / NodeSeconds,
              Fleet.Traffic.Bytes / NodeSeconds,
              100 * (cpuSeconds() - Before) / NodeSeconds,
              static_cast<double>(Fleet.Waited) /
                  static_cast<double>(std::max<std::uint64_t>(1, Fleet.Spent)));
}

base::task<void> tell(standin::platform_standin &Platform,
                      http::request Request) {
  co_await Platform.handle(std::move(Request));
}

http::request enlisting(const std::string &Name, const http::address &Peers) {
  http::request Request;
  Request.Target = "/admin/instance";
  Request.Body =
      boost::json::serialize(boost::json::object{{"name", Name},
                                                 {"zone", "zone-a"},
                                                 {"peers", toText(Peers)},
                                                 {"callers", "127.0.0.1:1"},
                                                 {"operators", "127.0.0.1:1"},
                                                 {"state", "live"}});
  return Request;
}

/// Runs over real sockets, all instances on one thread; the CPU time includes
/// polling the list of instances and the platform stand-in's part of that.
void benchUdp(std::size_t Count) {
  constexpr milliseconds WarmUp{3000};
  constexpr milliseconds Time{5000};
  boost::asio::io_context Context;
  const auto Executor = Context.get_executor();
  standin::platform_standin Platform(Executor, milliseconds(0));
  http::server Server(Executor, {},
                      [&](http::connection &, http::request Request) {
                        return Platform.handle(std::move(Request));
                      });
  const http::address AnyPort{"127.0.0.1", 0};
  const http::address Address = Server.listen(AnyPort).value();
  std::deque<storage::store> Stores;
  std::vector<std::unique_ptr<peer_service>> Peers;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const std::string Name = nodeName(Index);
    Stores.push_back({Executor, Address, Name});
    Peers.push_back(std::make_unique<peer_service>(
        Executor, peer_identity{Name, "zone-a", 1}, AnyPort, Key,
        Stores.back()));
    const http::address Bound = Peers.back()->start().value();
    boost::asio::co_spawn(Executor, tell(Platform, enlisting(Name, Bound)),
                          boost::asio::detached);
  }
  Context.run_for(WarmUp);
  const peer_traffic Start = Peers.front()->traffic();
  const double Before = cpuSeconds();
  Context.run_for(Time);
  const double Seconds = std::chrono::duration<double>(Time).count();
  const peer_traffic End = Peers.front()->traffic();
  const auto Datagrams =
      static_cast<double>(End.SentDatagrams - Start.SentDatagrams);
  const auto Bytes = static_cast<double>(End.SentBytes - Start.SentBytes) +
                     Datagrams * static_cast<double>(HeaderBytes);
  std::printf("%9zu %12.1f %12.0f %14.3f\n", Count, Datagrams / Seconds,
              Bytes / Seconds,
              100 * (cpuSeconds() - Before) / Seconds /
                  static_cast<double>(Count));
  std::ranges::for_each(Peers, [](const auto &Each) { Each->stop(); });
  Server.drain();
  Context.run_for(milliseconds(100));
}

/// Bytes of a request for one operation's token and of its answer, in the long
/// and the short form.
void benchTokenMessages() {
  for (const auto Kind : {wire::share_kind::Take, wire::share_kind::Grant}) {
    wire::datagram Datagram;
    Datagram.Sender = "instance-21";
    Datagram.Receiver = "instance-42";
    Datagram.Incarnation = 1'800'000'000'000;
    Datagram.Sequence = 100'000;
    wire::share_message Message;
    Message.Kind = Kind;
    Message.Number = 10'000;
    Message.Entries.push_back({customerName(1), 1, 40'000, 0, 1});
    Datagram.Body = Message;
    const std::size_t Long = wire::encode(Key, Datagram).size();
    Datagram.Hashes = wire::name_hashes{};
    const std::size_t Short = wire::encode(Key, Datagram).size();
    std::printf("%s %zu %zu\n",
                Kind == wire::share_kind::Take ? "request" : "answer ",
                Long + HeaderBytes, Short + HeaderBytes);
  }
}

} // namespace

int main(int Count, char **Arguments) {
  std::puts("membership, sent a node (bytes with IP and UDP headers)");
  std::puts("instances  datagrams/s      bytes/s  % of one core  heard part");
  for (const std::size_t Size : {2, 4, 8, 16, 17, 32, 64, 128, 256, 790})
    benchMembership(Size);
  std::puts(
      "\nmembership with the demand of 70 customers, bytes/s sent a node, "
      "and mean bytes of a datagram by kind");
  std::puts(
      "instances         mean         most    heartbeat   zone state      "
      " answer heard part");
  for (const std::size_t Size : {16, 30, 58, 128, 300})
    benchDemands(Size);
  std::puts("\nbytes of a request for a token and its answer, long and short");
  benchTokenMessages();
  std::puts("\nshares, sent a node, without heartbeats");
  std::puts("instances customers requests/s  datagrams/s      bytes/s  % of "
            "one core  waited/spent");
  for (const double Requests : {100, 1000, 10000})
    benchShares({8, 8, Requests});
  for (const std::size_t Customers : {100, 1000, 10000})
    benchShares({8, Customers, 1000});
  for (const std::size_t Instances : {2, 4, 16, 32})
    benchShares({Instances, 8, 1000});
  if (Count < 2 || std::string_view(Arguments[1]) != "--udp")
    return 0;
  std::puts("\nmembership over real sockets, with polling of the list");
  std::puts("instances  datagrams/s      bytes/s  % of one core");
  for (const std::size_t Size : {2, 4, 8, 16, 32})
    benchUdp(Size);
  return 0;
}
