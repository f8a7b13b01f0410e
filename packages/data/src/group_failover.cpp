#include "group_state.hpp"

#include "redwinggw/base/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace redwinggw::data {
namespace {

namespace asio = boost::asio;
using base::errc;
using base::log_level;

constexpr base::milliseconds SuperviseInterval{25};
constexpr base::milliseconds ReconcileInterval{100};
/// Pause between two reads of the row, so that waiting instances do not load
/// the store.
constexpr base::milliseconds RetryPause{100};
/// An unavailable store is logged at most this often per group.
constexpr base::milliseconds StoreLogInterval{5000};

/// A running failover order, shared by the coroutines of its commands.
struct running_order {
  state_pointer State;
  base::group_name Group;
  failover Machine;
};
using order_pointer = std::shared_ptr<running_order>;

void logForGroup(log_level Level, const base::group_name &Group,
                 const std::string &Message) {
  base::log(Level, base::log_part::Failover, "Group " + Group + ": " + Message);
}

void execute(const order_pointer &Order,
             const std::vector<failover_command> &Commands);

void process(const order_pointer &Order, const failover_event &Event) {
  execute(Order, Order->Machine.process(Event));
}

row_committed
toCommitEvent(const base::result<std::vector<std::uint64_t>> &Done) {
  if (Done && !Done->empty())
    return {commit_outcome::Stored, Done->front()};
  const bool Lost = Done.has_error() && kindOf(Done.error()) == errc::Conflict;
  return {Lost ? commit_outcome::Conflict : commit_outcome::Unknown, 0};
}

base::task<void> perform(order_pointer Order, commit_row Command) {
  const std::string Key = recordKey(Order->Group);
  storage::commit_request Request;
  if (Command.Version)
    Request.Checks.push_back({Key, *Command.Version});
  Request.Puts.push_back({Key, toText(Command.Record)});
  const auto Done =
      co_await storage::commit(*Order->State->Store, std::move(Request));
  process(Order, toCommitEvent(Done));
}

base::task<std::optional<versioned_record>> readRecord(state_pointer State,
                                                       base::group_name Group) {
  std::vector<std::string> Keys{recordKey(Group)};
  const auto Rows = co_await storage::get(*State->Store, std::move(Keys));
  if (!Rows || Rows->empty())
    co_return std::nullopt;
  versioned_record Row;
  Row.Version = Rows->front().Version;
  if (Row.Version == 0)
    co_return Row;
  const auto Record = parseRecord(Rows->front().Value);
  if (!Record) {
    logForGroup(log_level::Error, Group,
                "the failover record cannot be read; delete the row " +
                    recordKey(Group) + " of the table service");
    co_return std::nullopt;
  }
  Row.Record = *Record;
  co_return Row;
}

base::task<void> perform(order_pointer Order, read_row) {
  row_read Answer;
  Answer.Row = co_await readRecord(Order->State, Order->Group);
  process(Order, Answer);
}

/// Passes a member's answer to the view and to the state machine.
void handleAnswer(const order_pointer &Order, const base::endpoint_name &Member,
                  member_request Request,
                  const base::result<endpoint_state> &Answer,
                  base::instant AskedAt) {
  member_answered Event;
  Event.Member = Member;
  Event.Request = Request;
  if (Answer) {
    Event.State = *Answer;
    applyState(Order->State, Order->Group, *Answer, {}, AskedAt);
  } else {
    Event.Refused = kindOf(Answer.error()) == errc::TermReplaced;
  }
  process(Order, Event);
}

base::task<void> perform(order_pointer Order, seal_member Command) {
  const state_pointer State = Order->State;
  const base::instant AskedAt = base::now();
  const base::instant Deadline = AskedAt + State->Options.PollTimeout;
  // A new connection, since an old one may be dead without an error.
  http::client Client(State->Executor);
  base::result<endpoint_state> Answer = base::failure(errc::Internal);
  const auto Connected =
      co_await Client.connect(Command.Member.Address, Deadline);
  if (Connected)
    Answer = co_await seal(Client, Command.Term, Command.Order, State->Instance,
                           Deadline);
  handleAnswer(Order, Command.Member.Name, member_request::Seal, Answer,
               AskedAt);
}

base::task<void> perform(order_pointer Order, promote_member Command) {
  const state_pointer State = Order->State;
  const base::instant AskedAt = base::now();
  const base::instant Deadline = AskedAt + State->Options.PollTimeout;
  http::client Client(State->Executor);
  base::result<endpoint_state> Answer = base::failure(errc::Internal);
  const auto Connected =
      co_await Client.connect(Command.Member.Address, Deadline);
  if (Connected)
    Answer = co_await promote(Client, Command.Term, Command.Order,
                              Command.Others, State->Instance, Deadline);
  handleAnswer(Order, Command.Member.Name, member_request::Promote, Answer,
               AskedAt);
}

base::task<void> sendFollow(state_pointer State, base::group_name Group,
                            follow_member Command) {
  const base::instant AskedAt = base::now();
  const base::instant Deadline = AskedAt + State->Options.PollTimeout;
  http::client Client(State->Executor);
  const auto Connected =
      co_await Client.connect(Command.Member.Address, Deadline);
  if (!Connected)
    co_return;
  const auto Answer =
      co_await follow(Client, Command.Term, Command.Order, Command.Primary,
                      State->Instance, Deadline);
  if (Answer)
    applyState(State, Group, *Answer, {}, AskedAt);
}

base::task<void> perform(order_pointer Order, follow_member Command) {
  return sendFollow(Order->State, Order->Group, std::move(Command));
}

void execute(const order_pointer &Order,
             const std::vector<failover_command> &Commands) {
  const auto Spawn = [&](const auto &Command) {
    asio::co_spawn(Order->State->Executor, perform(Order, Command),
                   asio::detached);
  };
  for (const failover_command &Command : Commands)
    std::visit(Spawn, Command);
}

bool isSuspected(const group_service_state &State, const watched_group &Group) {
  return suspicionOf(Group.Detector, Group.View, State.Options.Detector,
                     base::now()) != suspicion_cause::None;
}

bool isQuorumReached(const group_service_state &State,
                     const watched_group &Group) {
  const suspicion Own{Group.View.Group, Group.View.Term};
  const auto Reports = State.Peers ? State.Peers() : std::vector<peer_report>();
  return isSuspectedByQuorum(Own, Reports, State.Options.Detector);
}

failover_plan planFor(const group_service_state &State,
                      const watched_group &Group, versioned_record Row) {
  failover_plan Plan;
  Plan.Orderer = State.Instance;
  Plan.Order = base::randomId();
  for (const member_view &Member : Group.View.Members)
    Plan.Members.push_back({Member.Endpoint.Name, Member.Endpoint.Address});
  Plan.Suspected = Group.View.Primary;
  Plan.SeenTerm = Group.View.Term;
  Plan.Row = std::move(Row);
  return Plan;
}

/// Whether the order should stop because the primary recovered before the claim
/// was stored.
bool isObsolete(const order_pointer &Order) {
  const failover_step Step = Order->Machine.step();
  const bool Early =
      Step == failover_step::Claiming || Step == failover_step::Resolving;
  watched_group *Group = findGroup(*Order->State, Order->Group);
  return Early && (Group == nullptr || !isSuspected(*Order->State, *Group));
}

base::task<void> runOrder(order_pointer Order) {
  process(Order, order_started{base::now()});
  while (!isFinal(Order->Machine.step())) {
    co_await pauseFor(Order->State->Executor, SuperviseInterval);
    if (isObsolete(Order))
      process(Order, order_abandoned{});
    process(Order, time_passed{base::now()});
  }
  const failover_order &Result = Order->Machine.order();
  logForGroup(log_level::Warning, Order->Group,
              "order of term " + std::to_string(Result.Term) + " ended as " +
                  std::string(stepName(Order->Machine.step())) +
                  (Result.Promoted ? ", primary is " + Result.Chosen : "") +
                  ".");
}

void logStoreDown(watched_group &Group) {
  if (base::now() - Group.StoreLoggedAt < StoreLogInterval)
    return;
  Group.StoreLoggedAt = base::now();
  logForGroup(
      log_level::Error, Group.View.Group,
      "the primary has failed and the platform's store does not answer; no "
      "promotion until it does. Check the platform's table service.");
}

/// Reads the row and orders a failover unless another instance is doing so.
base::task<void> tryOrder(state_pointer State, base::group_name Name) {
  // Random delay, so that the other instances see the first claim when they
  // read.
  const base::milliseconds Jitter(State->Random() %
                                  State->Options.Jitter.count());
  co_await pauseFor(State->Executor, Jitter);
  const auto Row = co_await readRecord(State, Name);
  watched_group *Group = findGroup(*State, Name);
  if (Group == nullptr || !isSuspected(*State, *Group))
    co_return;
  if (!Row) {
    logStoreDown(*Group);
    co_await pauseFor(State->Executor, RetryPause);
    co_return;
  }
  const bool Claims =
      mayClaim(Group->Watch, *Row, Group->View, Group->Detector.NoPrimarySince,
               State->Options.Failover, base::now());
  if (!Claims) {
    co_await pauseFor(State->Executor, RetryPause);
    co_return;
  }
  logForGroup(log_level::Warning, Name,
              "the primary has failed; ordering a failover.");
  const auto Order = std::make_shared<running_order>(running_order{
      State, Name,
      failover(planFor(*State, *Group, *Row), State->Options.Failover)});
  co_await runOrder(Order);
}

base::task<void> orderFailover(state_pointer State, base::group_name Name) {
  co_await tryOrder(State, Name);
  if (watched_group *Group = findGroup(*State, Name))
    Group->OrderActive = false;
}

void superviseGroup(const state_pointer &State, const base::group_name &Name,
                    watched_group &Group) {
  const base::instant Now = base::now();
  observeGroup(Group.Detector, Group.View, Now);
  const bool Orders = !Group.OrderActive && isSuspected(*State, Group) &&
                      isQuorumReached(*State, Group);
  if (Orders) {
    Group.OrderActive = true;
    asio::co_spawn(State->Executor, orderFailover(State, Name), asio::detached);
  }
  if (Now - Group.ReconciledAt < ReconcileInterval)
    return;
  Group.ReconciledAt = Now;
  for (follow_member &Command : membersToReconcile(Group.View))
    asio::co_spawn(State->Executor, sendFollow(State, Name, std::move(Command)),
                   asio::detached);
}

} // namespace

base::task<void> superviseGroups(state_pointer State) {
  while (!State->Draining) {
    for (auto &[Name, Group] : State->Groups)
      superviseGroup(State, Name, Group);
    co_await pauseFor(State->Executor, SuperviseInterval);
  }
}

} // namespace redwinggw::data
