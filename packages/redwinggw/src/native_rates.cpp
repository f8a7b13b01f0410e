#include "native_state.hpp"

/// Admission by customers' rates, with tokens that instances lend each other.
namespace redwinggw {
namespace {

using base::instant;
using base::milliseconds;

/// A loan is there within a few round trips; later it serves the next one.
constexpr milliseconds LoanTime{15};

session::admission admissionOf(const control::demand_verdict &Verdict) {
  return {Verdict.Admitted, Verdict.Counted, Verdict.Wait};
}

/// Counts tokens that went from one instance to another.
void countLoan(native_state &State, const base::customer_name &Customer,
               std::string_view Step, double Tokens) {
  counterOf(State.Core.Metrics, base::metric::ShareTokensTotal,
            {Customer, std::string(Step)})
      .Value += Tokens;
}

/// Asks another instance for tokens and waits for its answer. False when there
/// is nobody to ask or no answer in time.
base::task<bool> borrow(native_state &State, const std::string &Customer,
                        double Missing) {
  const instant Now = base::now();
  if (!State.Peers)
    co_return false;
  const auto Loan = askForTokens(State.Lending, State.Shares,
                                 State.Peers->view(), Customer, Missing, Now);
  if (!Loan)
    co_return false;
  wire::share_message Message;
  Message.Kind = wire::share_kind::Request;
  Message.Number = State.Loans.nextNumber();
  Message.Entries.push_back({Customer, static_cast<float>(Loan->Tokens), 0, 0});
  const std::uint64_t Number = Message.Number;
  if (!State.Peers->send(Loan->Lender, std::move(Message)))
    co_return false;
  co_return co_await State.Loans.wait(Number, Now + LoanTime);
}

/// Answers a request for tokens; also when there are none, so that nobody
/// waits in vain.
void lend(native_state &State, const base::instance_name &To,
          const wire::share_message &Request) {
  wire::share_message Grant;
  Grant.Kind = wire::share_kind::Grant;
  Grant.Number = Request.Number;
  for (const wire::share_entry &Entry : Request.Entries) {
    const double Given =
        lendTokens(State.Shares, Entry.Customer, Entry.Tokens, base::now());
    countLoan(State, Entry.Customer, "given", Given);
    Grant.Entries.push_back({Entry.Customer, static_cast<float>(Given), 0, 0});
  }
  State.Peers->send(To, std::move(Grant));
}

void takeGrant(native_state &State, const base::instance_name &From,
               const wire::share_message &Grant) {
  for (const wire::share_entry &Entry : Grant.Entries) {
    takeLoan(State.Lending, State.Shares, From, Entry.Customer, Entry.Tokens,
             base::now());
    countLoan(State, Entry.Customer, "taken", Entry.Tokens);
  }
  State.Loans.wake(Grant.Number);
}

} // namespace

base::task<session::admission> admitNative(native_state &State,
                                           std::string Customer,
                                           unsigned Priority,
                                           base::microseconds Patience) {
  // The first one asked may have lent its tokens a moment ago.
  constexpr unsigned MostLenders = 2;
  auto Verdict =
      takeDemandToken(State.Shares, Customer, Priority, Patience, base::now());
  for (unsigned Asked = 0; Asked < MostLenders && !Verdict.Admitted; ++Asked) {
    const bool Answered = co_await borrow(State, Customer, Verdict.Missing);
    if (!Answered)
      break;
    Verdict = takeDemandToken(State.Shares, Customer, Priority, Patience,
                              base::now());
  }
  co_return admissionOf(Verdict);
}

void connectLending(native_state &State) {
  State.Peers->onShareMessage([&State](const wire::datagram &Datagram,
                                       const wire::share_message &Message) {
    if (Message.Kind == wire::share_kind::Request)
      lend(State, Datagram.Sender, Message);
    if (Message.Kind == wire::share_kind::Grant)
      takeGrant(State, Datagram.Sender, Message);
  });
}

} // namespace redwinggw
