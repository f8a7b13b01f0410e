#include "redwinggw/control/token_lending.hpp"

#include <algorithm>
#include <cmath>

namespace redwinggw::control {
namespace {

using base::instant;

/// Spare tokens as \p Member last told; none of one that is not up.
unsigned spareOf(const member &Member, std::uint32_t Customer) {
  if (Member.State != member_state::Alive)
    return 0;
  const auto &Demands = Member.Report.Demands;
  const auto Found =
      std::ranges::find(Demands, Customer, &wire::demand_report::Customer);
  return Found == Demands.end() ? 0U : Found->Spare;
}

} // namespace

std::optional<loan_request> askForTokens(token_lending &Lending,
                                         const demand_shares &Shares,
                                         const membership &Membership,
                                         std::string_view Customer,
                                         double Missing, instant Now) {
  const auto Account = Shares.Accounts.find(Customer);
  if (Account == Shares.Accounts.end() || Membership.Members.empty())
    return std::nullopt;
  auto &Loans = Lending.Loans.try_emplace(std::string(Customer)).first->second;
  if (Now < Loans.AskedUntil)
    return std::nullopt;
  const std::uint32_t Hash = wire::hashOf(Customer);
  const auto Spare = [&](const member &Member) {
    const auto Passed = Loans.PassedOver.find(Member.Name);
    const bool Dry = Passed != Loans.PassedOver.end() && Now < Passed->second;
    return Dry ? 0U : spareOf(Member, Hash);
  };
  const auto Richest = std::ranges::max_element(Membership.Members, {}, Spare);
  if (Spare(*Richest) == 0)
    return std::nullopt;
  Loans.AskedUntil = Now + Lending.Limits.AnswerTime;
  const double Ahead =
      Account->second.Announced *
      std::chrono::duration<double>(Lending.Limits.Ahead).count();
  const double Wanted = std::ceil(Missing + Ahead);
  return loan_request{Richest->Name, std::min(Wanted, Lending.Limits.Most)};
}

double lendTokens(demand_shares &Shares, std::string_view Customer,
                  double Wanted, instant Now) {
  const auto Found = Shares.Accounts.find(Customer);
  if (Found == Shares.Accounts.end() || !Found->second.Divisible)
    return 0;
  demand_account &Account = Found->second;
  fillBucket(Shares, Account, Now);
  const double Given = std::clamp(std::floor(spareTokens(Shares, Account)), 0.0,
                                  std::max(0.0, Wanted));
  Account.Tokens -= Given;
  return Given;
}

void takeLoan(token_lending &Lending, demand_shares &Shares,
              std::string_view Lender, std::string_view Customer, double Tokens,
              instant Now) {
  auto &Loans = Lending.Loans.try_emplace(std::string(Customer)).first->second;
  Loans.AskedUntil = {};
  if (Tokens <= 0)
    Loans.PassedOver[std::string(Lender)] = Now + Lending.Limits.PassOver;
  const auto Found = Shares.Accounts.find(Customer);
  if (Found == Shares.Accounts.end() || Tokens <= 0)
    return;
  demand_account &Account = Found->second;
  fillBucket(Shares, Account, Now);
  Account.LoanRoom =
      std::min(Account.LoanRoom + Tokens, Lending.Limits.LoanRoom);
  const double Most = bucketDepth(Shares, Account) + Account.LoanRoom;
  Account.Tokens =
      std::min(Account.Tokens + Tokens, std::max(Account.Tokens, Most));
}

} // namespace redwinggw::control
