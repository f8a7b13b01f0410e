#include "redwinggw/control/membership_reports.hpp"
#include "redwinggw/control/relays.hpp"

#include "relay_fleet.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

/// How often log positions arrive at instance \p At within \p Time, and the
/// longest time between two of them.
std::pair<std::size_t, milliseconds>
positionsWithin(fleet &Fleet, std::size_t At, milliseconds Time) {
  constexpr milliseconds Step{50};
  std::map<std::string, std::uint64_t> Last;
  std::size_t Count = 0;
  milliseconds Gap{0};
  milliseconds Longest{0};
  for (milliseconds Past{0}; Past < Time; Past += Step) {
    run(Fleet, Step);
    Gap += Step;
    for (const member &Member : Fleet.Instances[At].Membership.Members) {
      const bool Arrived = std::exchange(Last[Member.Name], Member.Heartbeat) !=
                               Member.Heartbeat &&
                           !Member.Report.Positions.empty();
      Count += Arrived ? 1 : 0;
      if (Arrived)
        Gap = {};
    }
    Longest = std::max(Longest, Gap);
  }
  return {Count, Longest};
}

} // namespace

// Guards against log positions whose age leaves out the time until the answer
// was sent.
Test(relayed_positions, do_not_make_positions_look_younger) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(2000));
  membership &Relay = Fleet.Instances[relaysOf(Fleet).front()].Membership;
  Relay.Local.Positions = {{1, 1, 1, 40}};
  Relay.LocalAt = Fleet.Now;
  const std::size_t Asker = 40;
  cr_assert(Relay.Self.Zone == Fleet.Instances[Asker].Membership.Self.Zone);
  for (peer_send &Send : onTick(Fleet.Instances[Asker].Membership,
                                Fleet.Now + milliseconds(200))) {
    if (Send.Datagram.Receiver != Relay.Self.Name)
      continue;
    cr_assert(admitDatagram(Relay, Send.Datagram));
    const auto Answers =
        onHeartbeat(Relay, Send.Datagram, Fleet.Now + milliseconds(190));
    cr_assert(Answers.size() == 1);
    const auto &Report =
        std::get<wire::peer_report>(Answers.front().Datagram.Body);
    cr_assert(Report.Positions.front().Age == 230);
    return;
  }
  cr_assert(false, "nobody was asked");
}

// Guards against members that are listed by position for a list which the
// receiver has replaced meanwhile.
Test(relayed_positions, do_not_apply_positions_in_another_list) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(2000));
  const membership &Relay = Fleet.Instances[relaysOf(Fleet).front()].Membership;
  const member &Asker = *findMember(Relay, "i40");
  wire::fleet_digest Digest =
      digestFor(Relay, Asker, wire::digest_scope::Fleet, Fleet.Now);
  cr_assert(Digest.Members.empty() && Digest.Packed.Entries.size() == 60);
  membership &Receiver = Fleet.Instances[40].Membership;
  wire::fleet_digest Same = Digest;
  unpackMembers(Receiver, Same);
  cr_assert(Same.Members.size() == 58, "%zu", Same.Members.size());
  std::vector<storage::listed_instance> List;
  for (std::size_t Index = 1; Index < 60; ++Index)
    List.push_back(listed(Index));
  onList(Receiver, List, Fleet.Now);
  unpackMembers(Receiver, Digest);
  cr_assert(Digest.Members.empty());
}

// Guards against positions that each instance gets twice, and against a long
// time without any when the relay that sends them dies: reads that may be stale
// would all go to the primary.
Test(relayed_positions, send_positions_once_and_go_on_when_one_dies) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(2000));
  for (const std::size_t Relay : relaysOf(Fleet))
    Fleet.Instances[Relay].Membership.Local.Positions = {{1, 1, 1, 40}};
  run(Fleet, milliseconds(1000));
  constexpr std::size_t Reader = 40;
  // Five answers a second of one relay, and a few of the other.
  const auto [Count, Gap] = positionsWithin(Fleet, Reader, milliseconds(3000));
  cr_assert(Count >= 15 && Count <= 20, "%zu", Count);
  const auto Relays = relaysOf(Fleet);
  const std::size_t OfOtherZone = 1;
  cr_assert(Fleet.Instances[OfOtherZone].Membership.Relay);
  cr_assert(positionsWithin(Fleet, OfOtherZone, milliseconds(3000)).first <=
            25);
  Fleet.Instances[Relays.front()].Up = false;
  const auto After = positionsWithin(Fleet, Reader, milliseconds(3000));
  cr_assert(After.second <= milliseconds(800), "%td",
            static_cast<std::ptrdiff_t>(After.second.count()));
}

// Guards against reports that return to a relay what came from one, and against
// leaving out what only the sender knows.
Test(relayed_positions, get_only_positions_that_they_have_not_sent) {
  fleet Fleet = makeFleet(60);
  run(Fleet, milliseconds(2000));
  membership &Reader = Fleet.Instances[40].Membership;
  member &Relay = Reader.Members.front();
  Relay.ReportAt = Fleet.Now - milliseconds(100);
  Relay.Report.Positions = {{1, 1, 5, 40}, {2, 1, 5, 40}, {3, 1, 5, 40}};
  std::vector<wire::position_report> Positions{
      {1, 1, 5, 140}, {2, 1, 6, 139}, {3, 2, 5, 140}, {4, 1, 5, 140}};
  removeRelayedPositions(Reader, Positions, Fleet.Now);
  cr_assert(Positions == std::vector<wire::position_report>(
                             {{2, 1, 6, 139}, {3, 2, 5, 140}, {4, 1, 5, 140}}));
}

// Guards against log positions of all services of a large fleet in each answer,
// of which an instance uses few.
Test(relayed_positions, send_positions_of_services_that_the_receiver_uses) {
  std::vector<wire::position_report> Positions;
  for (std::uint32_t Group = 1; Group <= 1000; ++Group)
    Positions.push_back({Group, 1, 1, 10});
  member Receiver;
  auto Kept = Positions;
  keepNeededPositions(Receiver, Kept);
  cr_assert(Kept.size() == 1000, "a build that does not tell gets all");
  Receiver.Report.Capacity = 0.5;
  Receiver.Report.Services = {7, 900, 5000};
  keepNeededPositions(Receiver, Kept);
  cr_assert(Kept.size() == 2 && Kept[0].Group == 7 && Kept[1].Group == 900);
}
