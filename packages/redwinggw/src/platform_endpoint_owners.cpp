#include "platform_instance_state.hpp"

#include "redwinggw/base/log.hpp"
#include "redwinggw/session/endpoint_owner.hpp"
#include "redwinggw/session/standby_owner.hpp"

#include <algorithm>
#include <utility>

/// Which instance owns the connections to each endpoint, and how many each
/// instance may hold.
namespace redwinggw {

namespace {

session::owner_role ownRole(const platform_instance_state &State,
                            std::string_view Endpoint) {
  const auto Found = State.Owners.find(Endpoint);
  return Found == State.Owners.end()
             ? session::owner_role::Owner
             : roleOf(Found->second, State.Settings.Name);
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

/// Empty names where they are not computed yet.
session::connection_owners ownersOf(const platform_instance_state &State,
                                    std::string_view Endpoint) {
  const auto Found = State.Owners.find(Endpoint);
  return Found == State.Owners.end() ? session::connection_owners()
                                     : Found->second;
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

void noteOwners(platform_instance_state &State,
                const base::endpoint_name &Endpoint,
                session::connection_owners Owners) {
  auto &Known = State.Owners[Endpoint];
  if (Known != Owners)
    logOwner(Endpoint, Known.Owner, Owners, State.Core.Limits.StandbyOwners);
  Known = std::move(Owners);
}

void assignByHash(platform_instance_state &State,
                  std::vector<session::owner_candidate> Candidates,
                  const session::candidate_changes &Changes) {
  for (const auto &[Name, Pool] : State.Endpoints.Pools) {
    const auto *Owner =
        ownerAfter(Name, Pool->entry().Zone, State.Owners[Name].Owner, Changes,
                   Candidates);
    noteOwners(State, Name, {Owner == nullptr ? "" : Owner->Name, ""});
  }
  State.OwnerCandidates = std::move(Candidates);
}

void assignByCapacity(platform_instance_state &State,
                      std::vector<session::owner_candidate> Candidates) {
  std::vector<session::owned_endpoint> Endpoints;
  Endpoints.reserve(State.Endpoints.Pools.size());
  for (const auto &[Name, Pool] : State.Endpoints.Pools)
    Endpoints.push_back({Name, Pool->entry().Zone});
  session::owner_assignment &Assignment = State.Assignment;
  if (!updateAssignment(Assignment, std::move(Endpoints),
                        std::move(Candidates)))
    return;
  for (std::size_t Index = 0; Index < Assignment.Endpoints.size(); ++Index)
    noteOwners(State, Assignment.Endpoints[Index].Name,
               Assignment.Owners[Index]);
}

/// Forgets the owners of endpoints that are gone.
void forgetFormerEndpoints(platform_instance_state &State) {
  const auto IsFormer = [&](const auto &Item) {
    return !State.Endpoints.Pools.contains(Item.first);
  };
  std::erase_if(State.Owners, IsFormer);
  std::erase_if(State.StandbyLoggedAt, IsFormer);
}

/// Each instance computes the owners on its own, from the instances that it is
/// in contact with. Recomputed only after a change; true if it was.
bool assignOwners(platform_instance_state &State) {
  const instant Now = base::now();
  auto Candidates = ownerCandidates(State, Now);
  if (State.Settings.Owners == owner_policy::Capacity) {
    if (Candidates == State.Assignment.Candidates && !State.ConnectionsStale)
      return false;
    assignByCapacity(State, std::move(Candidates));
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
  State.ForwardingServer->serveConfigurationFrom(
      [&State] { return State.Stored; });
  // When listening fails, the other instances connect to the endpoints
  // themselves.
  if (const auto Listening =
          State.ForwardingServer->listen(State.Settings.Peers);
      !Listening)
    base::log(base::log_level::Error, base::log_part::Peers,
              describe(Listening.error()));
}

void divideConnections(platform_instance_state &State) {
  abandonLostOwners(State);
  if (!State.Routes)
    return;
  const std::size_t Instances =
      State.Peers ? instanceCount(State.Peers->view()) : 1;
  const bool OwnersAssigned = assignOwners(State);
  if (!OwnersAssigned && Instances == State.DividedAmong)
    return;
  State.ConnectionsStale = false;
  State.DividedAmong = Instances;
  for (auto &[Name, Pool] : State.Endpoints.Pools) {
    const auto Service = State.Routes->Services.find(Pool->entry().Service);
    if (Service == State.Routes->Services.end())
      continue;
    configure(Pool->cold(), coldLimits(State.Settings),
              Service->second.ColdPerSecond, Service->second.ColdStart);
    Pool->setEvacuated(isEvacuated(State.Evacuations, Pool->entry().Zone));
    const session::owner_role Role = ownRole(State, Name);
    Pool->setOwnedElsewhere(Role != session::owner_role::Owner);
    session::pool_limits Limits =
        session::limitsFor(Role, Service->second.Connections, Instances);
    Limits.Policy = State.Settings.Connections;
    Pool->setLimits(Limits);
  }
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
