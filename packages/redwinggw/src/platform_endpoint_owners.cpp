#include "platform_instance_state.hpp"

#include "redwinggw/base/log.hpp"
#include "redwinggw/session/endpoint_owner.hpp"

#include <algorithm>

/// Which instance owns the connections to each endpoint, and how many each
/// instance may hold.
namespace redwinggw {

bool isOwn(const platform_instance_state &State, std::string_view Endpoint) {
  const auto Owner = State.Owners.find(Endpoint);
  return Owner == State.Owners.end() || Owner->second == State.Settings.Name;
}

namespace {

using base::instant;

/// Percentage of an endpoint's connections that its owner may open at any time.
/// The rest is for instances that cannot reach the owner, and for probes.
constexpr std::size_t OwnedPercent = 85;
/// Percentage that the owner keeps open when idle. An endpoint counts the
/// connections of an instance that lost power for three more seconds: with less
/// than half of them open, the next owner can still open as many as it needs.
constexpr std::size_t KeptPercent = 45;

std::vector<session::owner_candidate>
ownerCandidates(const platform_instance_state &State, instant Now) {
  std::vector<session::owner_candidate> Candidates;
  if (State.Peers)
    Candidates = session::ownersAmong(State.Peers->view(), Now);
  if (State.Draining)
    return Candidates;
  const auto At = std::ranges::lower_bound(Candidates, State.Settings.Name, {},
                                           &session::owner_candidate::Name);
  Candidates.emplace(At, State.Settings.Name, State.Settings.Zone);
  return Candidates;
}

session::pool_limits limitsFor(const platform_instance_state &State,
                               const session::endpoint_entry &Entry,
                               std::size_t Accepted) {
  session::pool_limits Limits;
  const std::size_t Instances =
      State.Peers ? instanceCount(State.Peers->view()) : 1;
  if (isOwn(State, Entry.Name)) {
    constexpr std::size_t Whole = 100;
    constexpr std::size_t Min = 1;
    Limits.Connections = std::max(Min, Accepted * OwnedPercent / Whole);
    Limits.KeptConnections = std::max(Min, Accepted * KeptPercent / Whole);
    Limits.MaxConnections = std::max(Limits.Connections, Accepted);
    return Limits;
  }
  // Few, since only statements that the owner cannot run use them.
  Limits.Connections = 1;
  Limits.MaxConnections = std::max<std::size_t>(1, 2 * Accepted / Instances);
  return Limits;
}

void noteOwner(platform_instance_state &State,
               const base::endpoint_name &Endpoint,
               const session::owner_candidate *Owner) {
  const base::instance_name Name = Owner == nullptr ? "" : Owner->Name;
  auto &Known = State.Owners[Endpoint];
  if (Known == Name)
    return;
  base::logEvent(base::log_level::Info, base::log_part::Endpoints,
                 "owner_changed",
                 {{"endpoint", Endpoint}, {"was", Known}, {"is", Name}});
  Known = Name;
}

/// Each instance computes the owners on its own, from the instances that it is
/// in contact with. Recomputed only after a change; true if it was.
bool assignOwners(platform_instance_state &State) {
  const instant Now = base::now();
  auto Candidates = ownerCandidates(State, Now);
  const auto Changes = changesBetween(State.OwnerCandidates, Candidates);
  if (Changes.none() && !State.ConnectionsStale)
    return false;
  for (const auto &[Name, Pool] : State.Endpoints.Pools)
    noteOwner(State, Name,
              ownerAfter(Name, Pool->entry().Zone, State.Owners[Name], Changes,
                         Candidates));
  State.OwnerCandidates = std::move(Candidates);
  std::erase_if(State.Owners, [&](const auto &Item) {
    return !State.Endpoints.Pools.contains(Item.first);
  });
  if (!State.Peers || !State.ForwardingClient)
    return true;
  for (const control::member &Member : State.Peers->view().Members)
    if (!session::mayOwn(State.Peers->view(), Member, Now))
      State.ForwardingClient->closeIdle(Member.Name);
  return true;
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
    Pool->setOwnedElsewhere(!isOwn(State, Name));
    Pool->setLimits(
        limitsFor(State, Pool->entry(), Service->second.Connections));
  }
}

std::unique_ptr<session::forwarding_link>
forwardingLinkTo(platform_instance_state &State,
                 const session::endpoint_entry &Entry,
                 std::string_view Customer, unsigned Priority) {
  if (isOwn(State, Entry.Name) || !State.ForwardingClient || !State.Peers)
    return nullptr;
  const instant Now = base::now();
  const base::instance_name &Owner = State.Owners.find(Entry.Name)->second;
  const control::member *Member = findMember(State.Peers->view(), Owner);
  if (Member == nullptr ||
      !session::mayOwn(State.Peers->view(), *Member, Now) ||
      !State.ForwardingClient->isUsable(Owner, Now))
    return nullptr;
  return State.ForwardingClient->linkTo({Owner, Member->Address, Member->Zone},
                                        Entry.Name, std::string(Customer),
                                        Priority);
}

} // namespace redwinggw
