#include "redwinggw/session/cold_rates.hpp"

#include <algorithm>

namespace redwinggw::session {
namespace {

using base::instant;
using base::microseconds;
using base::milliseconds;

/// Least depth, as far as the bound allows it: a transaction needs tokens for
/// its begin, a set-up, a statement and its end.
constexpr double MinDepth = 4;
/// Tokens that transactions leave free of reservations for statements.
constexpr double Unreserved = 2;

double secondsOf(microseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

/// The tokens that the bucket holds at \p Now.
double filled(const cold_rate &Rate, instant Now) {
  const double Added =
      Rate.Rate * secondsOf(std::max(microseconds(0), Now - Rate.FilledAt));
  return std::max(0.0,
                  std::min(Rate.Depth - Rate.Reserved, Rate.Tokens + Added));
}

void fill(cold_rate &Rate, instant Now) {
  Rate.Tokens = filled(Rate, Now);
  Rate.FilledAt = Now;
}

/// The tokens that must be there for a request of kind \p Use.
double tokensNeeded(const cold_rate &Rate, cold_use Use) {
  switch (Use) {
  case cold_use::InTransaction:
  case cold_use::End:
    return 1;
  case cold_use::Single:
    return 1 + Rate.Waiting;
  case cold_use::Begin:
    break;
  }
  return 2 + Rate.Waiting;
}

/// What was sent before the limit applied here may arrive within the same
/// second.
void beginEmpty(cold_rate &Rate, instant Now) {
  Rate.Tokens = 0;
  Rate.FilledAt = Now;
}

bool mayReserve(const cold_rate &Rate) {
  return Rate.Reserved == 0 || Rate.Reserved + 1 + Unreserved <= Rate.Depth;
}

} // namespace

void configure(cold_rate &Rate, const std::optional<cold_limits> &Limits,
               double PerSecond, milliseconds ColdStart) {
  Rate.Limited = Limits && PerSecond > 0;
  Rate.PresumedFor = std::min(ListLag, ColdStart);
  if (!Rate.Limited)
    return;
  const double Window = 1 + secondsOf(ArrivalSpread);
  // A request that a paused process sends late, and the two requests of an
  // inquiry for the status, which take no tokens.
  constexpr double Uncounted = 1 + 2;
  const double Bound = PerSecond * Limits->Overshoot + Limits->Slack;
  const double Room = std::max(0.0, Bound - Uncounted);
  Rate.Depth =
      std::max(Room - PerSecond * Window, std::min(MinDepth, Room / 2));
  Rate.Rate = std::min(PerSecond, (Room - Rate.Depth) / Window);
  Rate.Tokens =
      std::clamp(Rate.Tokens, 0.0, std::max(0.0, Rate.Depth - Rate.Reserved));
}

bool isCold(const cold_rate &Rate, instant Now) {
  return Rate.Limited && ((Rate.ColdUntil && Now < *Rate.ColdUntil) ||
                          (Rate.PresumedUntil && Now < *Rate.PresumedUntil));
}

bool maySendCold(const cold_rate &Rate, instant Now) {
  return Rate.SendUntil && Now < *Rate.SendUntil;
}

bool waitsForTokens(const cold_rate &Rate, instant Now) {
  return Rate.AllWaiting != 0 && isCold(Rate, Now);
}

void permitSending(cold_rate &Rate, instant Until, instant Now) {
  if (!maySendCold(Rate, Now)) {
    beginEmpty(Rate, Now);
    Rate.Reserved = 0;
    ++Rate.Term;
  }
  Rate.SendUntil = Until;
}

void setColdUntil(cold_rate &Rate, std::optional<instant> Until, instant Now) {
  if (!isCold(Rate, Now))
    beginEmpty(Rate, Now);
  Rate.ColdUntil = Until;
}

void presumeCold(cold_rate &Rate, instant Now) {
  if (!isCold(Rate, Now))
    beginEmpty(Rate, Now);
  Rate.PresumedUntil = Now + Rate.PresumedFor;
}

token takeToken(cold_rate &Rate, cold_use Use, instant Now) {
  if (!isCold(Rate, Now))
    return token::NotNeeded;
  if (!maySendCold(Rate, Now))
    return token::None;
  fill(Rate, Now);
  if (Rate.Tokens < tokensNeeded(Rate, Use))
    return token::None;
  if (Use == cold_use::Begin && !mayReserve(Rate))
    return token::None;
  const bool Reserves = Use == cold_use::Begin;
  Rate.Tokens -= Reserves ? 2 : 1;
  Rate.Reserved += Reserves ? 1 : 0;
  return token::Taken;
}

bool takeInquiry(cold_rate &Rate, instant Now) {
  const bool Recent =
      Rate.InquiredAt && Now - *Rate.InquiredAt <= InquiryInterval;
  if (Recent && isCold(Rate, Now))
    return false;
  Rate.InquiredAt = Now;
  return true;
}

void noteInquiryEnded(cold_rate &Rate, instant Now) { Rate.InquiredAt = Now; }

std::optional<microseconds> tokenExpected(const cold_rate &Rate, cold_use Use,
                                          instant Now) {
  if (!isCold(Rate, Now))
    return microseconds(0);
  if (!maySendCold(Rate, Now) || Rate.Rate <= 0)
    return std::nullopt;
  const double Needed = tokensNeeded(Rate, Use);
  if (Needed > Rate.Depth - Rate.Reserved ||
      (Use == cold_use::Begin && !mayReserve(Rate)))
    return std::nullopt;
  const double Missing = std::max(0.0, Needed - filled(Rate, Now));
  constexpr double MicrosecondsPerSecond = 1e6;
  return microseconds(
      static_cast<std::int64_t>(Missing / Rate.Rate * MicrosecondsPerSecond));
}

milliseconds longestTokenWait(const cold_rate &Rate) {
  // A set-up and its statement need two tokens; at a lower bound a slow service
  // would set up connections without ever using them.
  constexpr double MinSeconds = 0.25;
  constexpr double MaxSeconds = 10;
  const double Seconds = Rate.Rate > 0
                             ? std::clamp(2 / Rate.Rate, MinSeconds, MaxSeconds)
                             : MinSeconds;
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::duration<double>(Seconds));
}

milliseconds coldTimeLeft(const cold_rate &Rate, instant Now) {
  const instant Until =
      std::max(Rate.ColdUntil.value_or(Now), Rate.PresumedUntil.value_or(Now));
  return std::chrono::ceil<milliseconds>(std::max(Until, Now) - Now);
}

milliseconds coldRetryAfter(const cold_rate &Rate, cold_use Use, instant Now) {
  // Another sender is chosen, or a transaction ends, within about this time.
  constexpr milliseconds NextSender{1000};
  const auto Expected = tokenExpected(Rate, Use, Now);
  return std::min(coldTimeLeft(Rate, Now),
                  Expected ? std::chrono::ceil<milliseconds>(*Expected)
                           : NextSender);
}

end_reserve::~end_reserve() {
  if (!isValid())
    return;
  --Rate->Reserved;
  Rate->Tokens += 1;
}

bool end_reserve::spend(instant Now) {
  const bool Spent =
      isValid() && (!isCold(*Rate, Now) || maySendCold(*Rate, Now));
  if (Spent) {
    --Rate->Reserved;
    Rate.reset();
  }
  return Spent;
}

permission_step nextStep(const cold_permission &Permission, bool Wanted,
                         const cold_permission_limits &Limits, instant Now) {
  if (!Wanted)
    return Permission.OwnVersion ? permission_step::Release
                                 : permission_step::None;
  if (!Permission.OwnVersion)
    return permission_step::Read;
  const bool Due =
      !Permission.RenewedAt || Now - *Permission.RenewedAt >= Limits.RenewAfter;
  return Due ? permission_step::Write : permission_step::None;
}

std::optional<std::uint64_t>
onPermissionRead(cold_permission &Permission, std::uint64_t Version, bool Mine,
                 const cold_permission_limits &Limits, instant Now) {
  if (!Permission.SeenSince || Permission.SeenVersion != Version) {
    Permission.SeenVersion = Version;
    Permission.SeenSince = Now;
  }
  const bool Free = Version == 0 || Mine ||
                    Now - *Permission.SeenSince >= Limits.TakeoverAfter;
  return Free ? std::optional(Version) : std::nullopt;
}

void onPermissionWritten(cold_permission &Permission,
                         std::optional<std::uint64_t> Version, instant Sent) {
  Permission.OwnVersion = Version;
  Permission.SeenSince.reset();
  if (Version)
    Permission.RenewedAt = Sent;
}

std::optional<instant> sendUntil(const cold_permission &Permission,
                                 const cold_permission_limits &Limits) {
  if (!Permission.RenewedAt)
    return std::nullopt;
  return *Permission.RenewedAt + Limits.ValidFor;
}

} // namespace redwinggw::session
