#include "platform_connections.hpp"
#include "platform_relayed_state.hpp"

#include "redwinggw/base/log.hpp"
#include "redwinggw/control/relays.hpp"
#include "redwinggw/session/endpoint_owner.hpp"
#include "redwinggw/session/standby_owner.hpp"

#include <algorithm>
#include <utility>

/// Which instance owns the connections to each endpoint, and how many each
/// instance may hold.
namespace redwinggw {

namespace {

/// Empty names where they are not computed yet.
session::connection_owners ownersOf(const platform_instance_state &State,
                                    std::string_view Endpoint) {
  if (State.Settings.Owners == owner_policy::Capacity)
    return ownersOf(State.Assignment, Endpoint);
  const auto Found = State.Owners.find(Endpoint);
  return Found == State.Owners.end() ? session::connection_owners()
                                     : Found->second;
}

session::owner_role ownRole(const platform_instance_state &State,
                            std::string_view Endpoint) {
  const session::connection_owners Owners = ownersOf(State, Endpoint);
  return Owners == session::connection_owners()
             ? session::owner_role::Owner
             : roleOf(Owners, State.Settings.Name);
}

} // namespace

bool isOwn(const platform_instance_state &State, std::string_view Endpoint) {
  return ownRole(State, Endpoint) == session::owner_role::Owner;
}

namespace {

using base::instant;

std::vector<session::owner_candidate>
ownerCandidates(const platform_instance_state &State, instant Now) {
  std::vector<session::owner_candidate> Candidates;
  if (State.Peers)
    Candidates = session::ownersAmong(State.Peers->view(), Now);
  if (State.Draining)
    return Candidates;
  const auto At = std::ranges::lower_bound(Candidates, State.Settings.Name, {},
                                           &session::owner_candidate::Name);
  Candidates.emplace(At, State.Settings.Name, State.Settings.Zone,
                     State.Settings.Capacity);
  return Candidates;
}

void logOwner(const base::endpoint_name &Endpoint,
              const base::instance_name &Before,
              const session::connection_owners &Now, bool HasStandby) {
  using base::log_field;
  const log_field Name{"endpoint", Endpoint};
  const log_field Was{"was", Before};
  const log_field Is{"is", Now.Owner};
  if (HasStandby)
    base::logEvent(base::log_level::Info, base::log_part::Endpoints,
                   "owner_changed", {Name, Was, Is, {"standby", Now.Standby}});
  else
    base::logEvent(base::log_level::Info, base::log_part::Endpoints,
                   "owner_changed", {Name, Was, Is});
}

/// Whether this instance has, or had, to do with the endpoint. Another one's
/// owner is not logged: in a large fleet each change moves some endpoints.
bool isInvolved(const platform_instance_state &State,
                const base::endpoint_name &Endpoint,
                const session::connection_owners &Owners) {
  return State.Settings.Owners == owner_policy::Hash ||
         State.Owners.contains(Endpoint) ||
         findPool(State.Endpoints, Endpoint) ||
         roleOf(Owners, State.Settings.Name) != session::owner_role::Other;
}

void noteOwners(platform_instance_state &State,
                const base::endpoint_name &Endpoint,
                session::connection_owners Owners) {
  if (!isInvolved(State, Endpoint, Owners))
    return;
  auto &Known = State.Owners[Endpoint];
  if (Known != Owners)
    logOwner(Endpoint, Known.Owner, Owners, State.Core.Limits.StandbyOwners);
  Known = std::move(Owners);
}

void assignByHash(platform_instance_state &State,
                  std::vector<session::owner_candidate> Candidates,
                  const session::candidate_changes &Changes) {
  for (const auto &[Name, Known] : State.Endpoints.Directory.Endpoints) {
    const auto *Owner = ownerAfter(
        Name, Known.Entry.Zone, State.Owners[Name].Owner, Changes, Candidates);
    noteOwners(State, Name, {Owner == nullptr ? "" : Owner->Name, ""});
  }
  State.OwnerCandidates = std::move(Candidates);
}

std::vector<session::owned_endpoint>
listedEndpoints(const platform_instance_state &State) {
  std::vector<session::owned_endpoint> Endpoints;
  const auto &Listed = State.Endpoints.Directory.Endpoints;
  Endpoints.reserve(Listed.size());
  for (const auto &[Name, Known] : Listed)
    Endpoints.push_back({Name, Known.Entry.Zone});
  return Endpoints;
}

/// True if owners may have changed.
bool assignByCapacity(platform_instance_state &State,
                      std::vector<session::owner_candidate> Candidates) {
  session::owner_assignment &Assignment = State.Assignment;
  const auto Changed =
      State.ConnectionsStale
          ? updateAssignment(Assignment, listedEndpoints(State),
                             std::move(Candidates))
          : updateCandidates(Assignment, std::move(Candidates));
  if (!Changed)
    return false;
  for (const std::size_t Position : *Changed)
    noteOwners(State, Assignment.Endpoints[Position].Name,
               Assignment.Owners[Position]);
  return true;
}

/// Forgets the owners of endpoints that are gone.
void forgetFormerEndpoints(platform_instance_state &State) {
  const auto IsFormer = [&](const auto &Item) {
    return !State.Endpoints.Directory.Endpoints.contains(Item.first);
  };
  std::erase_if(State.Owners, IsFormer);
  std::erase_if(State.StandbyLoggedAt, IsFormer);
}

/// Whether owners have to be computed again. In a fleet with relays the states
/// of the members alone decide who may own endpoints.
bool mayOwnersDiffer(platform_instance_state &State) {
  if (!State.Peers)
    return true;
  const control::membership &View = State.Peers->view();
  const owner_basis Basis{View.StatesVersion, State.Draining};
  const owner_basis Before = std::exchange(State.OwnerBasis, Basis);
  return State.ConnectionsStale || !usesRelays(View) || Before != Basis;
}

/// Each instance computes the owners on its own, from the instances that it is
/// in contact with. Recomputed only after a change; true if it was.
bool assignOwners(platform_instance_state &State) {
  if (!mayOwnersDiffer(State))
    return false;
  const instant Now = base::now();
  auto Candidates = ownerCandidates(State, Now);
  if (State.Settings.Owners == owner_policy::Capacity) {
    if (!assignByCapacity(State, std::move(Candidates)))
      return false;
  } else {
    const auto Changes = changesBetween(State.OwnerCandidates, Candidates);
    if (Changes.none() && !State.ConnectionsStale)
      return false;
    assignByHash(State, std::move(Candidates), Changes);
  }
  forgetFormerEndpoints(State);
  if (!State.Peers || !State.ForwardingClient)
    return true;
  for (const control::member &Member : State.Peers->view().Members)
    if (!session::mayOwn(State.Peers->view(), Member, Now))
      State.ForwardingClient->closeIdle(Member.Name);
  return true;
}

/// Ends what was forwarded to instances that are not heard any more, so that
/// its callers are told at once. One that leaves still answers. If this
/// instance was paused, it has heard nobody, and answers may be waiting here.
void abandonLostOwners(platform_instance_state &State) {
  using enum control::member_state;
  if (!State.Core.Limits.StandbyOwners || !State.Peers ||
      !State.ForwardingClient)
    return;
  constexpr base::milliseconds PausedAfter{500};
  const instant Now = base::now();
  const instant Before = std::exchange(State.OwnersCheckedAt, Now);
  if (Now - Before > PausedAfter)
    return;
  for (const control::member &Member : State.Peers->view().Members)
    if (Member.State == Suspect || Member.State == Dead)
      State.ForwardingClient->abandon(Member.Name, Now);
}

/// Only the owner may send to a cold endpoint, with a permission that it
/// acquires before the first statement: see followColdEndpoints.
void openPoolsForColdEndpoints(platform_instance_state &State) {
  if (!coldLimits(State.Settings))
    return;
  for (const auto &[Name, Known] : State.Endpoints.Directory.Endpoints)
    if (isOwn(State, Name))
      poolOf(State.Endpoints, Name);
}

bool mayForwardTo(const platform_instance_state &State,
                  std::string_view Instance) {
  const instant Now = base::now();
  const control::member *Member = findMember(State.Peers->view(), Instance);
  return Member != nullptr &&
         session::mayOwn(State.Peers->view(), *Member, Now) &&
         State.ForwardingClient->isUsable(Instance, Now);
}

void noteStandbyUsed(platform_instance_state &State,
                     const base::endpoint_name &Endpoint,
                     const session::connection_owners &Owners) {
  constexpr std::chrono::seconds LogInterval{1};
  const instant Now = base::now();
  const auto [Last, First] = State.StandbyLoggedAt.try_emplace(Endpoint, Now);
  if (!First && Now - Last->second < LogInterval)
    return;
  Last->second = Now;
  base::logEvent(base::log_level::Warning, base::log_part::Endpoints,
                 "standby_used",
                 {{"endpoint", Endpoint},
                  {"owner", Owners.Owner},
                  {"standby", Owners.Standby}});
}

} // namespace

void startForwarding(platform_instance_state &State,
                     const std::string &Secret) {
  const auto Executor = State.Context.get_executor();
  State.ForwardingClient = std::make_unique<session::forwarding_client>(
      Executor, State.Endpoints.Watch, Secret);
  State.ForwardingServer = std::make_unique<session::forwarding_server>(
      Executor, State.Core, Secret);
  State.ForwardingServer->serveStateFrom(
      [&State](const session::transfer_request &Request) {
        return stateHeld(State, Request);
      },
      session::maxTransfers(State.Settings.LinkMbps));
  // When listening fails, the other instances connect to the endpoints
  // themselves.
  if (const auto Listening =
          State.ForwardingServer->listen(State.Settings.Peers);
      !Listening)
    base::log(base::log_level::Error, base::log_part::Peers,
              describe(Listening.error()));
}

void configurePool(platform_instance_state &State,
                   session::endpoint_pool &Pool) {
  if (!State.Routes)
    return;
  const auto Service = State.Routes->Services.find(Pool.entry().Service);
  if (Service == State.Routes->Services.end())
    return;
  configure(Pool.cold(), coldLimits(State.Settings),
            Service->second.ColdPerSecond, Service->second.ColdStart);
  Pool.setEvacuated(isEvacuated(State.Evacuations, Pool.entry().Zone));
  const session::owner_role Role = ownRole(State, Pool.entry().Name);
  Pool.setOwnedElsewhere(Role != session::owner_role::Owner);
  const std::size_t Instances =
      State.Peers ? instanceCount(State.Peers->view()) : 1;
  session::pool_limits Limits =
      session::limitsFor(Role, Service->second.Connections, Instances);
  Limits.Policy = State.Settings.Connections;
  Pool.setLimits(Limits);
}

void configureNewPool(platform_instance_state &State,
                      session::endpoint_pool &Pool) {
  configurePool(State, Pool);
  const base::endpoint_name &Name = Pool.entry().Name;
  if (const auto Owners = ownersOf(State, Name); !Owners.Owner.empty())
    noteOwners(State, Name, Owners);
  // The pools that were in use when the evacuation ended presume this as well:
  // the list may not say yet that the endpoint returned cold.
  const auto Ended = State.EvacuationEndedAt.find(Pool.entry().Zone);
  if (Ended != State.EvacuationEndedAt.end())
    presumeCold(Pool.cold(), Ended->second);
}

void divideConnections(platform_instance_state &State) {
  abandonLostOwners(State);
  if (!State.Routes)
    return;
  const std::size_t Instances =
      State.Peers ? instanceCount(State.Peers->view()) : 1;
  const bool OwnersAssigned = assignOwners(State);
  if (!OwnersAssigned && !State.ConnectionsStale &&
      Instances == State.DividedAmong)
    return;
  State.ConnectionsStale = false;
  State.DividedAmong = Instances;
  openPoolsForColdEndpoints(State);
  for (auto &[Name, Pool] : State.Endpoints.Pools)
    configurePool(State, *Pool);
}

std::unique_ptr<session::forwarding_link>
forwardingLinkTo(platform_instance_state &State,
                 const session::endpoint_entry &Entry,
                 std::string_view Customer, unsigned Priority) {
  if (!State.ForwardingClient || !State.Peers)
    return nullptr;
  const session::connection_owners Owners = ownersOf(State, Entry.Name);
  const base::instance_name Runner = session::runnerOf(
      Owners, State.Settings.Name, [&State](std::string_view Instance) {
        return mayForwardTo(State, Instance);
      });
  if (!Runner.empty() && Runner == Owners.Standby)
    noteStandbyUsed(State, Entry.Name, Owners);
  if (Runner.empty() || Runner == State.Settings.Name)
    return nullptr;
  const control::member *Member = findMember(State.Peers->view(), Runner);
  return State.ForwardingClient->linkTo({Runner, Member->Address, Member->Zone},
                                        Entry.Name, std::string(Customer),
                                        Priority);
}

} // namespace redwinggw
