#include "redwinggw/control/bucket_requests.hpp"

#include "redwinggw/control/centralized_buckets.hpp"
#include "redwinggw/control/relays.hpp"

#include <algorithm>
#include <set>

namespace redwinggw::control {
namespace {

using base::instant;

/// Whether nothing was asked for so long that \p Unanswered says nothing about
/// the instance's state any more.
bool isOutdated(const unanswered_requests &Unanswered, instant Now) {
  if (!Unanswered.RelayedAt)
    return Now - Unanswered.LastAt > UnansweredTimeout;
  return Now - std::max(Unanswered.LastAt, *Unanswered.RelayedAt) >
         RelayedTimeout;
}

/// Whether an owner that does not answer directly does so through a relay.
bool isRelayed(const unanswered_requests &Unanswered, instant Now) {
  return Unanswered.RelayedAt &&
         Now - *Unanswered.RelayedAt < RelayedOwnerSkipTime;
}

bool isSkipped(const bucket_requests &Requests, std::string_view Instance,
               instant Now) {
  const auto Found = Requests.Unanswered.find(Instance);
  if (Found == Requests.Unanswered.end())
    return false;
  const unanswered_requests &Unanswered = Found->second;
  return Now - Unanswered.LastAt <
         (isRelayed(Unanswered, Now) ? RelayedOwnerSkipTime : OwnerSkipTime);
}

bool isRelaySkipped(const bucket_requests &Requests, const member &Relay,
                    const member &Owner, instant Now) {
  const auto Found = Requests.UnansweredRelays.find({Relay.Name, Owner.Name});
  return Found != Requests.UnansweredRelays.end() &&
         Now - Found->second < RelaySkipTime;
}

/// The place of \p Relay in the order in which relays are tried.
int relayOrder(const membership &Membership, const member &Relay,
               const member &Owner, instant Now) {
  const bool OwnersZone = Relay.Zone == Owner.Zone;
  if (isInDirectContact(Membership, Relay, Now))
    return OwnersZone ? 0 : 1;
  return OwnersZone ? 3 : 2;
}

/// The relays that can be asked for a token of \p Owner, those first that are
/// tried first.
std::vector<const member *> relaysTo(const bucket_requests &Requests,
                                     const membership &Membership,
                                     const member &Owner, instant Now) {
  std::vector<const member *> Relays;
  std::set<std::string_view> FailedZones;
  for (const std::size_t Index : allRelays(Membership, Now)) {
    const member &Relay = Membership.Members[Index];
    if (isRelaySkipped(Requests, Relay, Owner, Now))
      FailedZones.insert(Relay.Zone);
    else if (Relay.State == member_state::Alive && Relay.Name != Owner.Name)
      Relays.push_back(&Relay);
  }
  std::ranges::stable_sort(Relays, {}, [&](const member *Relay) {
    return std::pair(FailedZones.contains(Relay->Zone),
                     relayOrder(Membership, *Relay, Owner, Now));
  });
  return Relays;
}

std::optional<instant> unansweredSince(const bucket_requests &Requests,
                                       std::string_view Instance, instant Now) {
  const auto Found = Requests.Unanswered.find(Instance);
  return Found == Requests.Unanswered.end() || isOutdated(Found->second, Now)
             ? std::nullopt
             : std::optional(Found->second.Since);
}

/// Whether a relay has heard \p Owner since this instance got no answer from
/// it: it is alive, and cannot be reached from here. Relayed times are
/// estimates, hence the margin.
bool isHeardSince(const bucket_requests &Requests, const member &Owner,
                  instant Now) {
  constexpr base::milliseconds Margin{100};
  const auto Since = unansweredSince(Requests, Owner.Name, Now);
  return Since && Owner.HeardAt && *Owner.HeardAt > *Since + Margin;
}

/// How long it takes until this owner or the next one is expected to grant a
/// token; nothing while the owner is alive and no relay to it can be asked.
std::optional<base::microseconds>
ownerTokenExpected(const bucket_requests &Requests, const demand_shares &Shares,
                   const membership &Membership, std::string_view Customer,
                   instant Now) {
  const member *Owner = bucketOwner(Shares, Membership, Customer);
  if (Owner == nullptr || !isHeardSince(Requests, *Owner, Now))
    return nextOwnerExpected(Shares, Membership, Customer,
                             Owner == nullptr
                                 ? std::nullopt
                                 : unansweredSince(Requests, Owner->Name, Now),
                             Now);
  // It is not replaced, and asked again after this time.
  if (bucketRelay(Requests, Membership, *Owner, Now) != nullptr)
    return OwnerSkipTime;
  return std::nullopt;
}

} // namespace

void noteRequest(bucket_requests &Requests, std::string_view Instance,
                 bool Answered, instant Sent) {
  std::erase_if(Requests.Unanswered, [&](const auto &Entry) {
    return isOutdated(Entry.second, Sent);
  });
  const auto Found = Requests.Unanswered.find(Instance);
  const bool Known = Found != Requests.Unanswered.end();
  if (Answered && Known)
    Requests.Unanswered.erase(Found);
  else if (!Answered && Known)
    Found->second.LastAt = Sent;
  else if (!Answered)
    Requests.Unanswered.emplace(Instance, unanswered_requests{Sent, Sent});
}

void noteRelayedRequest(bucket_requests &Requests, std::string_view Relay,
                        std::string_view Owner, bool Answered, instant Sent) {
  const std::pair<base::instance_name, base::instance_name> Path(Relay, Owner);
  if (!Answered) {
    Requests.UnansweredRelays[Path] = Sent;
    return;
  }
  Requests.UnansweredRelays.erase(Path);
  const auto Found = Requests.Unanswered.find(Owner);
  if (Found == Requests.Unanswered.end())
    return;
  Found->second.RelayedAt = Sent;
  Found->second.RelayedBy = Relay;
}

const member *bucketRelay(const bucket_requests &Requests,
                          const membership &Membership, const member &Owner,
                          instant Now) {
  if (Owner.State != member_state::Alive || !isHeardSince(Requests, Owner, Now))
    return nullptr;
  const unanswered_requests &Unanswered =
      Requests.Unanswered.find(Owner.Name)->second;
  const auto Relays = relaysTo(Requests, Membership, Owner, Now);
  const auto Last =
      std::ranges::find(Relays, Unanswered.RelayedBy, &member::Name);
  if (Last != Relays.end())
    return *Last;
  return Relays.empty() ? nullptr : Relays.front();
}

std::vector<token_source> planRequests(const bucket_requests &Requests,
                                       const member &Owner, const member *Relay,
                                       const member *Successor, instant Now) {
  std::vector<token_source> Plan;
  const bool OwnerLast = isSkipped(Requests, Owner.Name, Now);
  const bool AsksReserve =
      Successor == nullptr || !isSkipped(Requests, Successor->Name, Now);
  if (!OwnerLast)
    Plan.push_back(token_source::Owner);
  if (Relay != nullptr)
    Plan.push_back(token_source::Relay);
  if (AsksReserve)
    Plan.push_back(token_source::Reserve);
  if (OwnerLast)
    Plan.push_back(token_source::Owner);
  return Plan;
}

base::microseconds tokenExpected(const bucket_requests &Requests,
                                 const demand_shares &Shares,
                                 const membership &Membership,
                                 std::string_view Customer, instant Now) {
  // Relays that got no answer are asked again after this time.
  return ownerTokenExpected(Requests, Shares, Membership, Customer, Now)
      .value_or(RelaySkipTime);
}

base::microseconds
waitBesideReserve(const bucket_requests &Requests, const demand_shares &Shares,
                  const membership &Membership, std::string_view Customer,
                  base::microseconds ReserveWait, instant Now) {
  const auto Expected =
      ownerTokenExpected(Requests, Shares, Membership, Customer, Now);
  return std::min(ReserveWait, Expected.value_or(ReserveWait));
}

} // namespace redwinggw::control
