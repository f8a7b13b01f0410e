#include "redwinggw/control/gathered_rates.hpp"

#include "redwinggw/control/relays.hpp"
#include "redwinggw/control/rendezvous.hpp"

#include <algorithm>

namespace redwinggw::control {
namespace {

using base::instant;
using base::microseconds;

/// How much later the others may notice that a keeper is silent than it notices
/// itself that it hears no majority.
constexpr base::milliseconds KeeperPause{600};

/// Instances that start together come to hear a majority within so long.
constexpr base::milliseconds GatheringBegins{800};

/// What the keepers of a fleet in which nobody kept a bucket begin with, in
/// seconds of the rate: less than the time for which nobody was served.
constexpr double FirstSeconds = 0.3;

/// How long after the last majority an instance that hears none begins to
/// divide.
constexpr base::milliseconds DividePause{1000};

/// Instances that may keep buckets, this one included, as places for draws with
/// the hashes of their names.
std::vector<keeper_candidate> candidates(const membership &Membership) {
  std::vector<keeper_candidate> Found;
  const auto Add = [&](const base::instance_name &Name) {
    Found.push_back({rendezvousPlace(Name), wire::hashOf(Name)});
  };
  for (const member &Member : Membership.Members)
    if (Member.State == member_state::Alive)
      Add(Member.Name);
  if (!Membership.Local.Leaving)
    Add(Membership.Self.Name);
  return Found;
}

std::uint32_t keeperOf(std::string_view Customer,
                       const std::vector<keeper_candidate> &Candidates) {
  const std::uint32_t Place = rendezvousPlace(Customer);
  const auto Best = std::ranges::max_element(
      Candidates, {}, [&](const keeper_candidate &Candidate) {
        return rendezvousDraw(Place, Candidate.Place);
      });
  return Best == Candidates.end() ? 0 : Best->Instance;
}

/// A keeper that says that it leaves has stopped to keep; of one that fell
/// silent it is not known when it notices that it hears nobody.
bool hasStopped(const membership &Membership, std::uint32_t Keeper) {
  const member *Member = findByHash(Membership, Keeper);
  return Member != nullptr && Member->State == member_state::Leaving;
}

/// Whether no instance that is heard has gathered for longer than since a
/// moment ago: then nobody has kept a bucket before, as a keeper would be heard
/// by somebody of every majority. So it is when all have started at the same
/// time.
bool isFresh(const demand_shares &Shares, const membership &Membership,
             instant Now) {
  return !hasGathered(Shares, Now) &&
         std::ranges::none_of(Membership.Members, [&](const member &Member) {
           return Member.CentralizesBuckets &&
                  isInContact(Membership, Member, Now);
         });
}

void appoint(demand_account &Account, std::uint32_t Keeper, instant From,
             double FirstTokens) {
  if (Account.Keeper == Keeper)
    return;
  Account.Keeper = Keeper;
  Account.KeepsFrom = From;
  Account.FirstTokens = FirstTokens;
}

/// Draws anew only after a change: it takes a draw for each customer and
/// instance.
void chooseKeepers(demand_shares &Shares, const membership &Membership,
                   instant Now) {
  auto Candidates = candidates(Membership);
  const bool Changed = Candidates != Shares.KeeperCandidates;
  const bool Begins = !Shares.GathersSince;
  const bool Fresh = isFresh(Shares, Membership, Now);
  for (auto &[Name, Account] : Shares.Accounts) {
    if (!Changed && !Begins && Account.Keeper != 0)
      continue;
    if (Begins)
      Account.Keeper = 0;
    const bool Stopped = hasStopped(Membership, Account.Keeper);
    const instant From = Fresh || Stopped ? Now : Now + KeeperPause;
    appoint(Account, keeperOf(Name, Candidates), From,
            Begins && Fresh ? FirstSeconds * Account.Rate : 0);
  }
  Shares.KeeperCandidates = std::move(Candidates);
}

void gather(const demand_shares &Shares, demand_account &Account, bool Kept) {
  // Whoever comes to keep it does not know what was spent.
  const bool Begins = Kept && !Account.Kept;
  Account.Gathered = true;
  Account.Kept = Kept;
  Account.Divisible = true;
  Account.Part = Kept ? Account.HeardPart : 0;
  if (Begins || !Kept)
    Account.Tokens = Begins ? Account.FirstTokens : 0;
  Account.Tokens = std::min(Account.Tokens, bucketDepth(Shares, Account));
}

/// The token that a caller may get in time: how long it waits for it.
microseconds waitFor(const demand_shares &Shares, const demand_account &Account,
                     double Needed) {
  const double Speed = fillSpeed(Shares, Account);
  constexpr microseconds Never{1'000'000};
  if (Speed <= 0)
    return Never;
  const double Missing = std::max(0.0, Needed - Account.Tokens);
  return microseconds(static_cast<std::int64_t>(Missing / Speed * 1e6));
}

demand_account *accountOf(demand_shares &Shares, std::string_view Customer) {
  const auto Found = Shares.Accounts.find(Customer);
  return Found == Shares.Accounts.end() ? nullptr : &Found->second;
}

} // namespace

void gatherRates(demand_shares &Shares, const membership &Membership,
                 bool InTouch, instant Now) {
  const bool Gathers = usesRelays(Membership) && Shares.Acquainted && InTouch &&
                       inContactWithMajority(Membership, Now);
  if (Gathers) {
    chooseKeepers(Shares, Membership, Now);
    Shares.GatheredAt = Now;
    Shares.GathersSince = Shares.GathersSince.value_or(Now);
  } else {
    Shares.GathersSince.reset();
  }
  // The keepers may not have noticed yet that this instance is silent.
  const bool Silent =
      Shares.GatheredAt && Now - *Shares.GatheredAt < DividePause;
  const bool Pauses = Silent || (usesRelays(Membership) && !Shares.Acquainted);
  const std::uint32_t Self = wire::hashOf(Membership.Self.Name);
  for (auto &[Name, Account] : Shares.Accounts) {
    if (Gathers) {
      gather(Shares, Account,
             Account.Keeper == Self && Now >= Account.KeepsFrom);
      continue;
    }
    Account.Gathered = false;
    Account.Kept = false;
    if (Pauses)
      Account.Part = 0;
    Account.Tokens = std::min(Account.Tokens, bucketDepth(Shares, Account));
  }
}

bool hasGathered(const demand_shares &Shares, instant Now) {
  return Shares.GathersSince && Now - *Shares.GathersSince > GatheringBegins;
}

bool isGathered(const demand_shares &Shares, std::string_view Customer) {
  const auto Found = Shares.Accounts.find(Customer);
  return Found != Shares.Accounts.end() && Found->second.Gathered;
}

const member *rateKeeper(const demand_shares &Shares,
                         const membership &Membership,
                         std::string_view Customer) {
  const auto Found = Shares.Accounts.find(Customer);
  if (Found == Shares.Accounts.end() || Found->second.Kept)
    return nullptr;
  return findByHash(Membership, Found->second.Keeper);
}

std::optional<keeper_answer> giveToken(demand_shares &Shares,
                                       std::string_view Customer,
                                       unsigned Priority, microseconds Patience,
                                       instant Now) {
  demand_account *Account = accountOf(Shares, Customer);
  if (Account == nullptr || !Account->Kept)
    return std::nullopt;
  fillBucket(Shares, *Account, Now);
  const double Needed = 1 + tokensReserved(Shares, *Account, Priority);
  const microseconds Wait = waitFor(Shares, *Account, Needed);
  if (Wait > Patience)
    return keeper_answer{false, Wait};
  --Account->Tokens;
  return keeper_answer{true, Wait};
}

demand_verdict verdictOf(demand_shares &Shares, std::string_view Customer,
                         const keeper_answer &Answer) {
  demand_account *Account = accountOf(Shares, Customer);
  if (Account == nullptr || !Answer.Given)
    return {false, false, Answer.Wait};
  ++Account->Unsettled;
  return {true, true, Answer.Wait};
}

} // namespace redwinggw::control
