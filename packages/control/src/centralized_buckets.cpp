#include "redwinggw/control/centralized_buckets.hpp"

#include "redwinggw/control/relays.hpp"
#include "redwinggw/control/rendezvous.hpp"

#include <algorithm>

namespace redwinggw::control {
namespace {

using base::instant;
using base::microseconds;

/// A new owner starts this long after it sees that the former one is silent.
/// The former one may notice later than others see its silence that it is not
/// in contact with a majority; it has stopped by the end of this time.
constexpr base::milliseconds OwnerChangeDelay{600};

/// Instances that start together are in contact with a majority within this
/// time.
constexpr base::milliseconds JointStartupTime{800};

/// Instances that start together know the owners after about this time.
constexpr base::milliseconds UsualStartupTime{400};

/// A new owner of a fleet in which nobody owned a bucket before starts with the
/// rate of the time since the start, in which nobody was served, up to this.
constexpr base::milliseconds MaxInitialTime{800};

/// How long after its last contact with a majority an instance begins to divide
/// rates.
constexpr base::milliseconds DivideDelay{1000};

/// The instances that may own buckets, this one included, with the hashes of
/// their names.
std::vector<owner_candidate> candidates(const membership &Membership) {
  std::vector<owner_candidate> Found;
  for (const member &Member : Membership.Members)
    if (Member.State == member_state::Alive)
      Found.push_back({Member.RendezvousHash, Member.NameHash});
  if (!Membership.Local.Leaving)
    Found.push_back({rendezvousHash(Membership.Self.Name),
                     wire::hashOf(Membership.Self.Name)});
  return Found;
}

/// An owner that announces that it leaves has stopped owning buckets; of one
/// that fell silent it is not known when it notices that it is cut off.
bool hasStopped(const membership &Membership, std::uint32_t Owner) {
  const member *Member = findByHash(Membership, Owner);
  return Member != nullptr && Member->State == member_state::Leaving;
}

/// Whether no instance in contact has centralized buckets for more than a
/// moment: then nobody owned a bucket before, as an owner would be in contact
/// with some instance of every majority. This is the case when all have started
/// at the same time.
bool hadNoOwners(const demand_shares &Shares, const membership &Membership,
                 instant Now) {
  return !hasCentralizedBuckets(Shares, Now) &&
         std::ranges::none_of(Membership.Members, [&](const member &Member) {
           return Member.CentralizesBuckets &&
                  isInContact(Membership, Member, Now);
         });
}

double initialTokens(const demand_shares &Shares, const demand_account &Account,
                     instant Now) {
  const auto Uptime = Now - Shares.StartedAt.value_or(Now);
  const double Seconds =
      std::chrono::duration<double>(
          std::min<base::microseconds>(Uptime, MaxInitialTime))
          .count() +
      Shares.Limits.InitialSlackSeconds;
  return Seconds * Account.Rate +
         Shares.Limits.InitialBurstFraction * Account.Burst +
         Shares.Limits.InitialExtraTokens;
}

void setOwner(demand_account &Account, std::uint32_t Owner, instant From,
              double InitialTokens) {
  if (Account.Owner == Owner)
    return;
  Account.Owner = Owner;
  Account.OwnsFrom = From;
  Account.InitialTokens = InitialTokens;
}

/// Chooses owners again only after a change of the candidates.
void chooseOwners(demand_shares &Shares, const membership &Membership,
                  instant Now) {
  const bool Changed = updateCandidates(Shares.Ranking, candidates(Membership));
  const bool Begins = !Shares.CentralizedSince;
  const bool NoOwnersBefore = hadNoOwners(Shares, Membership, Now);
  for (auto &[Name, Account] : Shares.Accounts) {
    if (!Changed && !Begins && Account.Owner != 0)
      continue;
    if (Begins)
      Account.Owner = 0;
    const bool Stopped = hasStopped(Membership, Account.Owner);
    const instant From =
        NoOwnersBefore || Stopped ? Now : Now + OwnerChangeDelay;
    setOwner(Account, ranksOf(Shares.Ranking, Name).First.Instance, From,
             Begins && NoOwnersBefore ? initialTokens(Shares, Account, Now)
                                      : 0);
  }
}

void applyCentralized(const demand_shares &Shares, demand_account &Account,
                      bool OwnedHere) {
  // A new owner does not know what was spent.
  const bool Begins = OwnedHere && !Account.OwnedHere;
  Account.Centralized = true;
  Account.OwnedHere = OwnedHere;
  Account.EnforcesShare = true;
  Account.Share = OwnedHere ? Account.FreshShare : 0;
  if (Begins || !OwnedHere)
    Account.Tokens = Begins ? Account.InitialTokens : 0;
  Account.Tokens = std::min(Account.Tokens, bucketDepth(Shares, Account));
}

/// How long a caller must wait until the bucket holds \p Needed tokens.
microseconds waitForTokens(const demand_shares &Shares,
                           const demand_account &Account, double Needed) {
  const double FillRate = fillRate(Shares, Account);
  constexpr microseconds Never{1'000'000};
  if (FillRate <= 0)
    return Never;
  const double Missing = std::max(0.0, Needed - Account.Tokens);
  return microseconds(static_cast<std::int64_t>(Missing / FillRate * 1e6));
}

demand_account *accountOf(demand_shares &Shares, std::string_view Customer) {
  const auto Found = Shares.Accounts.find(Customer);
  return Found == Shares.Accounts.end() ? nullptr : &Found->second;
}

bool wasFrozen(const demand_shares &Shares, instant Now) {
  return Shares.Limits.MaxUpdateAge && Shares.LastCentralizedAt &&
         Now - *Shares.LastCentralizedAt > *Shares.Limits.MaxUpdateAge;
}

/// When the last heartbeat of \p Owner arrived at a relay, as this will be
/// known here. What relays tell is up to three heartbeats old: until then it is
/// likely that the last one was sent an interval before the first unanswered
/// request.
instant lastHeard(const membership &Membership, const member &Owner,
                  std::optional<instant> UnansweredSince, instant Now) {
  const instant Known = Owner.HeardAt.value_or(Owner.ListedSince);
  const auto Interval = Membership.Limits.Interval;
  const auto MaxAge = 3 * Interval;
  const bool MayChange = UnansweredSince && Now - *UnansweredSince < MaxAge &&
                         *UnansweredSince - Known < MaxAge;
  return MayChange ? std::max(Known, *UnansweredSince - Interval) : Known;
}

} // namespace

void centralizeBuckets(demand_shares &Shares, const membership &Membership,
                       bool InContact, instant Now) {
  Shares.AwaitsOwners = usesRelays(Membership) && !Shares.StartupDone;
  const bool Centralizes = usesRelays(Membership) && Shares.StartupDone &&
                           InContact && inContactWithMajority(Membership, Now);
  // Another owner may have been chosen while this process was frozen: begin
  // again, without the tokens from before.
  if (wasFrozen(Shares, Now))
    Shares.CentralizedSince.reset();
  if (Centralizes) {
    chooseOwners(Shares, Membership, Now);
    Shares.LastCentralizedAt = Now;
    Shares.CentralizedSince = Shares.CentralizedSince.value_or(Now);
  } else {
    Shares.CentralizedSince.reset();
  }
  // The owners may not have noticed yet that this instance is silent.
  const bool Silent =
      Shares.LastCentralizedAt && Now - *Shares.LastCentralizedAt < DivideDelay;
  const bool AdmitsNothing = Silent || Shares.AwaitsOwners;
  const std::uint32_t Self = wire::hashOf(Membership.Self.Name);
  for (auto &[Name, Account] : Shares.Accounts) {
    if (Centralizes) {
      applyCentralized(Shares, Account,
                       Account.Owner == Self && Now >= Account.OwnsFrom);
      continue;
    }
    Account.Centralized = false;
    Account.OwnedHere = false;
    if (AdmitsNothing)
      Account.Share = 0;
    Account.Tokens = std::min(Account.Tokens, bucketDepth(Shares, Account));
  }
}

bool hasCentralizedBuckets(const demand_shares &Shares, instant Now) {
  return Shares.CentralizedSince &&
         Now - *Shares.CentralizedSince > JointStartupTime;
}

std::optional<microseconds> ownersExpected(const demand_shares &Shares,
                                           instant Now) {
  if (!Shares.AwaitsOwners)
    return std::nullopt;
  constexpr base::milliseconds Min{100};
  const auto Uptime = Now - Shares.StartedAt.value_or(Now);
  return std::max<microseconds>(Min, UsualStartupTime - Uptime);
}

bool isCentralized(const demand_shares &Shares, std::string_view Customer) {
  const auto Found = Shares.Accounts.find(Customer);
  return Found != Shares.Accounts.end() && Found->second.Centralized;
}

bool ownsBucket(const demand_shares &Shares, std::string_view Customer) {
  const auto Found = Shares.Accounts.find(Customer);
  return Found != Shares.Accounts.end() && Found->second.OwnedHere;
}

const member *bucketOwner(const demand_shares &Shares,
                          const membership &Membership,
                          std::string_view Customer) {
  const auto Found = Shares.Accounts.find(Customer);
  if (Found == Shares.Accounts.end() || Found->second.OwnedHere)
    return nullptr;
  return findByHash(Membership, Found->second.Owner);
}

microseconds nextOwnerExpected(const demand_shares &Shares,
                               const membership &Membership,
                               std::string_view Customer,
                               std::optional<instant> UnansweredSince,
                               instant Now) {
  constexpr microseconds Never{1'000'000};
  const auto Found = Shares.Accounts.find(Customer);
  if (Found == Shares.Accounts.end() || Found->second.Rate <= 0)
    return Never;
  const demand_account &Account = Found->second;
  const membership_limits &Limits = Membership.Limits;
  const microseconds FirstToken(static_cast<std::int64_t>(1e6 / Account.Rate));
  instant Starts = Account.OwnsFrom;
  const member *Owner = findByHash(Membership, Account.Owner);
  if (Starts <= Now && Owner != nullptr)
    Starts = lastHeard(Membership, *Owner, UnansweredSince, Now) +
             Limits.RelayedSuspectAfter + OwnerChangeDelay;
  // Owners are chosen with the heartbeats.
  return std::max<microseconds>(Limits.Interval,
                                Starts + Limits.Interval - Now) +
         FirstToken;
}

std::optional<bucket_owner_answer>
grantToken(demand_shares &Shares, std::string_view Customer, unsigned Priority,
           microseconds MaxWait, instant Now) {
  demand_account *Account = accountOf(Shares, Customer);
  if (Account == nullptr || !Account->OwnedHere ||
      isOutdated(Shares, *Account, Now))
    return std::nullopt;
  fillBucket(Shares, *Account, Now);
  const double Needed = 1 + tokensReserved(Shares, *Account, Priority);
  const microseconds Wait = waitForTokens(Shares, *Account, Needed);
  if (Wait > MaxWait)
    return bucket_owner_answer{false, Wait};
  --Account->Tokens;
  return bucket_owner_answer{true, Wait};
}

demand_verdict verdictFromOwner(demand_shares &Shares,
                                std::string_view Customer,
                                const bucket_owner_answer &Answer) {
  demand_account *Account = accountOf(Shares, Customer);
  if (Account == nullptr || !Answer.Granted)
    return {false, false, Answer.Wait};
  ++Account->Unsettled;
  return {true, true, Answer.Wait};
}

} // namespace redwinggw::control
