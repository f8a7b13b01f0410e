#include "peers_fleet.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <variant>

namespace redwinggw::bench {

using namespace control;
using base::instant;

std::string nodeName(std::size_t Index) {
  std::string Name = "instance-";
  Name += std::to_string(Index);
  return Name;
}

namespace {

std::size_t nodeIndex(const std::string &Name) {
  return std::stoul(Name.substr(Name.find('-') + 1));
}

/// Serialises, verifies and delivers a datagram.
void deliver(bench_fleet &Fleet, const wire::datagram &Sent) {
  const std::string Bytes = wire::encode(Key, Sent);
  const auto Size = static_cast<double>(Bytes.size() + HeaderBytes);
  const auto Count = [&](traffic &Traffic) {
    Traffic.Datagrams += 1;
    Traffic.Bytes += Size;
  };
  Count(Fleet.Traffic);
  Count(Fleet.Nodes[nodeIndex(Sent.Sender)].Sent);
  if (const auto *Report = std::get_if<wire::peer_report>(&Sent.Body))
    Count(Fleet.ByScope[Report->Digest.Scope]);
  const auto Datagram = wire::decode(Key, Bytes);
  const std::size_t To = nodeIndex(Sent.Receiver);
  bench_node &Node = Fleet.Nodes[To];
  if (!Datagram || !admitDatagram(Node.Membership, *Datagram))
    return;
  if (const auto *Share = std::get_if<wire::share_message>(&Datagram->Body)) {
    carryOut(Fleet, To,
             onShareMessage(Node.Shares, Node.Membership, Datagram->Sender,
                            *Share, Fleet.Now));
    return;
  }
  for (const peer_send &Send :
       onHeartbeat(Node.Membership, *Datagram, Fleet.Now))
    deliver(Fleet, Send.Datagram);
}

void commitNow(bench_fleet &Fleet, std::size_t Index,
               const storage::commit_request &Request) {
  std::vector<std::uint64_t> Versions;
  std::ranges::transform(
      Request.Puts, std::back_inserter(Versions), [&](const storage::put &Put) {
        Fleet.Table[Put.Key] = {Put.Key, ++Fleet.Version, Put.Value};
        return Fleet.Version;
      });
  onCommitAnswer(Fleet.Nodes[Index].Shares, Versions, Fleet.Now);
}

} // namespace

bench_fleet makeFleet(std::size_t Count) {
  bench_fleet Fleet;
  std::vector<storage::listed_instance> List(Count);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    constexpr std::size_t Zones = 6;
    List[Index].Name = nodeName(Index);
    List[Index].Zone = "zone-" + std::to_string(Index % Zones);
  }
  for (const storage::listed_instance &Self : List) {
    bench_node &Node = Fleet.Nodes.emplace_back();
    Node.Membership = makeMembership({Self.Name, Self.Zone, 1});
    onList(Node.Membership, List, Fleet.Now);
    Node.Shares = makeShareNode(Self.Name, 1, {});
  }
  return Fleet;
}

void carryOut(bench_fleet &Fleet, std::size_t Index, share_actions Actions) {
  bench_node &Node = Fleet.Nodes[Index];
  Fleet.Spent += static_cast<std::uint64_t>(
      std::ranges::count_if(Actions.Verdicts, &share_verdict::Admitted));
  if (Actions.Commit)
    commitNow(Fleet, Index, *Actions.Commit);
  if (Actions.Read) {
    std::vector<storage::row> Rows;
    std::ranges::copy(std::views::values(Fleet.Table),
                      std::back_inserter(Rows));
    onRows(Node.Shares, Rows, Fleet.Now);
  }
  for (share_send &Send : Actions.Sends) {
    wire::datagram Datagram = nextDatagram(Node.Membership, Send.To, Fleet.Now);
    Datagram.Body = std::move(Send.Message);
    deliver(Fleet, Datagram);
  }
}

void heartbeats(bench_fleet &Fleet) {
  for (bench_node &Node : Fleet.Nodes) {
    onStoreRead(Node.Membership, Fleet.Now, Fleet.Now, 1);
    for (const peer_send &Send : onTick(Node.Membership, Fleet.Now))
      deliver(Fleet, Send.Datagram);
  }
}

} // namespace redwinggw::bench
