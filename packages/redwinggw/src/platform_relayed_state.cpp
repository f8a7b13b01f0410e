#include "platform_relayed_state.hpp"
#include "platform_configuration.hpp"
#include "platform_endpoints.hpp"
#include "platform_loops.hpp"

#include "redwinggw/base/enum_table.hpp"
#include "redwinggw/base/log.hpp"
#include "redwinggw/control/relays.hpp"
#include "redwinggw/session/instance_list.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// In a fleet with relays, the states that an instance takes from the relays of
/// its availability zone. Only relays read them from the platform's store, so
/// the number of reads depends on the number of zones, not on that of the
/// instances.
namespace redwinggw {
namespace {

using base::milliseconds;
using session::state_kind;
using session::transferred_state;

/// Pause before the relays are asked again, and before it is checked again
/// whether they are known.
constexpr milliseconds RelayRetryInterval{100};
constexpr milliseconds JoinCheckInterval{20};

storage::listed_instance listed(const control::member &Member) {
  storage::listed_instance Instance;
  Instance.Name = Member.Name;
  Instance.Zone = Member.Zone;
  Instance.Peers = Member.Address;
  Instance.Capacity = Member.Capacity;
  return Instance;
}

/// The instances that have a row in the store, as far as is known.
transferred_state instancesHeld(platform_instance_state &State) {
  if (!State.Peers || !State.FleetReadAt)
    return {};
  encoded_state &Encoded = State.EncodedInstances;
  std::string Source = std::to_string(State.Peers->view().ListVersion);
  Encoded.State.Version = State.FleetVersion;
  if (Encoded.Source == Source)
    return Encoded.State;
  std::vector<storage::listed_instance> Instances;
  for (const control::member &Member : State.Peers->view().Members)
    if (Member.Listed)
      Instances.push_back(listed(Member));
  storage::listed_instance &Self = Instances.emplace_back();
  Self.Name = State.Settings.Name;
  Self.Zone = State.Settings.Zone;
  Self.Peers = State.Settings.Peers;
  Self.Capacity = State.Settings.Capacity;
  Encoded.Source = std::move(Source);
  Encoded.State.Text =
      std::make_shared<const std::string>(session::encodeInstances(Instances));
  return Encoded.State;
}

/// The relays that answer this instance, in the order of its choice.
std::vector<const control::member *>
answeringRelays(const platform_instance_state &State) {
  std::vector<const control::member *> Relays;
  if (!State.Peers)
    return Relays;
  const control::membership &View = State.Peers->view();
  for (const base::instance_name &Name : View.Relays) {
    const control::member *Member = findMember(View, Name);
    if (Member != nullptr && isInDirectContact(View, *Member, base::now()))
      Relays.push_back(Member);
  }
  return Relays;
}

control::fleet_position fleetPosition(const platform_instance_state &State) {
  control::fleet_position Position;
  if (!State.Peers) {
    if (State.OtherInstances)
      Position.UsesRelays = control::usesRelays(*State.OtherInstances,
                                                control::membership_limits());
    return Position;
  }
  const control::membership &View = State.Peers->view();
  Position.UsesRelays = usesRelays(View);
  Position.Joined = View.LastTick.has_value();
  Position.Relay = View.Relay;
  return Position;
}

constexpr std::array KindNames = std::to_array<base::enum_name<state_kind>>({
    {state_kind::Configuration, "configuration"},
    {state_kind::Endpoints, "endpoints"},
    {state_kind::Instances, "instances"},
});

void noteFetched(state_kind Kind, const base::instance_name &From,
                 const transferred_state &State) {
  base::logEvent(base::log_level::Info, base::log_part::Peers, "state_fetched",
                 {{"state", std::string(base::nameOf(KindNames, Kind))},
                  {"from", From},
                  {"version", std::to_string(State.Version)},
                  {"bytes", std::to_string(State.Text->size())}});
}

} // namespace

transferred_state stateHeld(platform_instance_state &State,
                            const session::transfer_request &Request) {
  switch (Request.Kind) {
  case state_kind::Configuration:
    return configurationHeld(State, Request);
  case state_kind::Endpoints:
    return endpointsHeld(State);
  case state_kind::Instances:
    return instancesHeld(State);
  }
  return {};
}

bool shouldAskRelays(const platform_instance_state &State,
                     control::state_need &Need) {
  return sourceOf(Need, fleetPosition(State), base::now()) ==
         control::state_source::Relays;
}

base::task<transferred_state> fetchFromRelays(platform_instance_state &State,
                                              state_kind Kind,
                                              std::uint64_t Held) {
  std::vector<session::connection_owner> Relays;
  for (const control::member *Relay : answeringRelays(State))
    Relays.push_back({Relay->Name, Relay->Address, Relay->Zone});
  // The instances of a zone have the same relays, which share the work. The
  // list of instances is the one that listDiffersFromRelay compares with.
  if (Kind != state_kind::Instances)
    std::ranges::shuffle(Relays, State.Random);
  const session::transfer_request Request{Held, Kind};
  for (const session::connection_owner &Relay : Relays) {
    if (!State.ForwardingClient)
      break;
    auto Fetched = co_await State.ForwardingClient->fetchState(Relay, Request);
    if (Fetched.Version == 0)
      continue;
    noteFetched(Kind, Relay.Name, Fetched);
    co_return Fetched;
  }
  co_await pauseWithJitter(State, State.Peers ? RelayRetryInterval
                                              : JoinCheckInterval);
  co_return transferred_state();
}

bool listDiffersFromRelay(const platform_instance_state &State) {
  const auto Relays = answeringRelays(State);
  if (Relays.empty())
    return false;
  const std::uint64_t List = Relays.front()->Report.List;
  return List != 0 && List != State.Peers->view().ListHash;
}

} // namespace redwinggw
