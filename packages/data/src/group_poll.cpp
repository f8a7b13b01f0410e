#include "group_state.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace redwinggw::data {
namespace {

namespace asio = boost::asio;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);

const control::endpoint *findEndpoint(const watched_group &Group,
                                      const base::endpoint_name &Name) {
  const member_view *Member = findMember(Group.View, Name);
  return Member == nullptr ? nullptr : &Member->Endpoint;
}

bool isWatched(group_service_state &State, const base::group_name &Name,
               const control::endpoint &Endpoint) {
  watched_group *Group = findGroup(State, Name);
  if (Group == nullptr)
    return false;
  const control::endpoint *Known = findEndpoint(*Group, Endpoint.Name);
  return Known != nullptr && Known->Address == Endpoint.Address;
}

void applyFailure(group_service_state &State, const base::group_name &Name,
                  const base::endpoint_name &Member, base::instant AskedAt) {
  watched_group *Group = findGroup(State, Name);
  if (Group == nullptr)
    return;
  observeFailure(Group->View, Member, AskedAt);
  observeGroup(Group->Detector, Group->View, base::now());
}

/// Sends one confirmation query.
base::task<void> queryReplica(state_pointer State, base::group_name Name,
                              confirm_query Query) {
  if (Query.Delayed)
    co_await pauseFor(State->Executor, State->Options.QueryDelay);
  watched_group *Group = findGroup(*State, Name);
  const control::endpoint *Endpoint =
      Group == nullptr ? nullptr : findEndpoint(*Group, Query.Member);
  if (Endpoint == nullptr)
    co_return;
  const http::address Address = Endpoint->Address;
  const std::pair Key(Query.Member, Query.QueryKind);
  // Removed from the map while in use, so that a member that is removed and
  // added again meanwhile gets its own connection.
  auto Node = Group->QueryClients.extract(Key);
  http::client Client =
      Node.empty() ? http::client(State->Executor) : std::move(Node.mapped());
  status_request Request;
  Request.WaitReceived = Query.WaitReceived;
  Request.Term = Query.Term;
  if (Query.QueryKind == confirm_query_kind::Wait)
    Request.Timeout = State->Options.ReplicaWaitTimeout;
  const base::instant AskedAt = base::now();
  const base::instant Deadline =
      AskedAt + Request.Timeout + State->Options.PollTimeout;
  const auto Answer =
      co_await queryStatus(State, Client, Address, Request, Deadline);
  Group = findGroup(*State, Name);
  if (Group == nullptr)
    co_return;
  if (Client.isOpen())
    Group->QueryClients.insert_or_assign(Key, std::move(Client));
  if (Answer)
    applyState(State, Name, *Answer, Query.QueryKind, AskedAt);
  else
    perform(State, Name,
            onConfirmFailure(Group->Confirm, Query.Member, Query.QueryKind));
}

} // namespace

base::task<void> pauseFor(asio::any_io_executor Executor,
                          base::microseconds Duration) {
  asio::steady_timer Timer(Executor, Duration);
  co_await Timer.async_wait(Token);
}

void wake(pending_wait &Waiting, base::result<void> Outcome) {
  Waiting.Outcome = std::move(Outcome);
  Waiting.Timer.cancel();
}

base::task<std::optional<base::result<void>>>
waitFor(std::shared_ptr<pending_wait> Waiting, base::instant Deadline) {
  if (!Waiting->Outcome) {
    Waiting->Timer.expires_at(base::timerPoint(Deadline));
    co_await Waiting->Timer.async_wait(Token);
  }
  co_return Waiting->Outcome;
}

base::task<base::result<endpoint_state>>
queryStatus(state_pointer State, http::client &Client, http::address Address,
            status_request Request, base::instant Deadline) {
  if (!Client.isOpen()) {
    Client = http::client(State->Executor);
    const auto Connected = co_await Client.connect(Address, Deadline);
    if (!Connected)
      co_return Connected.error();
  }
  auto Answer = co_await status(Client, Request, State->Instance, Deadline);
  // A connection may be dead without an error while new ones work, so the query
  // after a failure uses a new connection.
  if (!Answer)
    Client.close();
  co_return Answer;
}

void perform(const state_pointer &State, const base::group_name &Name,
             confirm_actions Actions) {
  watched_group *Group = findGroup(*State, Name);
  if (Group == nullptr)
    return;
  for (confirm_finished &Finished : Actions.Finished) {
    const auto Found = Group->ConfirmationWaits.find(Finished.Id);
    if (Found != Group->ConfirmationWaits.end())
      wake(*Found->second, std::move(Finished.Outcome));
  }
  for (confirm_query &Query : Actions.Queries)
    asio::co_spawn(State->Executor, queryReplica(State, Name, std::move(Query)),
                   asio::detached);
}

void applyState(const state_pointer &State, const base::group_name &Name,
                const endpoint_state &Reported,
                std::optional<confirm_query_kind> QueryKind,
                base::instant AskedAt) {
  watched_group *Group = findGroup(*State, Name);
  if (Group == nullptr)
    return;
  const auto Before = std::pair(Group->View.Term, Group->View.Primary);
  observeState(Group->View, Reported, AskedAt);
  observeGroup(Group->Detector, Group->View, base::now());
  perform(State, Name,
          onConfirmAnswer(Group->Confirm, Reported, QueryKind, AskedAt));
  if (hasPrimary(*State, *Group)) {
    for (const auto &Waiting : Group->PrimaryWaits)
      wake(*Waiting, {});
    Group->PrimaryWaits.clear();
  }
  if (Before != std::pair(Group->View.Term, Group->View.Primary))
    for (const auto &Hook : State->Hooks)
      Hook(Name);
}

base::task<void> pollMember(state_pointer State, base::group_name Group,
                            control::endpoint Endpoint) {
  http::client Client(State->Executor);
  while (isWatched(*State, Group, Endpoint)) {
    const base::instant AskedAt = base::now();
    const base::instant Deadline = AskedAt + State->Options.PollTimeout;
    const status_request Request;
    const auto Answer = co_await queryStatus(State, Client, Endpoint.Address,
                                             Request, Deadline);
    if (Answer)
      applyState(State, Group, *Answer, {}, AskedAt);
    else
      applyFailure(*State, Group, Endpoint.Name, AskedAt);
    const auto Rest = AskedAt + State->Options.PollInterval - base::now();
    if (Rest > base::microseconds(0))
      co_await pauseFor(State->Executor, Rest);
  }
  if (watched_group *Left = findGroup(*State, Group))
    Left->Polled.erase({Endpoint.Name, Endpoint.Address});
}

} // namespace redwinggw::data
