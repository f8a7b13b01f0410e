#include "redwinggw/control/membership.hpp"

#include "redwinggw/base/enum_table.hpp"
#include "redwinggw/control/membership_knowledge.hpp"

#include <algorithm>
#include <iterator>

namespace redwinggw::control {
namespace {

using base::instant;

constexpr std::array StateNames = std::to_array<base::enum_name<member_state>>({
    {member_state::Alive, "alive"},
    {member_state::Suspect, "suspect"},
    {member_state::Dead, "dead"},
    {member_state::Leaving, "leaving"},
});

member *findMutable(membership &Membership, std::string_view Name) {
  const auto At =
      std::ranges::lower_bound(Membership.Members, Name, {}, &member::Name);
  const bool Found = At != Membership.Members.end() && At->Name == Name;
  return Found ? &*At : nullptr;
}

peer_send heartbeatTo(membership &Membership, const member &Member, bool Reply,
                      instant Now) {
  peer_send Send{Member.Address, stamp(Membership, Member.Name, Now)};
  wire::peer_report Report = localReport(Membership, Now);
  Report.EchoIncarnation = Member.Window.Incarnation;
  Report.EchoSequence = Member.Heartbeat;
  const bool Gossips = isGossiping(Membership);
  Report.WantsReply = Gossips && !Reply;
  if (Gossips && Reply)
    Report.Heard = heardMap(Membership, Now);
  Send.Datagram.Body = std::move(Report);
  return Send;
}

/// When our datagram that \p Report echoes left, if we can tell.
std::optional<instant> echoedAt(const membership &Membership,
                                const wire::peer_report &Report) {
  const bool Ours = Report.EchoIncarnation == Membership.Self.Incarnation &&
                    Report.EchoSequence > 0 &&
                    Report.EchoSequence <= Membership.Sequence;
  if (!Ours ||
      Membership.Sequence - Report.EchoSequence >= membership::SentSlots)
    return std::nullopt;
  return Membership.SentAt[Report.EchoSequence % membership::SentSlots];
}

member_state stateOf(const membership &Membership, const member &Member,
                     instant Now) {
  const membership_limits &Limits = Membership.Limits;
  const auto DeadAfter =
      isGossiping(Membership) ? Limits.GossipDeadAfter : Limits.DeadAfter;
  const auto SuspectAfter =
      isGossiping(Membership) ? Limits.GossipHearBound : Limits.SuspectAfter;
  const auto Silence = Now - Member.HeardAt.value_or(Member.Since);
  if (Silence > DeadAfter)
    return member_state::Dead;
  if (Member.ListedLeaving || Member.Report.Leaving)
    return member_state::Leaving;
  return !Member.HeardAt || Silence > SuspectAfter ? member_state::Suspect
                                                   : member_state::Alive;
}

void takeReport(member &Member, const wire::peer_report &Report) {
  std::vector<wire::demand_report> Former = std::move(Member.Report.Demands);
  Member.Report = Report;
  if (!Report.Full)
    Member.Report.Demands = std::move(Former);
}

/// A member that started again knows nothing of what it knew before.
void forgetFormerIncarnation(member &Member) {
  Member.Heartbeat = 0;
  Member.HeardAt.reset();
  Member.ReportAt.reset();
  Member.Report = {};
  Member.Informed = false;
  Member.KnownHead = 0;
}

} // namespace

std::string_view memberStateName(member_state State) {
  return base::nameOf(StateNames, State);
}

membership makeMembership(peer_identity Self, membership_limits Limits) {
  membership Membership;
  Membership.Self = std::move(Self);
  Membership.Limits = Limits;
  Membership.SentAt.resize(membership::SentSlots);
  return Membership;
}

wire::datagram stamp(membership &Membership, std::string_view Receiver,
                     instant Now) {
  wire::datagram Datagram;
  Datagram.Sender = Membership.Self.Name;
  Datagram.Receiver = Receiver;
  Datagram.Incarnation = Membership.Self.Incarnation;
  Datagram.Sequence = ++Membership.Sequence;
  Membership.SentAt[Datagram.Sequence % membership::SentSlots] = Now;
  return Datagram;
}

void onList(membership &Membership,
            const std::vector<storage::listed_instance> &Listed, instant Now) {
  std::vector<member> Members;
  for (const storage::listed_instance &Instance : Listed) {
    if (Instance.Name == Membership.Self.Name)
      continue;
    member *Known = findMutable(Membership, Instance.Name);
    member &Member =
        Members.emplace_back(Known != nullptr ? std::move(*Known) : member{});
    if (Known == nullptr)
      Member.Since = Now;
    Member.Name = Instance.Name;
    Member.Zone = Instance.Zone;
    Member.Address = Instance.Peers;
    Member.ListedLeaving = Instance.Leaving;
  }
  std::ranges::sort(Members, {}, &member::Name);
  Membership.Members = std::move(Members);
  Membership.ListKnown = true;
  indexList(Membership);
}

void onStranger(membership &Membership, const wire::datagram &Datagram,
                const http::address &From, instant Now) {
  const auto *Report = std::get_if<wire::peer_report>(&Datagram.Body);
  const bool Meant = Datagram.Receiver == Membership.Self.Name &&
                     Datagram.Sender != Membership.Self.Name;
  if (!Membership.Limits.AcceptStrangers || Report == nullptr || !Meant ||
      Report->Leaving)
    return;
  member &Member = Membership.Members.emplace_back();
  Member.Name = Datagram.Sender;
  Member.Zone = Report->Zone;
  Member.Address = From;
  Member.Since = Now;
  std::ranges::sort(Membership.Members, {}, &member::Name);
  indexList(Membership);
}

bool admitDatagram(membership &Membership, const wire::datagram &Datagram) {
  membership_counters &Counters = Membership.Counters;
  // A datagram recorded on its way to another instance is signed rightly.
  if (Datagram.Receiver != Membership.Self.Name) {
    ++Counters.Misaddressed;
    return false;
  }
  member *Member = findMutable(Membership, Datagram.Sender);
  if (Member == nullptr) {
    ++Counters.Foreign;
    return false;
  }
  if (Datagram.Incarnation > Member->Window.Incarnation)
    forgetFormerIncarnation(*Member);
  switch (wire::note(Member->Window, Datagram.Incarnation, Datagram.Sequence)) {
  case wire::freshness::Newest:
  case wire::freshness::Crossed:
    return true;
  case wire::freshness::Doubled:
    ++Counters.Doubled;
    return false;
  case wire::freshness::Former:
    break;
  }
  ++Counters.Former;
  return false;
}

std::vector<peer_send> onHeartbeat(membership &Membership,
                                   const wire::datagram &Datagram,
                                   instant Now) {
  const auto &Report = std::get<wire::peer_report>(Datagram.Body);
  // The wall clock stepped back over our restart, so the others take what we
  // send for a former incarnation's. They echo the number to get past.
  if (Report.EchoIncarnation > Membership.Self.Incarnation)
    Membership.Self.Incarnation = Report.EchoIncarnation + 1;
  member *Member = findMutable(Membership, Datagram.Sender);
  if (Member == nullptr)
    return {};
  if (Datagram.Sequence <= Member->Heartbeat) {
    ++Membership.Counters.Crossed;
    return {};
  }
  ++Membership.Counters.Heartbeats;
  Member->Heartbeat = Datagram.Sequence;
  Member->ArrivedAt = Now;
  takeReport(*Member, Report);
  const std::optional<instant> MadeAt = Membership.Limits.AgeByEcho
                                            ? echoedAt(Membership, Report)
                                            : std::optional(Now);
  learn(Membership, *Member, MadeAt, Now);
  std::vector<peer_send> Sends;
  if (Report.WantsReply)
    Sends.push_back(heartbeatTo(Membership, *Member, true, Now));
  return Sends;
}

std::vector<peer_send> onTick(membership &Membership, instant Now) {
  std::ranges::for_each(Membership.Members, [&](member &Member) {
    Member.State = stateOf(Membership, Member, Now);
  });
  const bool Gossips = isGossiping(Membership);
  const auto Interval =
      Gossips ? Membership.Limits.GossipInterval : Membership.Limits.Interval;
  if (Membership.Members.empty() ||
      (Membership.LastTick && Now - *Membership.LastTick < Interval))
    return {};
  Membership.LastTick = Now;
  std::vector<peer_send> Sends;
  if (Gossips) {
    const member &Next = nextPeer(Membership);
    Sends.push_back(heartbeatTo(Membership, Next, false, Now));
    return Sends;
  }
  std::ranges::transform(Membership.Members, std::back_inserter(Sends),
                         [&](const member &Member) {
                           return heartbeatTo(Membership, Member, true, Now);
                         });
  return Sends;
}

std::vector<peer_send> onLeave(membership &Membership, instant Now) {
  Membership.Local.Leaving = true;
  std::vector<peer_send> Sends;
  std::ranges::transform(Membership.Members, std::back_inserter(Sends),
                         [&](const member &Member) {
                           return heartbeatTo(Membership, Member, true, Now);
                         });
  return Sends;
}

const member *findMember(const membership &Membership, std::string_view Name) {
  const auto At =
      std::ranges::lower_bound(Membership.Members, Name, {}, &member::Name);
  const bool Found = At != Membership.Members.end() && At->Name == Name;
  return Found ? &*At : nullptr;
}

} // namespace redwinggw::control
