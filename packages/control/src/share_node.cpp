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
/// An instance whose last read of the store is older than this counts as cut
/// off from the store.
constexpr milliseconds MaxStoreReadAge{3'000};

bool reachesStore(const member &Member, instant Now) {
  return Member.ArrivedAt && Member.Report.StoreReadAge != wire::NoAge &&
         milliseconds(Member.Report.StoreReadAge) + (Now - *Member.ArrivedAt) <=
             MaxStoreReadAge;
}

/// An instance that could be the allocator, with the hash of its name.
struct candidate {
  const base::instance_name *Name = nullptr;
  std::uint32_t Hash = 0;
};

/// The live instances that reach the store, or all live ones when none does.
std::vector<candidate> candidates(const share_node &Node,
                                  const membership &Membership, instant Now) {
  std::vector<candidate> Live;
  std::vector<candidate> ReachingStore;
  for (const member &Member : Membership.Members) {
    if (Member.State != member_state::Alive &&
        Member.State != member_state::Suspect)
      continue;
    Live.push_back({&Member.Name, wire::hashOf(Member.Name)});
    if (reachesStore(Member, Now))
      ReachingStore.push_back(Live.back());
  }
  if (!Node.Draining) {
    Live.push_back({&Node.Self, wire::hashOf(Node.Self)});
    const auto ReadAt = Membership.Store.ReadAt;
    if (ReadAt && Now - *ReadAt <= MaxStoreReadAge)
      ReachingStore.push_back(Live.back());
  }
  return ReachingStore.empty() ? Live : ReachingStore;
}

std::uint32_t rendezvousScore(const candidate &Candidate,
                              std::uint16_t Partition) {
  constexpr std::uint32_t OddMultiplier = 0x9e3779b1U;
  const std::uint32_t Hash =
      (Candidate.Hash + Partition * OddMultiplier) * OddMultiplier;
  return (Hash ^ (Hash >> 15U)) * OddMultiplier;
}

/// The preferred allocator of a partition and the second choice: the best two
/// by rendezvous hashing, so that adding or removing an instance moves only its
/// partitions.
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
    startPartition(Node.Allocator, Node.Plans, Lease.Partition,
                   {Lease.InitialLevels, Lease.NeverHeld}, Now);
  if (Change == lease_change::Lost)
    dropPartition(Node.Allocator, Lease.Partition);
}

void stepLeases(share_node &Node, const membership &Membership, instant Now) {
  const lease_limits &Limits = Node.Settings.Lease;
  auto Candidates = candidates(Node, Membership, Now);
  for (share_lease &Lease : Node.Leases) {
    ranking Ranking = rank(Candidates, Lease.Partition);
    setPreferred(Lease, Ranking.First, Now);
    Lease.Standby = std::move(Ranking.Second);
    const bool HandsOver =
        Node.Draining || shouldHandOver(Lease, Node.Self, Limits, Now);
    if (!Lease.Holding || !HandsOver)
      continue;
    release(Lease, levelsOf(Node.Allocator, Lease.Partition, Now));
    dropPartition(Node.Allocator, Lease.Partition);
  }
}

/// One commit for all rows that are due, and one at a time, so that answers are
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

/// Names the holder to ask instead. The row changes with each renewal, so one
/// that was not read lately may name an instance that is long gone. In a store
/// outage nobody can read it, and nobody can take the lease over either: then
/// the holder in the last row read is the one to ask, if it is alive.
wire::share_message redirect(const share_node &Node,
                             const membership &Membership,
                             const share_lease &Lease,
                             const wire::share_message &Request, instant Now) {
  wire::share_message Answer = answerTo(Request, wire::share_kind::Moved);
  const bool Fresh = Now - Lease.ObservedAt <= Node.Settings.Lease.Length;
  const bool CanBeAsked = Fresh || isAlive(Membership, Lease.Row.Holder);
  if (Lease.Known && CanBeAsked && !Lease.Row.Released)
    Answer.Allocator = Lease.Row.Holder;
  return Answer;
}

wire::share_message answerRequest(share_node &Node,
                                  const membership &Membership,
                                  const wire::share_message &Request,
                                  instant Now) {
  const share_lease &Lease = Node.Leases[Request.Partition];
  return mayAllocate(Lease, Membership, Node.Settings.Lease, Now)
             ? grant(Node.Allocator, Request, Now)
             : redirect(Node, Membership, Lease, Request, Now);
}

base::instance_name allocatorOf(const share_node &Node, std::uint16_t Partition,
                                instant Now) {
  const share_lease &Lease = Node.Leases[Partition];
  if (Lease.Holding)
    return Node.Self;
  const auto Hint = Node.Hints.find(Partition);
  const bool Hinted = Hint != Node.Hints.end() && Now < Hint->second.Until;
  return Hinted ? Hint->second.Allocator : Lease.Preferred;
}

void handleAnswer(share_node &Node, const wire::share_message &Message,
                  instant Now, share_actions &Actions) {
  if (Message.Kind == wire::share_kind::Grant) {
    std::ranges::move(onGrant(Node.Consumer, Message, Now),
                      std::back_inserter(Actions.Verdicts));
    return;
  }
  // Without a hint, the request stays in the list until it counts as lost,
  // which delays the next one; a hint lets the next one go to the other
  // instance at once.
  if (Message.Allocator.empty() || Message.Allocator == Node.Self)
    Node.Hints.erase(Message.Partition);
  else if (dropRequest(Node.Consumer, Message))
    Node.Hints[Message.Partition] = {Message.Allocator, Now + HintTime};
}

} // namespace

share_node makeShareNode(const base::instance_name &Self,
                         std::uint64_t Incarnation, share_settings Settings) {
  share_node Node;
  Node.Settings = Settings;
  Node.Self = Self;
  Node.Incarnation = Incarnation;
  Node.Consumer.Limits = Settings.Consumer;
  Node.Consumer.Shares = Settings.Shares;
  Node.Allocator.Limits = Settings.Shares;
  Node.Allocator.Partitions = Settings.Partitions;
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
    share_account &Account = Node.Consumer.Accounts[Customer.Name];
    Account.Plan = Plan;
    Account.Partition = partitionOf(Customer.Name, Node.Settings.Partitions);
  }
  const auto IsGone = [&](const auto &Entry) {
    return !Node.Plans.contains(Entry.first);
  };
  applyAllocatorPlans(
      Node.Allocator, Node.Plans,
      [&](std::uint16_t Partition) { return Node.Leases[Partition].Holding; },
      Now);
  // Accounts with waiting requests are removed after their verdicts.
  std::erase_if(Node.Consumer.Accounts, [&](const auto &Entry) {
    return IsGone(Entry) && Entry.second.Waiters.empty();
  });
  std::erase_if(Node.Consumer.Active, [&](const base::customer_name &Name) {
    return !Node.Consumer.Accounts.contains(Name);
  });
}

namespace {

/// Tells the next allocator that the lease is free; otherwise it would learn
/// that only from its next read of the row. Sent a few times, since datagrams
/// get lost.
void announceReleases(share_node &Node, share_actions &Actions) {
  constexpr unsigned Times = 3;
  for (share_lease &Lease : Node.Leases) {
    const bool OwnRelease =
        Lease.Known && Lease.Row.Released && Lease.Row.Holder == Node.Self;
    if (!OwnRelease || Lease.Preferred == Node.Self ||
        Lease.Preferred.empty() || Lease.ReleaseMessagesSent >= Times)
      continue;
    ++Lease.ReleaseMessagesSent;
    share_send &Send = Actions.Sends.emplace_back();
    Send.To = Lease.Preferred;
    Send.Message.Kind = wire::share_kind::Released;
    Send.Message.Partition = Lease.Partition;
  }
}

} // namespace

share_actions requestTokens(share_node &Node, const membership &Membership,
                            instant Now) {
  share_actions Actions;
  for (wire::share_message &Request : dueRequests(Node.Consumer, Now)) {
    Request.Incarnation = Node.Incarnation;
    const base::instance_name Allocator =
        allocatorOf(Node, Request.Partition, Now);
    if (Allocator == Node.Self)
      handleAnswer(Node, answerRequest(Node, Membership, Request, Now), Now,
                   Actions);
    else if (!Allocator.empty())
      Actions.Sends.push_back({Allocator, std::move(Request)});
  }
  return Actions;
}

share_actions onShareTick(share_node &Node, const membership &Membership,
                          instant Now) {
  share_actions Actions = requestTokens(Node, Membership, Now);
  std::ranges::move(dueVerdicts(Node.Consumer, Now),
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
    Actions.Sends.push_back(
        {From, answerRequest(Node, Membership, Message, Now)});
    return Actions;
  }
  if (Message.Kind == wire::share_kind::Released) {
    Node.NextReadAt = std::min(Node.NextReadAt, Now);
    Node.NextLeaseAt = std::min(Node.NextLeaseAt, Now);
    return Actions;
  }
  // An answer to an earlier incarnation of this instance.
  if (Message.Incarnation != Node.Incarnation)
    return Actions;
  handleAnswer(Node, Message, Now, Actions);
  share_actions More = requestTokens(Node, Membership, Now);
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
