#include "platform_instance_state.hpp"

#include "redwinggw/control/centralized_buckets.hpp"

#include <algorithm>

/// Admission by customers' rates, with transfers of tokens between instances.
///
/// The messages are those of the share allocator, with other meanings: Request
/// asks for a transfer of tokens, Take asks a bucket's owner for one
/// operation's token, Grant answers either, and Moved answers a Take when the
/// receiver does not own the bucket. Number identifies the request.
namespace redwinggw {
namespace {

using base::instant;
using base::milliseconds;

/// A transfer arrives within a few round trips; tokens that arrive later serve
/// the next operation.
constexpr milliseconds TransferTimeout{15};

session::admission admissionOf(const control::demand_verdict &Verdict) {
  return {Verdict.Admitted, Verdict.Counted, Verdict.Wait};
}

/// A bucket owner answers within a round trip; one that is slow or gone is not
/// waited for.
constexpr milliseconds BucketOwnerTimeout{40};

/// Counts tokens that were transferred between instances.
void countTransfer(platform_instance_state &State,
                   const base::customer_name &Customer, std::string_view Step,
                   double Tokens) {
  counterOf(State.Core.Metrics, base::metric::ShareTokensTotal,
            {Customer, std::string(Step)})
      .Value += Tokens;
}

/// Requests a transfer of tokens and waits for the answer. False when there is
/// no instance to ask or no answer in time.
base::task<bool> fetchTokens(platform_instance_state &State,
                             const std::string &Customer, double Missing) {
  const instant Now = base::now();
  if (!State.Peers)
    co_return false;
  const auto Transfer =
      requestTransfer(State.Transfers, State.Shares, State.Peers->view(),
                      Customer, Missing, Now);
  if (!Transfer)
    co_return false;
  wire::share_message Message;
  Message.Kind = wire::share_kind::Request;
  Message.Number = State.TokenWaits.nextNumber();
  Message.Entries.push_back(
      {Customer, static_cast<float>(Transfer->Tokens), 0, 0});
  const std::uint64_t Number = Message.Number;
  if (!State.Peers->send(Transfer->Donor, std::move(Message)))
    co_return false;
  co_return co_await State.TokenWaits.wait(Number, Now + TransferTimeout);
}

wire::share_message answerTo(const wire::share_message &Request,
                             wire::share_kind Kind) {
  wire::share_message Answer;
  Answer.Kind = Kind;
  Answer.Number = Request.Number;
  return Answer;
}

/// Answers a request for tokens, also when there are none, so that the other
/// instance does not wait for its timeout.
void sendTokens(platform_instance_state &State, const base::instance_name &To,
                const wire::share_message &Request) {
  wire::share_message Grant = answerTo(Request, wire::share_kind::Grant);
  for (const wire::share_entry &Entry : Request.Entries) {
    const double Given = withdrawSpareTokens(State.Shares, Entry.Customer,
                                             Entry.Tokens, base::now());
    countTransfer(State, Entry.Customer, "given", Given);
    Grant.Entries.push_back({Entry.Customer, static_cast<float>(Given), 0, 0});
  }
  State.Peers->send(To, std::move(Grant));
}

/// Answers a request for one operation's token, as the bucket's owner.
void answerTake(platform_instance_state &State, const base::instance_name &To,
                const wire::share_message &Request) {
  if (Request.Entries.size() != 1)
    return;
  const wire::share_entry &Entry = Request.Entries.front();
  const auto Answer = grantToken(State.Shares, Entry.Customer, Entry.Priority,
                                 base::microseconds(Entry.WaitUs), base::now());
  if (!Answer) {
    State.Peers->send(To, answerTo(Request, wire::share_kind::Moved));
    return;
  }
  const float Given = Answer->Granted ? 1 : 0;
  countTransfer(State, Entry.Customer, "given", Given);
  wire::share_message Grant = answerTo(Request, wire::share_kind::Grant);
  Grant.Entries.push_back({Entry.Customer, Given,
                           static_cast<std::uint32_t>(Answer->Wait.count()), 0,
                           Entry.Priority});
  State.Peers->send(To, std::move(Grant));
}

/// Hands a bucket owner's answer to the operation that waits for it. True when
/// there was one.
bool acceptBucketOwnerAnswer(platform_instance_state &State,
                             const wire::share_message &Answer) {
  const bool Grants = Answer.Kind == wire::share_kind::Grant;
  const auto Asked = State.BucketOwnerAnswers.find(Answer.Number);
  if (Asked == State.BucketOwnerAnswers.end() ||
      (!Grants && Answer.Kind != wire::share_kind::Moved))
    return false;
  if (Grants && Answer.Entries.size() == 1) {
    const wire::share_entry &Entry = Answer.Entries.front();
    Asked->second = control::bucket_owner_answer{
        Entry.Tokens > 0, base::microseconds(Entry.WaitUs)};
  }
  State.TokenWaits.wake(Answer.Number);
  return true;
}

/// Asks the owner of the customer's bucket for a token. Nothing when it did not
/// answer or does not own the bucket.
base::task<std::optional<control::bucket_owner_answer>>
askBucketOwner(platform_instance_state &State, const control::member &Owner,
               const std::string &Customer, unsigned Priority,
               base::microseconds Patience) {
  wire::share_message Message;
  Message.Kind = wire::share_kind::Take;
  const std::uint64_t Number = State.TokenWaits.nextNumber();
  Message.Number = Number;
  constexpr unsigned LeastUrgent = UINT8_MAX;
  Message.Entries.push_back(
      {Customer, 1, static_cast<std::uint32_t>(Patience.count()), 0,
       static_cast<std::uint8_t>(std::min(Priority, LeastUrgent))});
  State.BucketOwnerAnswers[Number];
  if (State.Peers->send(Owner.Name, std::move(Message)))
    co_await State.TokenWaits.wait(Number, base::now() + BucketOwnerTimeout);
  const auto Answer = State.BucketOwnerAnswers.extract(Number);
  co_return Answer.mapped();
}

/// Interval between two requests to a bucket's owner for one operation: the
/// answer may have been lost, or the owner not have been chosen there yet.
constexpr milliseconds OwnerRetryInterval{30};

/// Admits an operation by a bucket that another instance owns.
base::task<control::demand_verdict>
admitByBucketOwner(platform_instance_state &State, const std::string &Customer,
                   unsigned Priority, base::microseconds Patience,
                   control::demand_verdict Here) {
  const instant Until = base::now() + Patience;
  while (true) {
    const control::member *Owner =
        State.Peers ? bucketOwner(State.Shares, State.Peers->view(), Customer)
                    : nullptr;
    // This instance owns the bucket, which is empty.
    if (Owner == nullptr)
      co_return Here;
    const auto Answer =
        co_await askBucketOwner(State, *Owner, Customer, Priority, Patience);
    if (Answer)
      co_return verdictFromOwner(State.Shares, Customer, *Answer);
    counterOf(State.Core.Metrics, base::metric::ShareTokensTotal,
              {Customer, "unanswered"})
        .Value += 1;
    if (base::now() + OwnerRetryInterval >= Until)
      break;
    co_await pauseWithJitter(State, OwnerRetryInterval);
  }
  Here.Wait = control::NextOwnerWithin;
  co_return Here;
}

/// Waits until this instance, which has just started, knows the bucket owners.
/// Returns how long that will still take if it is too long to wait for.
base::task<std::optional<base::microseconds>>
awaitBucketOwners(platform_instance_state &State, base::microseconds Patience) {
  // Longer than for a token, which the customer may not get at all.
  const auto StartupPatience = 2 * Patience;
  const instant Until = base::now() + StartupPatience;
  while (const auto Expected = ownersExpected(State.Shares, base::now())) {
    if (base::now() + *Expected > Until)
      co_return Expected;
    co_await pauseWithJitter(State, OwnerRetryInterval);
  }
  co_return std::nullopt;
}

void acceptGrant(platform_instance_state &State,
                 const base::instance_name &From,
                 const wire::share_message &Grant) {
  for (const wire::share_entry &Entry : Grant.Entries) {
    depositTokens(State.Transfers, State.Shares, From, Entry.Customer,
                  Entry.Tokens, base::now());
    countTransfer(State, Entry.Customer, "taken", Entry.Tokens);
  }
  State.TokenWaits.wake(Grant.Number);
}

} // namespace

base::task<session::admission> admitOperation(platform_instance_state &State,
                                              std::string Customer,
                                              unsigned Priority,
                                              base::microseconds Patience) {
  // The first instance asked may have sent its tokens elsewhere a moment ago.
  constexpr unsigned MaxSenders = 2;
  const auto OwnersExpected = co_await awaitBucketOwners(State, Patience);
  if (OwnersExpected)
    co_return session::admission{false, false, *OwnersExpected};
  auto Verdict =
      takeDemandToken(State.Shares, Customer, Priority, Patience, base::now());
  if (!Verdict.Admitted && isCentralized(State.Shares, Customer)) {
    Verdict = co_await admitByBucketOwner(State, Customer, Priority, Patience,
                                          Verdict);
    co_return admissionOf(Verdict);
  }
  for (unsigned Asked = 0; Asked < MaxSenders && !Verdict.Admitted; ++Asked) {
    const bool Answered =
        co_await fetchTokens(State, Customer, Verdict.Missing);
    if (!Answered)
      break;
    Verdict = takeDemandToken(State.Shares, Customer, Priority, Patience,
                              base::now());
  }
  co_return admissionOf(Verdict);
}

void connectTokenTransfers(platform_instance_state &State) {
  State.Peers->onShareMessage([&State](const wire::datagram &Datagram,
                                       const wire::share_message &Message) {
    if (acceptBucketOwnerAnswer(State, Message))
      return;
    if (Message.Kind == wire::share_kind::Take)
      answerTake(State, Datagram.Sender, Message);
    if (Message.Kind == wire::share_kind::Request)
      sendTokens(State, Datagram.Sender, Message);
    if (Message.Kind == wire::share_kind::Grant)
      acceptGrant(State, Datagram.Sender, Message);
  });
}

} // namespace redwinggw
