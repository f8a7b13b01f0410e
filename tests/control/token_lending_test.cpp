#include "redwinggw/control/token_lending.hpp"

#include "demand_fleet.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

/// A fleet whose instances lend each other tokens; every so many loans are lost
/// on their way.
struct lending_fleet : demand_fleet {
  using demand_fleet::demand_fleet;

  /// One loan, if somebody is thought to have any.
  bool borrow(std::size_t Index) {
    const double Missing = 1 - Shares[Index].Accounts.at("acme").Tokens;
    const auto Loan = askForTokens(Lending[Index], Shares[Index],
                                   Members[Index], "acme", Missing, Now);
    if (!Loan)
      return false;
    const std::size_t Lender = std::stoul(Loan->Lender.substr(1));
    const double Given = lendTokens(Shares[Lender], "acme", Loan->Tokens, Now);
    const bool Lost = LostEvery != 0 && ++Loans % LostEvery == 0;
    if (!Lost)
      takeLoan(Lending[Index], Shares[Index], Loan->Lender, "acme", Given, Now);
    return !Lost;
  }

  bool askWithLoan(std::size_t Index) {
    constexpr int MostLenders = 2;
    bool Admitted = ask(Index);
    for (int Asked = 0; Asked < MostLenders && !Admitted; ++Asked) {
      if (!borrow(Index))
        return false;
      Admitted = ask(Index);
    }
    return Admitted;
  }

  /// Callers of all instances in turn gather at one of them, \p PerTick of
  /// them at a time. Answers how many were refused.
  std::size_t gather(int PerTick, milliseconds Time, bool Loaned) {
    std::size_t Refused = 0;
    std::size_t Tick = 0;
    for (const instant End = Now + Time; Now < End; ++Tick) {
      tick();
      // Each second another instance.
      const std::size_t Where = Tick / 20 % Members.size();
      for (int Left = PerTick; Left > 0; --Left) {
        const bool Admitted = Loaned ? askWithLoan(Where) : ask(Where);
        Refused += Admitted ? 0 : 1;
      }
    }
    return Refused;
  }

  std::vector<token_lending> Lending =
      std::vector<token_lending>(Members.size());
  std::size_t LostEvery = 0;
  std::size_t Loans = 0;
};

} // namespace

// A customer's callers go from instance to instance, as they do while instances
// stop in turn. They ask for four fifths of the rate; the parts follow seconds
// later, and each time most callers were refused though the customer was far
// below its rate.
Test(token_lending, serves_callers_that_move_within_the_rate) {
  constexpr double Rate = 100;
  constexpr int PerTick = 4; // 80 a second
  lending_fleet Without(9, Rate, Rate);
  lending_fleet With(9, Rate, Rate);
  // New processes start from empty buckets; that is another story.
  Without.load(std::vector<double>(9, 5), milliseconds(5000));
  With.load(std::vector<double>(9, 5), milliseconds(5000));
  const std::size_t Before =
      Without.gather(PerTick, milliseconds(20'000), false);
  const std::size_t After = With.gather(PerTick, milliseconds(20'000), true);
  constexpr std::size_t Asked = 1600;
  cr_assert(Before > Asked / 20, "%zu refused without loans", Before);
  cr_assert(After < Asked / 100, "%zu refused with loans", After);
}

// A customer floods all instances, and each borrows what it can: lent tokens
// are taken out of one bucket before they enter another, so no five seconds
// hold more than the rate allows, also where answers are lost.
Test(token_lending, keeps_a_flood_within_the_rate) {
  for (const std::size_t LostEvery : {0, 3}) {
    lending_fleet Fleet(9, 100, 100);
    Fleet.LostEvery = LostEvery;
    Fleet.gather(1, milliseconds(5000), true);
    for (int Window = 0; Window < 4; ++Window) {
      const std::size_t Before = Fleet.Spent;
      for (const instant End = Fleet.Now + milliseconds(5000);
           Fleet.Now < End;) {
        Fleet.tick();
        for (std::size_t Index = 0; Index < 9; ++Index)
          for (int Left = 4; Left > 0; --Left)
            Fleet.askWithLoan(Index);
      }
      const auto Used = static_cast<double>(Fleet.Spent - Before);
      cr_assert(Used <= allowed(100, 100, 5), "%f", Used);
      cr_assert(Used >= 100 * 5 * 0.95, "%f", Used);
    }
  }
}

Test(token_lending, asks_once_at_a_time_and_passes_over_who_has_none) {
  lending_fleet Fleet(3);
  Fleet.load({5, 5, 5}, milliseconds(3000));
  token_lending &Lending = Fleet.Lending[0];
  const auto Ask = [&] {
    return askForTokens(Lending, Fleet.Shares[0], Fleet.Members[0], "acme", 1,
                        Fleet.Now);
  };
  const auto First = Ask();
  cr_assert(First);
  cr_assert(!Ask());
  takeLoan(Lending, Fleet.Shares[0], First->Lender, "acme", 0, Fleet.Now);
  const auto Second = Ask();
  cr_assert(Second && Second->Lender != First->Lender);
  // No answer came: the request or the answer was lost.
  Fleet.Now += Lending.Limits.AnswerTime;
  cr_assert(Ask());
}

Test(token_lending, lends_only_what_is_spare) {
  lending_fleet Fleet(3);
  Fleet.load({5, 5, 5}, milliseconds(3000));
  demand_shares &Shares = Fleet.Shares[0];
  const demand_account &Account = Shares.Accounts.at("acme");
  fillBucket(Shares, Shares.Accounts.at("acme"), Fleet.Now);
  const double Spare = spareTokens(Shares, Account);
  cr_assert(Spare >= 2);
  cr_assert(lendTokens(Shares, "acme", 1, Fleet.Now) == 1);
  const double Rest = lendTokens(Shares, "acme", 1000, Fleet.Now);
  cr_assert(Rest <= Spare - 1);
  cr_assert(Account.Tokens >= 1);
  cr_assert(lendTokens(Shares, "acme", 1000, Fleet.Now) == 0);
  cr_assert(lendTokens(Shares, "unknown", 5, Fleet.Now) == 0);
}
