#include "platform_rates.hpp"
#include "platform_loops.hpp"

#include "redwinggw/control/centralized_buckets.hpp"
#include "redwinggw/control/share_allocator.hpp"

#include <algorithm>

/// Admission by customers' rates, with transfers of tokens between instances.
///
/// The messages are those of the share allocator, with other meanings: Request
/// asks for a transfer of tokens, Grant answers it, and Number identifies the
/// request. platform_buckets.cpp has the messages about centralized buckets.
namespace redwinggw {
namespace {

using base::instant;
using base::milliseconds;

/// A transfer arrives within a few round trips; tokens that arrive later serve
/// the next operation.
constexpr milliseconds TransferTimeout{15};

session::admission admissionOf(const control::demand_verdict &Verdict) {
  return {Verdict.Admitted, Verdict.Counted, Verdict.Wait, Verdict.RateKnown};
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

/// Answers a request for tokens, also when there are none, so that the other
/// instance does not wait for its timeout.
void sendTokens(platform_instance_state &State, const base::instance_name &To,
                const wire::share_message &Request) {
  wire::share_message Grant =
      control::answerTo(Request, wire::share_kind::Grant);
  for (const wire::share_entry &Entry : Request.Entries) {
    const double Given = withdrawSpareTokens(State.Shares, Entry.Customer,
                                             Entry.Tokens, base::now());
    countTokens(State, Entry.Customer, "given", Given);
    Grant.Entries.push_back({Entry.Customer, static_cast<float>(Given), 0, 0});
  }
  State.Peers->send(To, std::move(Grant));
}

void acceptGrant(platform_instance_state &State,
                 const base::instance_name &From,
                 const wire::share_message &Grant) {
  for (const wire::share_entry &Entry : Grant.Entries) {
    depositTokens(State.Transfers, State.Shares, From, Entry.Customer,
                  Entry.Tokens, base::now());
    countTokens(State, Entry.Customer, "taken", Entry.Tokens);
  }
  State.TokenWaits.wake(Grant.Number);
}

/// Waits until this instance, which has just started, knows the bucket owners.
/// Returns how long that will still take if it is too long to wait for.
base::task<std::optional<base::microseconds>>
awaitBucketOwners(platform_instance_state &State, base::microseconds Patience) {
  constexpr milliseconds CheckInterval{30};
  // Longer than for a token, which the customer may not get at all.
  const auto StartupPatience = 2 * Patience;
  const instant Until = base::now() + StartupPatience;
  while (const auto Expected = ownersExpected(State.Shares, base::now())) {
    if (base::now() + *Expected > Until)
      co_return Expected;
    co_await pauseWithJitter(State, CheckInterval);
  }
  co_return std::nullopt;
}

} // namespace

void countTokens(platform_instance_state &State,
                 const base::customer_name &Customer, std::string_view Step,
                 double Tokens) {
  counterOf(State.Core.Metrics, base::metric::ShareTokensTotal,
            {Customer, std::string(Step)})
      .Value += Tokens;
}

base::task<session::admission> admitOperation(platform_instance_state &State,
                                              std::string Customer,
                                              unsigned Priority,
                                              base::microseconds Patience) {
  // The first instance asked may have sent its tokens elsewhere a moment ago.
  constexpr unsigned MaxSenders = 2;
  const auto OwnersExpected = co_await awaitBucketOwners(State, Patience);
  if (OwnersExpected)
    co_return session::admission{false, false, *OwnersExpected, false};
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
    if (acceptBucketMessage(State, Datagram, Message))
      return;
    if (Message.Kind == wire::share_kind::Request)
      sendTokens(State, Datagram.Sender, Message);
    if (Message.Kind == wire::share_kind::Grant)
      acceptGrant(State, Datagram.Sender, Message);
  });
}

} // namespace redwinggw
