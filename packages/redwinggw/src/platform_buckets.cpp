#include "platform_loops.hpp"
#include "platform_rates.hpp"

#include "redwinggw/base/log.hpp"
#include "redwinggw/control/share_allocator.hpp"

#include <algorithm>
#include <utility>

/// Admission by a customer's bucket that one instance owns, and by the reserve
/// of the owner's successor.
///
/// Take asks a bucket's owner for one operation's token, and TakeReserve its
/// successor. A Take that names the owner goes to a relay, which sends it to
/// the owner once, without that name, and passes on the answer. Grant answers
/// either, also where there is no token; Moved does when the receiver has
/// neither the bucket nor a reserve. Number identifies the request.
namespace redwinggw {
namespace {

using base::instant;
using base::milliseconds;
using control::bucket_owner_answer;
using control::token_source;

/// An instance answers within a round trip; one that is slow or gone is not
/// waited for.
constexpr milliseconds AnswerTimeout{40};

/// The least time in which an instance of another zone can answer.
constexpr milliseconds RoundTrip{2};

/// Interval between two attempts for one operation: the answer may have been
/// lost, or the owner not have been chosen there yet.
constexpr milliseconds RetryInterval{30};

/// The operation that a token is for.
struct token_need {
  std::string Customer;
  unsigned Priority = 0;
  /// Until when the operation can wait for it.
  instant Until;
};

/// How long the operation can still wait for its token; never negative.
base::microseconds patienceLeft(const token_need &Need) {
  const auto Left =
      std::chrono::duration_cast<base::microseconds>(Need.Until - base::now());
  return std::max(Left, base::microseconds(0));
}

/// The instances that may have a token of a customer. Copies of their names:
/// members may go while an answer is awaited.
struct token_sources {
  base::instance_name Owner;
  /// Empty when there is none to ask.
  base::instance_name Relay;
  /// Empty when this instance is the successor, or nobody is.
  base::instance_name Successor;
  std::vector<token_source> Plan;
};

base::microseconds expectedAt(const platform_instance_state &State,
                              const base::customer_name &Customer) {
  return tokenExpected(State.BucketRequests, State.Shares, State.Peers->view(),
                       Customer, base::now());
}

/// When to retry after a reserve has granted nothing.
base::microseconds waitBeside(const platform_instance_state &State,
                              const base::customer_name &Customer,
                              const bucket_owner_answer &Reserve) {
  return waitBesideReserve(State.BucketRequests, State.Shares,
                           State.Peers->view(), Customer, Reserve.Wait,
                           base::now());
}

/// Takes a token out of the reserve that this instance has for \p Customer, if
/// it has one. The next owner may have a token before the reserve.
std::optional<bucket_owner_answer>
takeFromReserve(platform_instance_state &State,
                const base::customer_name &Customer) {
  auto Answer =
      grantFromReserve(State.Reserves, State.Shares, Customer, base::now());
  if (!Answer)
    return Answer;
  if (Answer->Granted) {
    countTokens(State, Customer, "reserve", 1);
    ++State.ReserveUse[Customer].Granted;
  } else {
    Answer->Wait = waitBeside(State, Customer, *Answer);
  }
  return Answer;
}

/// A token of the bucket that this instance owns; out of its reserve while it
/// is only the next owner.
std::optional<bucket_owner_answer>
takeForOther(platform_instance_state &State, wire::share_kind Kind,
             const wire::share_entry &Entry) {
  std::optional<bucket_owner_answer> Answer;
  if (Kind == wire::share_kind::Take)
    Answer = grantToken(State.Shares, Entry.Customer, Entry.Priority,
                        base::microseconds(Entry.WaitUs), base::now());
  if (!Answer)
    return takeFromReserve(State, Entry.Customer);
  countTokens(State, Entry.Customer, "given", Answer->Granted ? 1 : 0);
  return Answer;
}

/// Answers a request for one operation's token.
void answerTake(platform_instance_state &State, const base::instance_name &To,
                const wire::share_message &Request) {
  if (Request.Entries.size() != 1)
    return;
  const wire::share_entry &Entry = Request.Entries.front();
  const auto Answer = takeForOther(State, Request.Kind, Entry);
  if (!Answer) {
    State.Peers->send(To, control::answerTo(Request, wire::share_kind::Moved));
    return;
  }
  wire::share_message Grant =
      control::answerTo(Request, wire::share_kind::Grant);
  const float Given = Answer->Granted ? 1 : 0;
  Grant.Entries.push_back({Entry.Customer, Given,
                           static_cast<std::uint32_t>(Answer->Wait.count()), 0,
                           Entry.Priority});
  State.Peers->send(To, std::move(Grant));
}

/// Relays a request for a token to the bucket's owner that it names.
void relayTake(platform_instance_state &State, const base::instance_name &From,
               const wire::share_message &Request) {
  const instant Now = base::now();
  auto &Relayed = State.RelayedTakes;
  // The asker does not wait any longer. Numbers grow with time.
  while (!Relayed.empty() && Now - Relayed.begin()->second.At > AnswerTimeout)
    Relayed.erase(Relayed.begin());
  wire::share_message Forwarded = Request;
  Forwarded.Number = State.TokenWaits.nextNumber();
  Forwarded.Allocator.clear();
  Relayed[Forwarded.Number] = {From, Request.Number, Now};
  State.Peers->send(Request.Allocator, std::move(Forwarded));
}

/// Passes on the answer to a request that this instance has relayed. True when
/// it was one.
bool relayAnswer(platform_instance_state &State,
                 const wire::share_message &Answer) {
  const auto Relayed = State.RelayedTakes.extract(Answer.Number);
  if (!Relayed)
    return false;
  wire::share_message Back = Answer;
  Back.Number = Relayed.mapped().Number;
  State.Peers->send(Relayed.mapped().Asker, std::move(Back));
  return true;
}

/// Hands an answer to the operation that waits for it. True when there was one.
bool acceptAnswer(platform_instance_state &State,
                  const wire::share_message &Answer) {
  const bool Grants = Answer.Kind == wire::share_kind::Grant;
  if (!Grants && Answer.Kind != wire::share_kind::Moved)
    return false;
  const auto Asked = State.BucketOwnerAnswers.find(Answer.Number);
  if (Asked == State.BucketOwnerAnswers.end())
    return relayAnswer(State, Answer);
  if (Grants && Answer.Entries.size() == 1) {
    const wire::share_entry &Entry = Answer.Entries.front();
    Asked->second =
        bucket_owner_answer{Entry.Tokens > 0, base::microseconds(Entry.WaitUs)};
  }
  State.TokenWaits.wake(Answer.Number);
  return true;
}

wire::share_message requestFor(const token_need &Need, wire::share_kind Kind,
                               std::uint64_t Number) {
  wire::share_message Message;
  Message.Kind = Kind;
  Message.Number = Number;
  constexpr unsigned LeastUrgent = UINT8_MAX;
  Message.Entries.push_back(
      {Need.Customer, 1, static_cast<std::uint32_t>(patienceLeft(Need).count()),
       0, static_cast<std::uint8_t>(std::min(Need.Priority, LeastUrgent))});
  return Message;
}

/// What became of a request for a token.
struct token_reply {
  instant Sent;
  bool Answered = false;
  /// Nothing when there was no answer, or the receiver has neither the bucket
  /// nor a reserve.
  std::optional<bucket_owner_answer> Answer;
};

/// Sends \p Message to \p Instance and waits for the answer.
base::task<token_reply> exchange(platform_instance_state &State,
                                 std::string Instance,
                                 wire::share_message Message) {
  const std::uint64_t Number = Message.Number;
  token_reply Reply;
  Reply.Sent = base::now();
  State.BucketOwnerAnswers[Number];
  if (State.Peers->send(Instance, std::move(Message)))
    Reply.Answered =
        co_await State.TokenWaits.wait(Number, Reply.Sent + AnswerTimeout);
  const auto Answer = State.BucketOwnerAnswers.extract(Number);
  Reply.Answer = Answer.mapped();
  co_return Reply;
}

/// Asks \p Instance for a token.
base::task<std::optional<bucket_owner_answer>>
requestToken(platform_instance_state &State, std::string Instance,
             wire::share_kind Kind, token_need Need) {
  const wire::share_message Message =
      requestFor(Need, Kind, State.TokenWaits.nextNumber());
  const token_reply Reply = co_await exchange(State, Instance, Message);
  noteRequest(State.BucketRequests, Instance, Reply.Answered, Reply.Sent);
  co_return Reply.Answer;
}

/// Asks the owner for a token through a relay.
base::task<std::optional<bucket_owner_answer>>
requestThroughRelay(platform_instance_state &State, token_sources Sources,
                    token_need Need) {
  wire::share_message Message =
      requestFor(Need, wire::share_kind::Take, State.TokenWaits.nextNumber());
  Message.Allocator = Sources.Owner;
  const token_reply Reply = co_await exchange(State, Sources.Relay, Message);
  noteRelayedRequest(State.BucketRequests, Sources.Relay, Sources.Owner,
                     Reply.Answered, Reply.Sent);
  co_return Reply.Answer;
}

/// Where to ask for a token; no owner when this instance is the owner or the
/// next one.
token_sources sourcesOf(const platform_instance_state &State,
                        const std::string &Customer) {
  token_sources Sources;
  if (!State.Peers)
    return Sources;
  const auto &View = State.Peers->view();
  const control::member *Owner = bucketOwner(State.Shares, View, Customer);
  if (Owner == nullptr)
    return Sources;
  Sources.Owner = Owner->Name;
  Sources.Plan = {token_source::Owner};
  if (!usesReserves(State.Reserves.Limits))
    return Sources;
  const instant Now = base::now();
  const control::member *Relay =
      bucketRelay(State.BucketRequests, View, *Owner, Now);
  const control::member *Successor =
      bucketSuccessor(State.Reserves, View, Customer);
  Sources.Relay = Relay == nullptr ? "" : Relay->Name;
  Sources.Successor = Successor == nullptr ? "" : Successor->Name;
  Sources.Plan =
      planRequests(State.BucketRequests, *Owner, Relay, Successor, Now);
  return Sources;
}

base::task<std::optional<bucket_owner_answer>>
requestFrom(platform_instance_state &State, token_source Source,
            token_sources Sources, token_need Need) {
  if (Source == token_source::Owner)
    co_return co_await requestToken(State, Sources.Owner,
                                    wire::share_kind::Take, Need);
  if (Source == token_source::Relay)
    co_return co_await requestThroughRelay(State, Sources, Need);
  if (Sources.Successor.empty())
    co_return takeFromReserve(State, Need.Customer);
  auto Answer = co_await requestToken(State, Sources.Successor,
                                      wire::share_kind::TakeReserve, Need);
  if (Answer && !Answer->Granted)
    Answer->Wait = waitBeside(State, Need.Customer, *Answer);
  co_return Answer;
}

/// Asks those that may have a token in turn, until one has answered. Once there
/// is no time for an answer only the reserve is asked: it grants without a
/// wait, and where operations have less patience than AnswerTimeout it would
/// never be asked otherwise after an owner that does not answer.
base::task<std::optional<bucket_owner_answer>>
requestInTurn(platform_instance_state &State, token_sources Sources,
              token_need Need) {
  for (const token_source Source : Sources.Plan) {
    const bool First = Source == Sources.Plan.front();
    if (!First && Source != token_source::Reserve &&
        patienceLeft(Need) < RoundTrip)
      continue;
    const auto Answer = co_await requestFrom(State, Source, Sources, Need);
    if (Answer)
      co_return Answer;
  }
  co_return std::nullopt;
}

/// The verdict of the owner, or of the next one, which may have a reserve. \p
/// Here is that of its bucket.
control::demand_verdict admitHere(platform_instance_state &State,
                                  const std::string &Customer,
                                  control::demand_verdict Here) {
  if (!State.Peers || !usesReserves(State.Reserves.Limits) ||
      ownsBucket(State.Shares, Customer))
    return Here;
  if (const auto Answer = takeFromReserve(State, Customer))
    return verdictFromOwner(State.Shares, Customer, *Answer);
  Here.Wait = expectedAt(State, Customer);
  Here.RateKnown = false;
  return Here;
}

} // namespace

base::task<control::demand_verdict>
admitByBucketOwner(platform_instance_state &State, std::string Customer,
                   unsigned Priority, base::microseconds Patience,
                   control::demand_verdict Here) {
  const token_need Need{Customer, Priority, base::now() + Patience};
  while (true) {
    const token_sources Sources = sourcesOf(State, Customer);
    if (Sources.Owner.empty())
      co_return admitHere(State, Customer, Here);
    const auto Answer = co_await requestInTurn(State, Sources, Need);
    if (Answer)
      co_return verdictFromOwner(State.Shares, Customer, *Answer);
    countTokens(State, Customer, "unanswered", 1);
    if (base::now() + RetryInterval >= Need.Until)
      break;
    co_await pauseWithJitter(State, RetryInterval);
  }
  Here.Wait = usesReserves(State.Reserves.Limits) ? expectedAt(State, Customer)
                                                  : control::NextOwnerWithin;
  Here.RateKnown = false;
  co_return Here;
}

bool acceptBucketMessage(platform_instance_state &State,
                         const wire::datagram &Datagram,
                         const wire::share_message &Message) {
  if (acceptAnswer(State, Message))
    return true;
  if (Message.Kind != wire::share_kind::Take &&
      Message.Kind != wire::share_kind::TakeReserve)
    return false;
  const bool IsForOther =
      !Message.Allocator.empty() && Message.Allocator != State.Settings.Name;
  if (IsForOther)
    relayTake(State, Datagram.Sender, Message);
  else
    answerTake(State, Datagram.Sender, Message);
  return true;
}

void logReserveUse(platform_instance_state &State) {
  constexpr milliseconds LogInterval{1000};
  const instant Now = base::now();
  for (auto &[Customer, Use] : State.ReserveUse) {
    if (Use.Granted == 0 || (Use.LoggedAt && Now - *Use.LoggedAt < LogInterval))
      continue;
    const control::member *Owner =
        bucketOwner(State.Shares, State.Peers->view(), Customer);
    base::logEvent(
        base::log_level::Info, base::log_part::Shares, "bucket_reserve_used",
        {{"customer", Customer},
         {"owner", Owner == nullptr ? State.Settings.Name : Owner->Name},
         {"granted", std::to_string(Use.Granted)}});
    Use = {0, Now};
  }
}

} // namespace redwinggw
