#include "models.hpp"

#include <algorithm>

namespace redwinggw::matrix {
namespace {

endpoint_model endpointNamed(const node &Name) {
  endpoint_model Endpoint;
  Endpoint.State.Name = Name;
  Endpoint.State.Term = 1;
  Endpoint.State.Order = "first";
  Endpoint.State.History = {{1, 0}};
  return Endpoint;
}

instance_model instanceNamed(const node &Name,
                             const std::vector<node> &Members) {
  instance_model Instance;
  Instance.Name = Name;
  Instance.View.Group = "g";
  std::vector<control::endpoint> Endpoints(Members.size());
  std::ranges::transform(Members, Endpoints.begin(), [](const node &Member) {
    control::endpoint Endpoint;
    Endpoint.Name = Member;
    return Endpoint;
  });
  setMembers(Instance.View, Endpoints);
  setConfirmMembers(Instance.Confirm, Members);
  return Instance;
}

/// The live primary of the highest term, whose log the group continues with.
const endpoint_model *livePrimary(const world &World) {
  const endpoint_model *Best = nullptr;
  for (const auto &[Name, Endpoint] : World.Endpoints) {
    const bool IsCurrentPrimary =
        Endpoint.State.Role == data::endpoint_role::Primary &&
        !World.Net.Killed.contains(Name);
    if (IsCurrentPrimary &&
        (Best == nullptr || Endpoint.State.Term > Best->State.Term))
      Best = &Endpoint;
  }
  return Best;
}

void checkLog(world &World, const std::vector<log_entry> &Log) {
  std::set<std::string> &Broken = World.History.Broken;
  std::map<base::log_position, write_id> ByPosition;
  for (const history::acknowledged &Write : World.History.Writes) {
    const bool Kept = Write.Position <= Log.size() &&
                      Log[Write.Position - 1].Write == Write.Write;
    if (!Kept)
      Broken.insert("no write lost");
    const auto [Known, New] = ByPosition.emplace(Write.Position, Write.Write);
    if (!New && Known->second != Write.Write)
      Broken.insert("one write a position");
  }
  std::set<write_id> Seen;
  for (const log_entry &Entry : Log)
    if (!Seen.insert(Entry.Write).second)
      Broken.insert("no write doubled");
}

} // namespace

world::world(std::uint64_t Seed) : Net(Seed) {
  const std::vector<node> Members{"a", "b", "c"};
  for (const node &Member : Members)
    Endpoints.emplace(Member, endpointNamed(Member));
  endpoint_model &Primary = Endpoints.at("a");
  Primary.State.Role = data::endpoint_role::Primary;
  Primary.Members = {"b", "c"};
  History.Primaries[1] = "a";
  for (const node &Name : {"i", "j", "k"})
    Instances.emplace(Name, instanceNamed(Name, Members));
  OnStep = [](step, const node &) {};
}

void startWorld(world &World) {
  for (const auto &Entry : World.Endpoints)
    World.ShipInterval[Entry.first] =
        base::milliseconds(2 + World.Net.pick(60));
  for (const auto &From : World.Endpoints)
    for (const auto &To : World.Endpoints)
      shipLog(World, From.first, To.first);
  for (auto &Entry : World.Instances) {
    Entry.second.Confirm.Parameters = World.Confirm;
    startInstance(World, Entry.second);
    startCallers(World, Entry.second);
  }
}

void checkHistory(world &World) {
  if (const endpoint_model *Primary = livePrimary(World)) {
    checkLog(World, Primary->Log);
    return;
  }
  // Without a primary the group must still be able to continue with everything
  // that was acknowledged: some live log of a majority holds it.
  const auto Longest =
      std::ranges::max_element(World.Endpoints, {}, [](const auto &Entry) {
        return std::pair(data::lastEntryTerm(Entry.second.State),
                         Entry.second.Log.size());
      });
  checkLog(World, Longest->second.Log);
}

} // namespace redwinggw::matrix
