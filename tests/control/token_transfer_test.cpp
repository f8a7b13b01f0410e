#include "redwinggw/control/token_transfer.hpp"

#include "demand_fleet.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::control;
using namespace redwinggw::control::testing;

namespace {

/// A fleet whose instances transfer tokens to each other; every LostEvery-th
/// transfer is lost in transit.
struct transferring_fleet : demand_fleet {
  using demand_fleet::demand_fleet;

  /// One transfer, if some instance has reported spare tokens.
  bool transfer(std::size_t Index) {
    const double Missing = 1 - Shares[Index].Accounts.at("acme").Tokens;
    const auto Request = requestTransfer(Transfers[Index], Shares[Index],
                                         Members[Index], "acme", Missing, Now);
    if (!Request)
      return false;
    const std::size_t Donor = std::stoul(Request->Donor.substr(1));
    const double Given =
        withdrawSpareTokens(Shares[Donor], "acme", Request->Tokens, Now);
    const bool Lost = LostEvery != 0 && ++TransferCount % LostEvery == 0;
    if (!Lost)
      depositTokens(Transfers[Index], Shares[Index], Request->Donor, "acme",
                    Given, Now);
    return !Lost;
  }

  bool askWithTransfers(std::size_t Index) {
    constexpr int MaxDonors = 2;
    bool Admitted = ask(Index);
    for (int Asked = 0; Asked < MaxDonors && !Admitted; ++Asked) {
      if (!transfer(Index))
        return false;
      Admitted = ask(Index);
    }
    return Admitted;
  }

  /// Callers of all instances in turn move to one of them, \p PerTick of them
  /// at a time. Returns how many were refused.
  std::size_t loadInTurn(int PerTick, milliseconds Time, bool WithTransfers) {
    std::size_t Refused = 0;
    std::size_t Tick = 0;
    for (const instant End = Now + Time; Now < End; ++Tick) {
      tick();
      // Another instance each second.
      const std::size_t Where = Tick / 20 % Members.size();
      for (int Left = PerTick; Left > 0; --Left) {
        const bool Admitted =
            WithTransfers ? askWithTransfers(Where) : ask(Where);
        Refused += Admitted ? 0 : 1;
      }
    }
    return Refused;
  }

  std::vector<token_transfers> Transfers =
      std::vector<token_transfers>(Members.size());
  std::size_t LostEvery = 0;
  std::size_t TransferCount = 0;
};

} // namespace

// A customer's callers move from instance to instance, as they do while
// instances stop in turn. They use four fifths of the rate; the shares follow
// seconds later, and each time most callers were refused though the customer
// was far below its rate.
Test(token_transfer, serves_callers_that_move_within_the_rate) {
  constexpr double Rate = 100;
  constexpr int PerTick = 4; // 80 a second
  transferring_fleet Without(9, Rate, Rate);
  transferring_fleet With(9, Rate, Rate);
  // New processes start with empty buckets, which is not under test here.
  Without.load(std::vector<double>(9, 5), milliseconds(5000));
  With.load(std::vector<double>(9, 5), milliseconds(5000));
  const std::size_t Before =
      Without.loadInTurn(PerTick, milliseconds(20'000), false);
  const std::size_t After =
      With.loadInTurn(PerTick, milliseconds(20'000), true);
  constexpr std::size_t Asked = 1600;
  cr_assert(Before > Asked / 20, "%zu refused without transfers", Before);
  cr_assert(After < Asked / 100, "%zu refused with transfers", After);
}

// A customer floods all instances, and each requests what it can: transferred
// tokens are taken out of one bucket before they enter another, so no five
// seconds exceed what the rate allows, also where answers are lost.
Test(token_transfer, keeps_a_flood_within_the_rate) {
  for (const std::size_t LostEvery : {0, 3}) {
    transferring_fleet Fleet(9, 100, 100);
    Fleet.LostEvery = LostEvery;
    Fleet.loadInTurn(1, milliseconds(5000), true);
    for (int Window = 0; Window < 4; ++Window) {
      const std::size_t Before = Fleet.Spent;
      for (const instant End = Fleet.Now + milliseconds(5000);
           Fleet.Now < End;) {
        Fleet.tick();
        for (std::size_t Index = 0; Index < 9; ++Index)
          for (int Left = 4; Left > 0; --Left)
            Fleet.askWithTransfers(Index);
      }
      const auto Used = static_cast<double>(Fleet.Spent - Before);
      cr_assert(Used <= allowed(100, 100, 5), "%f", Used);
      cr_assert(Used >= 100 * 5 * 0.95, "%f", Used);
    }
  }
}

Test(token_transfer, asks_once_at_a_time_and_skips_who_has_none) {
  transferring_fleet Fleet(3);
  Fleet.load({5, 5, 5}, milliseconds(3000));
  token_transfers &Transfers = Fleet.Transfers[0];
  const auto Ask = [&] {
    return requestTransfer(Transfers, Fleet.Shares[0], Fleet.Members[0], "acme",
                           1, Fleet.Now);
  };
  const auto First = Ask();
  cr_assert(First);
  cr_assert(!Ask());
  depositTokens(Transfers, Fleet.Shares[0], First->Donor, "acme", 0, Fleet.Now);
  const auto Second = Ask();
  cr_assert(Second && Second->Donor != First->Donor);
  // No answer came: the request or the answer was lost.
  Fleet.Now += Transfers.Limits.AnswerTimeout;
  cr_assert(Ask());
}

Test(token_transfer, transfers_only_spare_tokens) {
  transferring_fleet Fleet(3);
  Fleet.load({5, 5, 5}, milliseconds(3000));
  demand_shares &Shares = Fleet.Shares[0];
  const demand_account &Account = Shares.Accounts.at("acme");
  fillBucket(Shares, Shares.Accounts.at("acme"), Fleet.Now);
  const double Spare = spareTokens(Shares, Account);
  cr_assert(Spare >= 2);
  cr_assert(withdrawSpareTokens(Shares, "acme", 1, Fleet.Now) == 1);
  const double Rest = withdrawSpareTokens(Shares, "acme", 1000, Fleet.Now);
  cr_assert(Rest <= Spare - 1);
  cr_assert(Account.Tokens >= 1);
  cr_assert(withdrawSpareTokens(Shares, "acme", 1000, Fleet.Now) == 0);
  cr_assert(withdrawSpareTokens(Shares, "unknown", 5, Fleet.Now) == 0);
}
