#include "models.hpp"

#include <algorithm>

namespace redwinggw::matrix {
namespace {

using base::milliseconds;

constexpr milliseconds RunTimeout{300};
constexpr milliseconds ConfirmTimeout{1000};
constexpr milliseconds CallInterval{45};

/// Waits for a confirmation. \p Done runs one message later, when the caller
/// gets the answer; the instance may be paused in between.
void confirm(world &World, instance_model &Instance,
             data::confirm_waiter Waiter, std::function<void(bool)> Done) {
  data::confirm_actions Actions = addWaiter(Instance.Confirm, Waiter);
  Instance.ConfirmationWaits[Waiter.Id] = [&World, &Instance,
                                           Done](bool Confirmed) {
    if (Confirmed && World.OnStep)
      World.OnStep(step::BeforeAnswer, Instance.Name);
    World.Net.after(milliseconds(1), Instance.Name,
                    [Done, Confirmed] { Done(Confirmed); });
  };
  World.Net.after(ConfirmTimeout, Instance.Name, [&Instance, Waiter] {
    dropWaiter(Instance.Confirm, Waiter.Id);
    if (auto Found = Instance.ConfirmationWaits.extract(Waiter.Id))
      Found.mapped()(false);
  });
  perform(World, Instance, std::move(Actions));
}

void write(world &World, instance_model &Instance, write_id Write) {
  const base::instant AskedAt = World.Net.Now;
  const node Primary = Instance.View.Primary.value_or("");
  const base::term_number Term = Instance.View.Term;
  World.OnStep(step::WriteSent, Instance.Name);
  const auto Serve = [&World, Name = Instance.Name, Primary, Term, Write] {
    run_reply Reply = serveWrite(World.Endpoints.at(Primary), Term, Write);
    if (Reply.Ran)
      World.OnStep(step::WriteKept, Name);
    return std::optional(std::move(Reply));
  };
  const auto Done = [&World, &Instance, Term, Write,
                     AskedAt](std::optional<run_reply> Reply) {
    if (Reply)
      applyState(World, Instance, Reply->State, {}, AskedAt);
    if (!Reply || !Reply->Ran) {
      Instance.Unknown.push_back(Write);
      return;
    }
    const base::log_position Position = Reply->Position;
    confirm(World, Instance,
            {0, Term, Position, data::confirm_kind::Replicated, AskedAt},
            [&World, &Instance, Write, Position](bool Confirmed) {
              if (Confirmed)
                World.History.Writes.push_back(
                    {Position, Write, World.Net.Now});
              else
                Instance.Unknown.push_back(Write);
            });
  };
  World.Net.call<run_reply>(Instance.Name, Primary, Serve, Done, RunTimeout);
}

void checkRead(world &World, const run_reply &Reply, base::instant StartedAt) {
  const std::vector<log_entry> &Log = *Reply.Log;
  const bool Stale = std::ranges::any_of(
      World.History.Writes, [&](const history::acknowledged &Write) {
        return Write.At < StartedAt &&
               (Log.size() < Write.Position ||
                Log[Write.Position - 1].Write != Write.Write);
      });
  if (Stale)
    World.History.Broken.insert("no stale read");
}

void read(world &World, instance_model &Instance) {
  const base::instant StartedAt = World.Net.Now;
  const node Primary = Instance.View.Primary.value_or("");
  const base::term_number Term = Instance.View.Term;
  World.OnStep(step::ReadSent, Instance.Name);
  const auto Serve = [&World, Primary, Term] {
    return std::optional(serveRead(World.Endpoints.at(Primary), Term));
  };
  const auto Done = [&World, &Instance, Term,
                     StartedAt](std::optional<run_reply> Reply) {
    if (!Reply || !Reply->Ran)
      return;
    confirm(World, Instance,
            {0, Term, Reply->Position, data::confirm_kind::ReplicatedAndCurrent,
             StartedAt},
            [&World, Reply, StartedAt](bool Confirmed) {
              if (Confirmed)
                checkRead(World, *Reply, StartedAt);
            });
  };
  World.Net.call<run_reply>(Instance.Name, Primary, Serve, Done, RunTimeout);
}

void sendRequests(world &World, instance_model &Instance) {
  const milliseconds Wait = CallInterval + milliseconds(World.Net.pick(10));
  World.Net.after(Wait, Instance.Name, [&] { sendRequests(World, Instance); });
  if (!World.LoadOn || !Instance.View.Primary)
    return;
  read(World, Instance);
  // The callers of one instance only read, because their own writes on a
  // replaced primary would hide that it is stale.
  if (Instance.Name == World.Instances.begin()->first)
    return;
  write_id Write = ++World.LastWrite;
  if (!Instance.Unknown.empty()) {
    Write = Instance.Unknown.back();
    Instance.Unknown.pop_back();
  }
  write(World, Instance, Write);
}

} // namespace

void startCallers(world &World, instance_model &Instance) {
  sendRequests(World, Instance);
}

} // namespace redwinggw::matrix
