#include "redwinggw/control/membership.hpp"

#include "redwinggw/base/enum_table.hpp"
#include "redwinggw/control/membership_reports.hpp"
#include "redwinggw/control/relays.hpp"

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

/// What the receiver of a heartbeat is to this instance.
enum class heartbeat_kind {
  /// Another relay, while this instance is one.
  Relay,
  /// A relay that this instance reports to.
  Report,
  /// An instance that reports here.
  Answer,
};

/// Removes log positions from \p Report that \p Member gets from others.
void limitPositions(const membership &Membership, member &Member,
                    heartbeat_kind Kind, wire::peer_report &Report,
                    instant Now) {
  if (usesRelays(Membership) && Kind == heartbeat_kind::Report)
    removeRelayedPositions(Membership, Report.Positions, Now);
  if (!carriesPositions(Membership, Member, Kind == heartbeat_kind::Answer,
                        Now))
    Report.Positions.clear();
  else
    Member.PositionsSentAt = Now;
  if (usesRelays(Membership) && Kind == heartbeat_kind::Answer)
    keepNeededPositions(Member, Report.Positions);
}

peer_send heartbeatTo(membership &Membership, member &Member,
                      heartbeat_kind Kind, instant Now) {
  peer_send Send{Member.Address, nextDatagram(Membership, Member.Name, Now)};
  wire::peer_report Report = localReport(Membership, Now);
  Report.EchoIncarnation = Member.Window.Incarnation;
  Report.EchoSequence = Member.Heartbeat;
  Report.Reports = Kind == heartbeat_kind::Report;
  if (!Report.Reports)
    Report.Services.clear();
  // Two instances that both act as relays learn of each other by an answer.
  const bool NoContact = !isInDirectContact(Membership, Member, Now);
  Report.WantsReply =
      Report.Reports || (Kind == heartbeat_kind::Relay && NoContact);
  if (Kind == heartbeat_kind::Answer)
    Report.Digest =
        digestFor(Membership, Member, wire::digest_scope::Fleet, Now);
  else if (Kind == heartbeat_kind::Relay && usesRelays(Membership))
    Report.Digest =
        digestFor(Membership, Member, wire::digest_scope::Zone, Now);
  limitPositions(Membership, Member, Kind, Report, Now);
  writeChanges(Membership, Member, Report);
  Send.Datagram.Body = std::move(Report);
  return Send;
}

/// Send time of our datagram that \p Report echoes; empty when it is too old or
/// not ours.
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
  const bool Relayed = usesRelays(Membership);
  const auto DeadAfter = Relayed ? Limits.RelayedDeadAfter : Limits.DeadAfter;
  const auto SuspectAfter =
      Relayed ? Limits.RelayedSuspectAfter : Limits.SuspectAfter;
  const auto &Heard = Relayed ? Member.HeardAt : Member.LastSeenAt;
  const auto Silence = Now - Heard.value_or(Member.ListedSince);
  if (Silence > DeadAfter)
    return member_state::Dead;
  if (Member.ListedLeaving || Member.Report.Leaving || Member.RelayedLeaving)
    return member_state::Leaving;
  return !Member.LastSeenAt || Silence > SuspectAfter ? member_state::Suspect
                                                      : member_state::Alive;
}

/// A restarted member has lost everything that it knew before.
void forgetFormerIncarnation(member &Member) {
  Member.Heartbeat = 0;
  Member.LastSeenAt.reset();
  Member.HeardAt.reset();
  Member.ReportAt.reset();
  Member.Report = {};
  Member.ReadStoreSinceStart = false;
  Member.RelayedLeaving = false;
  Member.CentralizesBuckets = false;
  Member.KnownHead = 0;
  Member.KnownVersion = 0;
  Member.ReadsShortForm = false;
  Member.ShortFormSince.reset();
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

wire::datagram nextDatagram(membership &Membership, std::string_view Receiver,
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
      Member.ListedSince = Now;
    Member.Name = Instance.Name;
    Member.Zone = Instance.Zone;
    Member.Address = Instance.Peers;
    Member.ListedLeaving = Instance.Leaving;
    Member.Capacity = Instance.Capacity;
    Member.Listed = true;
  }
  std::ranges::sort(Members, {}, &member::Name);
  Membership.Members = std::move(Members);
  Membership.ListKnown = true;
  Membership.UnlistedReported = false;
  indexList(Membership);
}

void onUnlistedInstance(membership &Membership, const wire::datagram &Datagram,
                        const http::address &From, instant Now) {
  const auto *Report = std::get_if<wire::peer_report>(&Datagram.Body);
  const bool Meant = Datagram.Receiver == Membership.Self.Name &&
                     Datagram.Sender != Membership.Self.Name;
  if (!Membership.Limits.AcceptUnlisted || Report == nullptr || !Meant ||
      Report->Leaving)
    return;
  member &Member = Membership.Members.emplace_back();
  Member.Name = Datagram.Sender;
  Member.Zone = Report->Zone;
  Member.Address = From;
  Member.Capacity = Report->Capacity;
  Member.ListedSince = Now;
  std::ranges::sort(Membership.Members, {}, &member::Name);
  indexList(Membership);
}

void markListed(membership &Membership,
                const std::vector<base::instance_name> &Instances) {
  for (const base::instance_name &Name : Instances)
    if (member *Member = findMutable(Membership, Name))
      Member->Listed = true;
  ++Membership.ListVersion;
}

namespace {

/// Whether \p Member gets the short form; records that it does.
bool usesShortForm(member &Member, instant Now) {
  // Longer than an owner is waited for.
  constexpr base::milliseconds AnswersWithin{200};
  if (Member.ShortFormSince && Now - *Member.ShortFormSince > AnswersWithin)
    Member.ReadsShortForm = false;
  if (Member.ReadsShortForm && !Member.ShortFormSince)
    Member.ShortFormSince = Now;
  return Member.ReadsShortForm;
}

} // namespace

std::optional<peer_send> shareDatagram(membership &Membership,
                                       std::string_view Receiver,
                                       wire::share_message Message,
                                       instant Now) {
  member *Member = findMutable(Membership, Receiver);
  if (Member == nullptr)
    return std::nullopt;
  peer_send Send{Member->Address, nextDatagram(Membership, Receiver, Now)};
  Message.ReadsShortForm = usesRelays(Membership);
  if (Message.ReadsShortForm && wire::fitsShortForm(Message) &&
      usesShortForm(*Member, Now))
    Send.Datagram.Hashes = wire::name_hashes{};
  Send.Datagram.Body = std::move(Message);
  return Send;
}

bool resolveNames(membership &Membership, wire::datagram &Datagram) {
  if (!Datagram.Hashes)
    return true;
  const member *Sender = findByHash(Membership, Datagram.Hashes->Sender);
  if (Sender == nullptr) {
    ++Membership.Counters.UnknownSender;
    return false;
  }
  if (Datagram.Hashes->Receiver != wire::hashOf(Membership.Self.Name)) {
    ++Membership.Counters.Misaddressed;
    return false;
  }
  Datagram.Sender = Sender->Name;
  Datagram.Receiver = Membership.Self.Name;
  return true;
}

void recordShareForm(membership &Membership, const wire::datagram &Datagram) {
  member *Member = findMutable(Membership, Datagram.Sender);
  const auto *Message = std::get_if<wire::share_message>(&Datagram.Body);
  if (Member == nullptr || Message == nullptr)
    return;
  Member->ReadsShortForm = Message->ReadsShortForm;
  Member->ShortFormSince.reset();
}

bool admitDatagram(membership &Membership, const wire::datagram &Datagram) {
  membership_counters &Counters = Membership.Counters;
  // A datagram to another instance that is replayed here has a valid signature.
  if (Datagram.Receiver != Membership.Self.Name) {
    ++Counters.Misaddressed;
    return false;
  }
  member *Member = findMutable(Membership, Datagram.Sender);
  if (Member == nullptr) {
    ++Counters.UnknownSender;
    return false;
  }
  // In a fleet with relays most members are known by digests only, and then a
  // first datagram of their own, such as a request for a token, is no restart.
  const bool HeardBefore = Member->Window.Incarnation != 0;
  if (HeardBefore && Datagram.Incarnation > Member->Window.Incarnation) {
    forgetFormerIncarnation(*Member);
    ++Membership.Contact.Losses;
  }
  switch (wire::recordDatagram(Member->Window, Datagram.Incarnation,
                               Datagram.Sequence)) {
  case wire::datagram_order::Newest:
  case wire::datagram_order::Reordered:
    return true;
  case wire::datagram_order::Duplicate:
    ++Counters.Duplicate;
    return false;
  case wire::datagram_order::FormerIncarnation:
    break;
  }
  ++Counters.FormerIncarnation;
  return false;
}

std::vector<peer_send> onHeartbeat(membership &Membership,
                                   const wire::datagram &Datagram,
                                   instant Now) {
  const auto &Report = std::get<wire::peer_report>(Datagram.Body);
  // The wall clock stepped back across our restart, so the others drop our
  // datagrams as those of an earlier incarnation. Continue above the number
  // that they echo.
  if (Report.EchoIncarnation > Membership.Self.Incarnation)
    Membership.Self.Incarnation = Report.EchoIncarnation + 1;
  member *Member = findMutable(Membership, Datagram.Sender);
  if (Member == nullptr)
    return {};
  if (Datagram.Sequence <= Member->Heartbeat) {
    ++Membership.Counters.Reordered;
    return {};
  }
  ++Membership.Counters.Heartbeats;
  Member->Heartbeat = Datagram.Sequence;
  Member->ArrivedAt = Now;
  Member->HeardAt = Now;
  recordHeartbeatReceived(*Member, Now);
  Member->Report = mergeReport(std::move(Member->Report), Report);
  unpackMembers(Membership, Member->Report.Digest);
  const std::optional<instant> MadeAt = Membership.Limits.AgeByEcho
                                            ? echoedAt(Membership, Report)
                                            : std::optional(Now);
  applyReport(Membership, *Member, MadeAt, Now);
  std::vector<peer_send> Sends;
  if (Report.WantsReply) {
    const auto Kind =
        Report.Reports ? heartbeat_kind::Answer : heartbeat_kind::Relay;
    Sends.push_back(heartbeatTo(Membership, *Member, Kind, Now));
    std::get<wire::peer_report>(Sends.back().Datagram.Body).WantsReply = false;
  }
  return Sends;
}

namespace {

/// Requests shared store reads from one relay only: the first in direct
/// contact.
void requestSharedReadsFromOne(const membership &Membership,
                               std::vector<peer_send> &Sends, instant Now) {
  if (Membership.Relay)
    return;
  const auto Chosen = std::ranges::find_if(Sends, [&](const peer_send &Send) {
    const member *Member = findMember(Membership, Send.Datagram.Receiver);
    return isInDirectContact(Membership, *Member, Now);
  });
  if (Chosen != Sends.end())
    std::get<wire::peer_report>(Chosen->Datagram.Body).WantsSharedReads = true;
}

} // namespace

bool isTickDue(const membership &Membership, instant Now) {
  if (!Membership.LastTick)
    return true;
  // Through relays, state takes several heartbeats to arrive. An instance that
  // is not in contact with a majority can serve little, so it sends heartbeats
  // twice as often.
  const bool UsesFastRate =
      usesRelays(Membership) && !inContactWithMajority(Membership, Now);
  const auto Interval = Membership.Limits.Interval / (UsesFastRate ? 2 : 1);
  return Now - *Membership.LastTick >= Interval;
}

std::vector<peer_send> onTick(membership &Membership, instant Now) {
  for (member &Member : Membership.Members) {
    const member_state State = stateOf(Membership, Member, Now);
    Membership.StatesVersion += State != Member.State ? 1 : 0;
    Member.State = State;
  }
  if (!isTickDue(Membership, Now))
    return {};
  Membership.LastTick = Now;
  publishLists(Membership, Now);
  if (Membership.Members.empty())
    return {};
  const heartbeat_plan Plan = planHeartbeats(Membership, Now);
  Membership.Relay = Plan.Relay;
  const auto Kind = Plan.Relay ? heartbeat_kind::Relay : heartbeat_kind::Report;
  Membership.Relays.clear();
  std::vector<peer_send> Sends;
  for (const std::size_t Index : Plan.Targets) {
    member &Member = Membership.Members[Index];
    if (!Plan.Relay)
      Membership.Relays.push_back(Member.Name);
    Sends.push_back(heartbeatTo(Membership, Member, Kind, Now));
    recordHeartbeatSent(Membership, Member, Now);
  }
  requestSharedReadsFromOne(Membership, Sends, Now);
  return Sends;
}

std::vector<peer_send> onLeave(membership &Membership, instant Now) {
  Membership.Local.Leaving = true;
  const heartbeat_plan Plan = planHeartbeats(Membership, Now);
  std::vector<peer_send> Sends;
  for (std::size_t Index = 0; Index < Membership.Members.size(); ++Index) {
    member &Member = Membership.Members[Index];
    const bool InPlan =
        std::ranges::find(Plan.Targets, Index) != Plan.Targets.end();
    if (InPlan || reportsHere(Member) ||
        isInDirectContact(Membership, Member, Now))
      Sends.push_back(
          heartbeatTo(Membership, Member, heartbeat_kind::Relay, Now));
  }
  return Sends;
}

const member *findMember(const membership &Membership, std::string_view Name) {
  const auto At =
      std::ranges::lower_bound(Membership.Members, Name, {}, &member::Name);
  const bool Found = At != Membership.Members.end() && At->Name == Name;
  return Found ? &*At : nullptr;
}

} // namespace redwinggw::control
