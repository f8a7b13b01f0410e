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

void takeFailure(group_service_state &State, const base::group_name &Name,
                 const base::endpoint_name &Member, base::instant AskedAt) {
  watched_group *Group = findGroup(State, Name);
  if (Group == nullptr)
    return;
  observeFailure(Group->View, Member, AskedAt);
  observeGroup(Group->Detector, Group->View, base::now());
}

/// Sends one question of the coalescer.
base::task<void> askReplica(state_pointer State, base::group_name Name,
                            confirm_question Question) {
  if (Question.Paced)
    co_await pauseFor(State->Executor, State->Options.Pace);
  watched_group *Group = findGroup(*State, Name);
  const control::endpoint *Endpoint =
      Group == nullptr ? nullptr : findEndpoint(*Group, Question.Member);
  if (Endpoint == nullptr)
    co_return;
  const http::address Address = Endpoint->Address;
  const std::pair Key(Question.Member, Question.Lane);
  // Taken out while in use, so that a member that leaves and comes back in the
  // meantime gets a connection of its own.
  auto Node = Group->Lanes.extract(Key);
  http::client Client =
      Node.empty() ? http::client(State->Executor) : std::move(Node.mapped());
  status_request Request;
  Request.WaitReceived = Question.WaitReceived;
  Request.Term = Question.Term;
  if (Question.Lane == confirm_lane::Wait)
    Request.Timeout = State->Options.WaitAtReplica;
  const base::instant AskedAt = base::now();
  const base::instant Deadline =
      AskedAt + Request.Timeout + State->Options.PollDeadline;
  const auto Answer =
      co_await askStatus(State, Client, Address, Request, Deadline);
  Group = findGroup(*State, Name);
  if (Group == nullptr)
    co_return;
  if (Client.isOpen())
    Group->Lanes.insert_or_assign(Key, std::move(Client));
  if (Answer)
    takeState(State, Name, *Answer, Question.Lane, AskedAt);
  else
    carryOut(State, Name,
             onConfirmFailure(Group->Confirm, Question.Member, Question.Lane));
}

} // namespace

base::task<void> pauseFor(asio::any_io_executor Executor,
                          base::microseconds Duration) {
  asio::steady_timer Timer(Executor, Duration);
  co_await Timer.async_wait(Token);
}

void wake(waiting &Waiting, base::result<void> Outcome) {
  Waiting.Outcome = std::move(Outcome);
  Waiting.Timer.cancel();
}

base::task<std::optional<base::result<void>>>
waitFor(std::shared_ptr<waiting> Waiting, base::instant Deadline) {
  if (!Waiting->Outcome) {
    Waiting->Timer.expires_at(base::timerPoint(Deadline));
    co_await Waiting->Timer.async_wait(Token);
  }
  co_return Waiting->Outcome;
}

base::task<base::result<endpoint_state>>
askStatus(state_pointer State, http::client &Client, http::address Address,
          status_request Request, base::instant Deadline) {
  if (!Client.isOpen()) {
    Client = http::client(State->Executor);
    const auto Connected = co_await Client.connect(Address, Deadline);
    if (!Connected)
      co_return Connected.error();
  }
  auto Answer = co_await status(Client, Request, State->Instance, Deadline);
  // A connection can go silent for good while new ones work, so the question
  // after a failure goes over a fresh one.
  if (!Answer)
    Client.close();
  co_return Answer;
}

void carryOut(const state_pointer &State, const base::group_name &Name,
              confirm_actions Actions) {
  watched_group *Group = findGroup(*State, Name);
  if (Group == nullptr)
    return;
  for (confirm_finished &Finished : Actions.Finished) {
    const auto Found = Group->Confirming.find(Finished.Id);
    if (Found != Group->Confirming.end())
      wake(*Found->second, std::move(Finished.Outcome));
  }
  for (confirm_question &Question : Actions.Questions)
    asio::co_spawn(State->Executor,
                   askReplica(State, Name, std::move(Question)),
                   asio::detached);
}

void takeState(const state_pointer &State, const base::group_name &Name,
               const endpoint_state &Told, std::optional<confirm_lane> Lane,
               base::instant AskedAt) {
  watched_group *Group = findGroup(*State, Name);
  if (Group == nullptr)
    return;
  const auto Before = std::pair(Group->View.Term, Group->View.Primary);
  observe(Group->View, Told, AskedAt);
  observeGroup(Group->Detector, Group->View, base::now());
  carryOut(State, Name, onConfirmAnswer(Group->Confirm, Told, Lane, AskedAt));
  if (hasPrimary(*State, *Group)) {
    for (const auto &Waiting : Group->ForPrimary)
      wake(*Waiting, {});
    Group->ForPrimary.clear();
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
    const base::instant Deadline = AskedAt + State->Options.PollDeadline;
    const status_request Request;
    const auto Answer =
        co_await askStatus(State, Client, Endpoint.Address, Request, Deadline);
    if (Answer)
      takeState(State, Group, *Answer, {}, AskedAt);
    else
      takeFailure(*State, Group, Endpoint.Name, AskedAt);
    const auto Rest = AskedAt + State->Options.PollEvery - base::now();
    if (Rest > base::microseconds(0))
      co_await pauseFor(State->Executor, Rest);
  }
  if (watched_group *Left = findGroup(*State, Group))
    Left->Polled.erase({Endpoint.Name, Endpoint.Address});
}

} // namespace redwinggw::data
