#include "models.hpp"

#include <algorithm>
#include <iterator>

namespace redwinggw::matrix {
namespace {

using base::milliseconds;
using data::failover_step;

constexpr milliseconds PollInterval{100};
constexpr milliseconds PollTimeout{250};
constexpr milliseconds StoreTimeout{1000};
constexpr milliseconds SuperviseInterval{25};
constexpr milliseconds QueryDelay{10};

const data::detector_parameters DetectorParameters;

void reportStep(world &World, const instance_model &Instance, step Step) {
  if (World.OnStep)
    World.OnStep(Step, Instance.Name);
}

/// Sends an endpoint a request that \p Serve handles and accepts or refuses;
/// the answer carries the endpoint's state afterwards.
void sendCommand(world &World, instance_model &Instance, const node &Member,
                 data::member_request Request,
                 std::function<bool(endpoint_model &)> Serve);

void process(world &World, instance_model &Instance,
             const data::failover_event &Event);

template <typename Reply>
void askTable(world &World, instance_model &Instance,
              std::function<Reply(table_model &)> Serve,
              std::function<void(std::optional<Reply>)> Done) {
  const auto Answer = [&World, Serve]() -> std::optional<Reply> {
    if (World.Table.Down)
      return std::nullopt;
    Reply Result = Serve(World.Table);
    const bool Written = std::is_same_v<Reply, data::row_committed>;
    if (Written && World.Table.LoseAnswers > 0) {
      --World.Table.LoseAnswers;
      return std::nullopt;
    }
    return Result;
  };
  // With a slow store, commits take effect late and answers arrive late.
  const node Name = Instance.Name;
  World.Net.after(World.Table.Slow, TableNode, [&World, Name, Answer, Done] {
    World.Net.call<Reply>(Name, TableNode, Answer, Done, StoreTimeout);
  });
}

data::versioned_record readRow(const table_model &Table) {
  data::versioned_record Row;
  Row.Version = Table.Version;
  if (Table.Version > 0)
    Row.Record = data::parseRecord(Table.Value).value();
  return Row;
}

struct executor {
  world &World;
  instance_model &Instance;

  void operator()(const data::commit_row &Command) const {
    const auto Serve = [Command](table_model &Table) {
      if (Command.Version && *Command.Version != Table.Version)
        return data::row_committed{data::commit_outcome::Conflict, 0};
      Table.Value = data::toText(Command.Record);
      return data::row_committed{data::commit_outcome::Stored, ++Table.Version};
    };
    askTable<data::row_committed>(
        World, Instance, Serve,
        [World = &World, Instance = &Instance](auto Answer) {
          process(*World, *Instance, Answer.value_or(data::row_committed()));
        });
  }

  void operator()(const data::read_row &) const {
    askTable<data::versioned_record>(
        World, Instance, readRow,
        [World = &World, Instance = &Instance](auto Answer) {
          process(*World, *Instance, data::row_read{std::move(Answer)});
        });
  }

  void operator()(const data::seal_member &Command) const {
    const auto [Known, New] =
        World.History.Orders.emplace(Command.Term, Command.Order);
    if (!New && Known->second != Command.Order)
      World.History.Broken.insert("one order a term");
    sendCommand(World, Instance, Command.Member.Name,
                data::member_request::Seal,
                [Command](endpoint_model &Endpoint) {
                  return serveSeal(Endpoint, Command.Term, Command.Order);
                });
  }

  void operator()(const data::promote_member &Command) const {
    sendCommand(World, Instance, Command.Member.Name,
                data::member_request::Promote,
                [World = &World, Command](endpoint_model &Endpoint) {
                  return servePromote(*World, Endpoint, Command);
                });
  }

  void operator()(const data::follow_member &Command) const {
    const node Member = Command.Member.Name;
    World.Net.send(Instance.Name, Member, [World = &World, Command, Member] {
      serveFollow(World->Endpoints.at(Member), Command.Term, Command.Order);
    });
  }
};

void sendCommand(world &World, instance_model &Instance, const node &Member,
                 data::member_request Request,
                 std::function<bool(endpoint_model &)> Serve) {
  const base::instant AskedAt = World.Net.Now;
  const auto Answer = [&World, Member,
                       Serve]() -> std::optional<data::member_answered> {
    endpoint_model &Endpoint = World.Endpoints.at(Member);
    data::member_answered Answered;
    Answered.Refused = !Serve(Endpoint);
    Answered.State = Endpoint.State;
    return Answered;
  };
  const auto Done = [&World, &Instance, Member, Request,
                     AskedAt](std::optional<data::member_answered> Answered) {
    data::member_answered Event = Answered.value_or(data::member_answered());
    Event.Member = Member;
    Event.Request = Request;
    if (Event.State)
      applyState(World, Instance, *Event.State, {}, AskedAt);
    process(World, Instance, Event);
  };
  World.Net.call<data::member_answered>(Instance.Name, Member, Answer, Done,
                                        PollTimeout);
}

void noteStep(world &World, instance_model &Instance, failover_step Now) {
  static const std::map<failover_step, step> Steps{
      {failover_step::Claiming, step::Claiming},
      {failover_step::Resolving, step::Resolving},
      {failover_step::Sealing, step::Sealing},
      {failover_step::Promoting, step::Promoting},
      {failover_step::Recording, step::Recording},
      {failover_step::Done, step::Finished}};
  if (std::exchange(Instance.LastStep, Now) == Now)
    return;
  if (const auto Found = Steps.find(Now); Found != Steps.end())
    reportStep(World, Instance, Found->second);
}

void process(world &World, instance_model &Instance,
             const data::failover_event &Event) {
  if (!Instance.Order)
    return;
  const auto Commands = Instance.Order->process(Event);
  for (const data::failover_command &Command : Commands)
    std::visit(executor{World, Instance}, Command);
  noteStep(World, Instance, Instance.Order->step());
  if (data::isFinal(Instance.Order->step()))
    Instance.Order.reset();
}

bool isSuspected(const world &World, const instance_model &Instance) {
  return suspicionOf(Instance.Detector, Instance.View, DetectorParameters,
                     World.Net.Now) != data::suspicion_cause::None;
}

bool isQuorumReached(const world &World, const instance_model &Instance) {
  std::vector<data::peer_report> Reports;
  std::ranges::transform(
      Instance.Reports, std::back_inserter(Reports), [&](const auto &Entry) {
        const auto &[Name, Report] = Entry;
        const auto Age = World.Net.Now - Report.first;
        return data::peer_report{
            Name, std::chrono::duration_cast<milliseconds>(Age), Report.second};
      });
  return isSuspectedByQuorum({"g", Instance.View.Term}, Reports,
                             DetectorParameters);
}

void startOrder(world &World, instance_model &Instance,
                const data::versioned_record &Row) {
  data::failover_plan Plan;
  Plan.Orderer = Instance.Name;
  Plan.Order = Instance.Name + "-" + std::to_string(World.Net.pick(1U << 30U));
  for (const auto &Entry : World.Endpoints)
    Plan.Members.push_back({Entry.first, {}});
  Plan.Suspected = Instance.View.Primary;
  Plan.SeenTerm = Instance.View.Term;
  Plan.Row = Row;
  Instance.Order.emplace(std::move(Plan), World.Failover);
  Instance.LastStep = failover_step::Idle;
  process(World, Instance, data::order_started{World.Net.Now});
}

void prepareOrder(world &World, instance_model &Instance) {
  const auto Done = [&World, &Instance](auto Row) {
    Instance.Preparing = false;
    const bool Claims = Row && isSuspected(World, Instance) &&
                        mayClaim(Instance.Watch, *Row, Instance.View,
                                 Instance.Detector.NoPrimarySince,
                                 World.Failover, World.Net.Now);
    if (Claims)
      startOrder(World, Instance, *Row);
  };
  Instance.Preparing = true;
  const milliseconds Jitter(World.Net.pick(100));
  World.Net.after(Jitter, Instance.Name, [&World, &Instance, Done] {
    askTable<data::versioned_record>(World, Instance, readRow, Done);
  });
}

void supervise(world &World, instance_model &Instance) {
  World.Net.after(SuperviseInterval, Instance.Name,
                  [&] { supervise(World, Instance); });
  observeGroup(Instance.Detector, Instance.View, World.Net.Now);
  process(World, Instance, data::time_passed{World.Net.Now});
  if (!isSuspected(World, Instance))
    return;
  reportStep(World, Instance, step::Suspected);
  if (!Instance.Order && !Instance.Preparing &&
      isQuorumReached(World, Instance))
    prepareOrder(World, Instance);
}

void report(world &World, instance_model &Instance) {
  World.Net.after(PollInterval, Instance.Name,
                  [&] { report(World, Instance); });
  std::vector<data::suspicion> Suspicions;
  if (isSuspected(World, Instance))
    Suspicions.push_back({"g", Instance.View.Term});
  for (auto &[Name, Peer] : World.Instances)
    if (Name != Instance.Name)
      World.Net.send(Instance.Name, Name,
                     [&World, &Peer, From = Instance.Name, Suspicions] {
                       Peer.Reports[From] = {World.Net.Now, Suspicions};
                     });
  for (const data::follow_member &Order : membersToReconcile(Instance.View))
    executor{World, Instance}(Order);
}

void poll(world &World, instance_model &Instance, const node &Member) {
  const base::instant AskedAt = World.Net.Now;
  const auto Serve = [&World, Member] {
    return std::optional(World.Endpoints.at(Member).State);
  };
  const auto Done = [&World, &Instance, Member, AskedAt](auto Answer) {
    if (Answer)
      applyState(World, Instance, *Answer, {}, AskedAt);
    else
      observeFailure(Instance.View, Member, AskedAt);
    World.Net.after(PollInterval, Instance.Name, [&World, &Instance, Member] {
      poll(World, Instance, Member);
    });
  };
  World.Net.call<data::endpoint_state>(Instance.Name, Member, Serve, Done,
                                       PollTimeout);
}

void queryReplica(world &World, instance_model &Instance,
                  const data::confirm_query &Query) {
  const base::instant AskedAt = World.Net.Now;
  const node Member = Query.Member;
  const auto Serve = [&World, Member] {
    return std::optional(World.Endpoints.at(Member).State);
  };
  const auto Done = [&World, &Instance, Query, AskedAt](auto Answer) {
    if (Answer)
      applyState(World, Instance, *Answer, Query.QueryKind, AskedAt);
    else
      perform(
          World, Instance,
          onConfirmFailure(Instance.Confirm, Query.Member, Query.QueryKind));
  };
  World.Net.call<data::endpoint_state>(Instance.Name, Member, Serve, Done,
                                       PollTimeout);
}

} // namespace

void perform(world &World, instance_model &Instance,
             data::confirm_actions Actions) {
  for (const data::confirm_finished &Finished : Actions.Finished) {
    auto Found = Instance.ConfirmationWaits.extract(Finished.Id);
    if (Found)
      Found.mapped()(Finished.Outcome.has_value());
  }
  for (const data::confirm_query &Query : Actions.Queries)
    World.Net.after(
        Query.Delayed ? QueryDelay : milliseconds(1), Instance.Name,
        [&World, &Instance, Query] { queryReplica(World, Instance, Query); });
}

void applyState(world &World, instance_model &Instance,
                const data::endpoint_state &Reported,
                std::optional<data::confirm_query_kind> QueryKind,
                base::instant AskedAt) {
  observeState(Instance.View, Reported, AskedAt);
  observeGroup(Instance.Detector, Instance.View, World.Net.Now);
  perform(World, Instance,
          onConfirmAnswer(Instance.Confirm, Reported, QueryKind, AskedAt));
}

void startInstance(world &World, instance_model &Instance) {
  for (const auto &Entry : World.Endpoints)
    poll(World, Instance, Entry.first);
  supervise(World, Instance);
  report(World, Instance);
}

} // namespace redwinggw::matrix
