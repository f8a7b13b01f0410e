#include "redwinggw/control/token_transfer.hpp"

#include <algorithm>
#include <cmath>

namespace redwinggw::control {
namespace {

using base::instant;

/// Spare tokens that \p Member last reported; none if it is not up.
unsigned spareOf(const member &Member, std::uint32_t Customer) {
  if (Member.State != member_state::Alive)
    return 0;
  const auto &Demands = Member.Report.Demands;
  const auto Found =
      std::ranges::find(Demands, Customer, &wire::demand_report::Customer);
  return Found == Demands.end() ? 0U : Found->Spare;
}

} // namespace

std::optional<transfer_request> requestTransfer(token_transfers &Transfers,
                                                const demand_shares &Shares,
                                                const membership &Membership,
                                                std::string_view Customer,
                                                double Missing, instant Now) {
  const auto Account = Shares.Accounts.find(Customer);
  if (Account == Shares.Accounts.end() || Membership.Members.empty())
    return std::nullopt;
  auto &Requests =
      Transfers.Requests.try_emplace(std::string(Customer)).first->second;
  if (Now < Requests.PendingUntil)
    return std::nullopt;
  const std::uint32_t Hash = wire::hashOf(Customer);
  const auto Spare = [&](const member &Member) {
    const auto Skip = Requests.Skipped.find(Member.Name);
    const bool Empty = Skip != Requests.Skipped.end() && Now < Skip->second;
    return Empty ? 0U : spareOf(Member, Hash);
  };
  const auto MostSpare =
      std::ranges::max_element(Membership.Members, {}, Spare);
  if (Spare(*MostSpare) == 0)
    return std::nullopt;
  Requests.PendingUntil = Now + Transfers.Limits.AnswerTimeout;
  const double Ahead =
      Account->second.Announced *
      std::chrono::duration<double>(Transfers.Limits.Ahead).count();
  const double Wanted = std::ceil(Missing + Ahead);
  return transfer_request{MostSpare->Name,
                          std::min(Wanted, Transfers.Limits.MaxTokens)};
}

double withdrawSpareTokens(demand_shares &Shares, std::string_view Customer,
                           double Wanted, instant Now) {
  const auto Found = Shares.Accounts.find(Customer);
  if (Found == Shares.Accounts.end() || !Found->second.EnforcesShare ||
      isOutdated(Shares, Found->second, Now))
    return 0;
  demand_account &Account = Found->second;
  fillBucket(Shares, Account, Now);
  const double Given = std::clamp(std::floor(spareTokens(Shares, Account)), 0.0,
                                  std::max(0.0, Wanted));
  Account.Tokens -= Given;
  return Given;
}

void depositTokens(token_transfers &Transfers, demand_shares &Shares,
                   std::string_view Donor, std::string_view Customer,
                   double Tokens, instant Now) {
  auto &Requests =
      Transfers.Requests.try_emplace(std::string(Customer)).first->second;
  Requests.PendingUntil = {};
  if (Tokens <= 0)
    Requests.Skipped[std::string(Donor)] = Now + Transfers.Limits.SkipTime;
  const auto Found = Shares.Accounts.find(Customer);
  if (Found == Shares.Accounts.end() || Tokens <= 0)
    return;
  demand_account &Account = Found->second;
  fillBucket(Shares, Account, Now);
  Account.TransferRoom =
      std::min(Account.TransferRoom + Tokens, Transfers.Limits.TransferRoom);
  const double MaxLevel = bucketDepth(Shares, Account) + Account.TransferRoom;
  Account.Tokens =
      std::min(Account.Tokens + Tokens, std::max(Account.Tokens, MaxLevel));
}

} // namespace redwinggw::control
