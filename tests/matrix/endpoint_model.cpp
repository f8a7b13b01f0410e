#include "models.hpp"

#include <algorithm>

namespace redwinggw::matrix {
namespace {

using data::endpoint_role;

bool isOutdated(const endpoint_model &Endpoint, base::term_number Term,
                const std::string &Order) {
  const auto &State = Endpoint.State;
  return Term < State.Term || (Term == State.Term && Order != State.Order);
}

void setRole(endpoint_model &Endpoint, base::term_number Term,
             const std::string &Order, endpoint_role Role) {
  Endpoint.State.Term = Term;
  Endpoint.State.Order = Order;
  Endpoint.State.Role = Role;
}

bool isPrimaryIn(const endpoint_model &Endpoint, base::term_number Expected) {
  return Endpoint.State.Role == endpoint_role::Primary &&
         Endpoint.State.Term == Expected;
}

void copyLog(endpoint_model &Replica, const endpoint_model &Primary) {
  auto &State = Replica.State;
  if (State.Role != endpoint_role::Replica || State.Term != Primary.State.Term)
    return;
  const bool SameHistory = State.History == Primary.State.History;
  if (SameHistory && Replica.Log.size() >= Primary.Log.size())
    return;
  Replica.Log = Primary.Log;
  State.History = Primary.State.History;
  State.Received = State.Applied = Primary.State.Received;
}

} // namespace

run_reply serveWrite(endpoint_model &Endpoint, base::term_number Expected,
                     write_id Write) {
  run_reply Reply;
  if (isPrimaryIn(Endpoint, Expected)) {
    Reply.Ran = true;
    // Models the unique key of the write's id: a retry finds the first run.
    const bool Known =
        std::ranges::find(Endpoint.Log, Write, &log_entry::Write) !=
        Endpoint.Log.end();
    if (!Known)
      Endpoint.Log.push_back({Endpoint.State.Term, Write});
    Endpoint.State.Received = Endpoint.State.Applied = Endpoint.Log.size();
    const auto Found =
        std::ranges::find(Endpoint.Log, Write, &log_entry::Write);
    Reply.Position = 1 + (Found - Endpoint.Log.begin());
  }
  Reply.State = Endpoint.State;
  return Reply;
}

run_reply serveRead(endpoint_model &Endpoint, base::term_number Expected) {
  run_reply Reply;
  Reply.Ran = isPrimaryIn(Endpoint, Expected);
  Reply.Position = Endpoint.Log.size();
  Reply.Log = std::make_shared<std::vector<log_entry>>(Endpoint.Log);
  Reply.State = Endpoint.State;
  return Reply;
}

bool serveSeal(endpoint_model &Endpoint, base::term_number Term,
               const std::string &Order) {
  if (isOutdated(Endpoint, Term, Order))
    return false;
  if (Term > Endpoint.State.Term)
    setRole(Endpoint, Term, Order, endpoint_role::Sealed);
  return true;
}

bool servePromote(world &World, endpoint_model &Endpoint,
                  const data::promote_member &Request) {
  if (isOutdated(Endpoint, Request.Term, Request.Order))
    return false;
  if (isPrimaryIn(Endpoint, Request.Term))
    return true;
  setRole(Endpoint, Request.Term, Request.Order, endpoint_role::Primary);
  Endpoint.State.History.push_back({Request.Term, Endpoint.Log.size()});
  Endpoint.Members.clear();
  for (const data::endpoint_address &Other : Request.Others)
    Endpoint.Members.push_back(Other.Name);
  const auto [Known, New] =
      World.History.Primaries.emplace(Request.Term, Endpoint.State.Name);
  if (!New && Known->second != Endpoint.State.Name)
    World.History.Broken.insert("one primary a term");
  return true;
}

bool serveFollow(endpoint_model &Endpoint, base::term_number Term,
                 const std::string &Order) {
  if (isOutdated(Endpoint, Term, Order))
    return false;
  if (!isPrimaryIn(Endpoint, Term))
    setRole(Endpoint, Term, Order, endpoint_role::Replica);
  return true;
}

void shipLog(world &World, const node &Name, const node &Member) {
  const endpoint_model &Endpoint = World.Endpoints.at(Name);
  const bool Ships =
      Endpoint.State.Role == endpoint_role::Primary &&
      std::ranges::find(Endpoint.Members, Member) != Endpoint.Members.end();
  // A message without changes has no effect; omitting it saves time.
  const endpoint_model &Replica = World.Endpoints.at(Member);
  const bool HasChanges = Replica.Log.size() != Endpoint.Log.size() ||
                          Replica.State.History != Endpoint.State.History;
  if (Ships && HasChanges)
    World.Net.send(Name, Member, [&World, Member, Sent = Endpoint] {
      copyLog(World.Endpoints.at(Member), Sent);
    });
  World.Net.after(World.ShipInterval.at(Member), Name,
                  [&World, Name, Member] { shipLog(World, Name, Member); });
}

} // namespace redwinggw::matrix
