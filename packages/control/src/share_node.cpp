#include "redwinggw/control/share_node.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace redwinggw::control {
namespace {

using base::instant;
using base::microseconds;
using base::milliseconds;

constexpr microseconds HintTime{1'000'000};
/// An instance whose last read of the store is older does not see it.
constexpr milliseconds SeesStoreWithin{3'000};

bool seesStore(const member &Member, instant Now) {
  return Member.ArrivedAt && Member.Report.StoreReadAge != wire::NoAge &&
         milliseconds(Member.Report.StoreReadAge) + (Now - *Member.ArrivedAt) <=
             SeesStoreWithin;
}

/// An instance that could give, with the hash of its name.
struct candidate {
  const base::instance_name *Name = nullptr;
  std::uint32_t Hash = 0;
};

/// The live instances that see the store, or all live ones when none does.
std::vector<candidate> candidates(const share_node &Node,
                                  const membership &Membership, instant Now) {
  std::vector<candidate> Live;
  std::vector<candidate> Seeing;
  for (const member &Member : Membership.Members) {
    if (Member.State != member_state::Alive &&
        Member.State != member_state::Suspect)
      continue;
    Live.push_back({&Member.Name, wire::hashOf(Member.Name)});
    if (seesStore(Member, Now))
      Seeing.push_back(Live.back());
  }
  if (!Node.Draining) {
    Live.push_back({&Node.Self, wire::hashOf(Node.Self)});
    const auto ReadAt = Membership.Store.ReadAt;
    if (ReadAt && Now - *ReadAt <= SeesStoreWithin)
      Seeing.push_back(Live.back());
  }
  return Seeing.empty() ? Live : Seeing;
}

std::uint32_t rendezvousScore(const candidate &Candidate,
                              std::uint16_t Partition) {
  constexpr std::uint32_t Odd = 0x9e3779b1U;
  const std::uint32_t Hash = (Candidate.Hash + Partition * Odd) * Odd;
  return (Hash ^ (Hash >> 15U)) * Odd;
}

/// Who should give a partition, and who if that one fails: the best two by
/// rendezvous hashing, so that a change of one instance moves only its part.
struct ranking {
  base::instance_name First;
  base::instance_name Second;
};

ranking rank(std::vector<candidate> &Candidates, std::uint16_t Partition) {
  const std::size_t Count = std::min<std::size_t>(2, Candidates.size());
  std::ranges::partial_sort(
      Candidates, Candidates.begin() + static_cast<std::ptrdiff_t>(Count),
      std::greater{}, [&](const candidate &Candidate) {
        return std::pair(rendezvousScore(Candidate, Partition),
                         std::string_view(*Candidate.Name));
      });
  ranking Ranking;
  if (Count > 0)
    Ranking.First = *Candidates[0].Name;
  if (Count > 1)
    Ranking.Second = *Candidates[1].Name;
  return Ranking;
}

void onChange(share_node &Node, const share_lease &Lease, lease_change Change,
              instant Now) {
  if (Change == lease_change::Taken)
    startPartition(Node.Giver, Node.Plans, Lease.Partition,
                   {Lease.Start, Lease.First}, Now);
  if (Change == lease_change::Lost)
    dropPartition(Node.Giver, Lease.Partition);
}

void stepLeases(share_node &Node, const membership &Membership, instant Now) {
  const lease_limits &Limits = Node.Settings.Lease;
  auto Candidates = candidates(Node, Membership, Now);
  for (share_lease &Lease : Node.Leases) {
    ranking Ranking = rank(Candidates, Lease.Partition);
    setPreferred(Lease, Ranking.First, Now);
    Lease.Standby = std::move(Ranking.Second);
    const bool Moves =
        Node.Draining || shouldMove(Lease, Node.Self, Limits, Now);
    if (!Lease.Holding || !Moves)
      continue;
    release(Lease, levelsOf(Node.Giver, Lease.Partition, Now));
    dropPartition(Node.Giver, Lease.Partition);
  }
}

/// One commit for all rows that are due. One at a time, so that answers are
/// not mixed up.
std::optional<storage::commit_request>
collectCommit(share_node &Node, const membership &Membership, instant Now) {
  if (!Node.Committing.empty())
    return std::nullopt;
  storage::commit_request Request;
  for (share_lease &Lease : Node.Leases) {
    const std::string Id = Node.Self + ":" + std::to_string(Node.Incarnation) +
                           ":" + std::to_string(++Node.LastId);
    const auto Row = dueCommit(Lease, Membership, Node.Settings.Lease,
                               Node.Draining, Id, Now);
    if (!Row)
      continue;
    const std::string Key = leaseKey(Lease.Partition);
    Request.Checks.push_back({Key, Lease.Version});
    Request.Puts.push_back({Key, toText(*Row)});
    Node.Committing.push_back(Lease.Partition);
  }
  if (Node.Committing.empty())
    return std::nullopt;
  return Request;
}

bool isReadDue(const share_node &Node, instant Now) {
  return !Node.Reading && Now >= Node.NextReadAt &&
         std::ranges::any_of(Node.Leases, [&](const share_lease &Lease) {
           return needsRow(Lease, Node.Self);
         });
}

bool isAlive(const membership &Membership, std::string_view Name) {
  const member *Member = findMember(Membership, Name);
  return Member != nullptr && Member->State == member_state::Alive;
}

/// Names the holder while the row is watched: it changes with each renewal, so
/// an old one may name an instance that is long gone. In a store outage nobody
/// can watch it, and nobody can take the lease either: then the holder of the
/// last row that was seen is the one to ask, if it is alive.
wire::share_message moved(const share_node &Node, const membership &Membership,
                          const share_lease &Lease,
                          const wire::share_message &Request, instant Now) {
  wire::share_message Answer = answerTo(Request, wire::share_kind::Moved);
  const bool Fresh = Now - Lease.ObservedAt <= Node.Settings.Lease.Length;
  const bool Askable = Fresh || isAlive(Membership, Lease.Row.Holder);
  if (Lease.Known && Askable && !Lease.Row.Released)
    Answer.Allocator = Lease.Row.Holder;
  return Answer;
}

wire::share_message answer(share_node &Node, const membership &Membership,
                           const wire::share_message &Request, instant Now) {
  const share_lease &Lease = Node.Leases[Request.Partition];
  return mayGive(Lease, Membership, Node.Settings.Lease, Now)
             ? grant(Node.Giver, Request, Now)
             : moved(Node, Membership, Lease, Request, Now);
}

base::instance_name giverOf(const share_node &Node, std::uint16_t Partition,
                            instant Now) {
  const share_lease &Lease = Node.Leases[Partition];
  if (Lease.Holding)
    return Node.Self;
  const auto Hint = Node.Hints.find(Partition);
  const bool Hinted = Hint != Node.Hints.end() && Now < Hint->second.Until;
  return Hinted ? Hint->second.Giver : Lease.Preferred;
}

void takeAnswer(share_node &Node, const wire::share_message &Message,
                instant Now, share_actions &Actions) {
  if (Message.Kind == wire::share_kind::Grant) {
    std::ranges::move(onGrant(Node.Holder, Message, Now),
                      std::back_inserter(Actions.Verdicts));
    return;
  }
  // The request stays in the list until it is taken for lost, which paces the
  // next one; a hint makes that one go out at once to another instance.
  if (Message.Allocator.empty() || Message.Allocator == Node.Self)
    Node.Hints.erase(Message.Partition);
  else if (dropRequest(Node.Holder, Message))
    Node.Hints[Message.Partition] = {Message.Allocator, Now + HintTime};
}

} // namespace

share_node makeShareNode(const base::instance_name &Self,
                         std::uint64_t Incarnation, share_settings Settings) {
  share_node Node;
  Node.Settings = Settings;
  Node.Self = Self;
  Node.Incarnation = Incarnation;
  Node.Holder.Limits = Settings.Holder;
  Node.Holder.Shares = Settings.Shares;
  Node.Giver.Limits = Settings.Shares;
  Node.Giver.Partitions = Settings.Partitions;
  Node.Leases.resize(Settings.Partitions);
  for (std::uint16_t Index = 0; Index < Settings.Partitions; ++Index)
    Node.Leases[Index].Partition = Index;
  return Node;
}

void applyPlans(share_node &Node, const std::vector<customer> &Customers,
                instant Now) {
  Node.Plans.clear();
  for (const customer &Customer : Customers) {
    const share_plan Plan =
        planOf(Customer.Rate, Customer.Burst, Node.Settings.Shares);
    Node.Plans[Customer.Name] = Plan;
    share_account &Account = Node.Holder.Accounts[Customer.Name];
    Account.Plan = Plan;
    Account.Partition = partitionOf(Customer.Name, Node.Settings.Partitions);
  }
  const auto IsGone = [&](const auto &Entry) {
    return !Node.Plans.contains(Entry.first);
  };
  applyGiverPlans(
      Node.Giver, Node.Plans,
      [&](std::uint16_t Partition) { return Node.Leases[Partition].Holding; },
      Now);
  // Accounts with waiting requests go when these have their verdicts.
  std::erase_if(Node.Holder.Accounts, [&](const auto &Entry) {
    return IsGone(Entry) && Entry.second.Waiters.empty();
  });
  std::erase_if(Node.Holder.Active, [&](const base::customer_name &Name) {
    return !Node.Holder.Accounts.contains(Name);
  });
}

namespace {

/// Tells the next giver that the lease is free, a few times since datagrams
/// get lost; it would see it only at its next reading otherwise.
void announceReleases(share_node &Node, share_actions &Actions) {
  constexpr unsigned Times = 3;
  for (share_lease &Lease : Node.Leases) {
    const bool OwnRelease =
        Lease.Known && Lease.Row.Released && Lease.Row.Holder == Node.Self;
    if (!OwnRelease || Lease.Preferred == Node.Self ||
        Lease.Preferred.empty() || Lease.Announcements >= Times)
      continue;
    ++Lease.Announcements;
    share_send &Send = Actions.Sends.emplace_back();
    Send.To = Lease.Preferred;
    Send.Message.Kind = wire::share_kind::Released;
    Send.Message.Partition = Lease.Partition;
  }
}

} // namespace

share_actions askForTokens(share_node &Node, const membership &Membership,
                           instant Now) {
  share_actions Actions;
  for (wire::share_message &Request : dueRequests(Node.Holder, Now)) {
    Request.Incarnation = Node.Incarnation;
    const base::instance_name Giver = giverOf(Node, Request.Partition, Now);
    if (Giver == Node.Self)
      takeAnswer(Node, answer(Node, Membership, Request, Now), Now, Actions);
    else if (!Giver.empty())
      Actions.Sends.push_back({Giver, std::move(Request)});
  }
  return Actions;
}

share_actions onShareTick(share_node &Node, const membership &Membership,
                          instant Now) {
  share_actions Actions = askForTokens(Node, Membership, Now);
  std::ranges::move(dueVerdicts(Node.Holder, Now),
                    std::back_inserter(Actions.Verdicts));
  if (Now < Node.NextLeaseAt)
    return Actions;
  Node.NextLeaseAt = Now + Node.Settings.LeaseEvery;
  stepLeases(Node, Membership, Now);
  announceReleases(Node, Actions);
  Actions.Commit = collectCommit(Node, Membership, Now);
  Actions.Read = isReadDue(Node, Now);
  if (Actions.Read) {
    Node.Reading = true;
    Node.NextReadAt = Now + Node.Settings.ReadEvery;
  }
  return Actions;
}

share_actions onShareMessage(share_node &Node, const membership &Membership,
                             const base::instance_name &From,
                             const wire::share_message &Message, instant Now) {
  share_actions Actions;
  if (Message.Partition >= Node.Settings.Partitions)
    return Actions;
  if (Message.Kind == wire::share_kind::Request) {
    Actions.Sends.push_back({From, answer(Node, Membership, Message, Now)});
    return Actions;
  }
  if (Message.Kind == wire::share_kind::Released) {
    Node.NextReadAt = std::min(Node.NextReadAt, Now);
    Node.NextLeaseAt = std::min(Node.NextLeaseAt, Now);
    return Actions;
  }
  // An answer to a former incarnation of this instance.
  if (Message.Incarnation != Node.Incarnation)
    return Actions;
  takeAnswer(Node, Message, Now, Actions);
  share_actions More = askForTokens(Node, Membership, Now);
  std::ranges::move(More.Sends, std::back_inserter(Actions.Sends));
  std::ranges::move(More.Verdicts, std::back_inserter(Actions.Verdicts));
  return Actions;
}

void onRows(share_node &Node,
            const std::optional<std::vector<storage::row>> &Rows, instant Now) {
  Node.Reading = false;
  if (!Rows)
    return;
  for (share_lease &Lease : Node.Leases) {
    const std::string Key = leaseKey(Lease.Partition);
    const auto Found = std::ranges::find(*Rows, Key, &storage::row::Key);
    const storage::row Row =
        Found == Rows->end() ? storage::row{Key, 0, {}} : *Found;
    onChange(Node, Lease, onRow(Lease, Row, Node.Settings.Lease, Now), Now);
  }
}

void onCommitAnswer(share_node &Node,
                    const std::optional<std::vector<std::uint64_t>> &Versions,
                    instant Now) {
  const auto Partitions = std::exchange(Node.Committing, {});
  if (!Versions || Versions->size() != Partitions.size()) {
    std::ranges::for_each(Partitions, [&](std::uint16_t Partition) {
      onCommitFailed(Node.Leases[Partition], Node.Settings.Lease, Now);
    });
    Node.NextReadAt = std::min(Node.NextReadAt, Now);
    return;
  }
  for (std::size_t Index = 0; Index < Partitions.size(); ++Index) {
    share_lease &Lease = Node.Leases[Partitions[Index]];
    const lease_change Change =
        onCommitted(Lease, (*Versions)[Index], Node.Settings.Lease, Now);
    onChange(Node, Lease, Change, Now);
  }
}

} // namespace redwinggw::control
