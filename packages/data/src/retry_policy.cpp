#include "redwinggw/data/retry_policy.hpp"

#include <algorithm>

namespace redwinggw::data {
namespace {

constexpr base::microseconds FirstBackoff{5'000};
constexpr base::microseconds MaxBackoff{100'000};
constexpr unsigned FailuresToOpen = 3;
constexpr base::microseconds FirstOpenTime{100'000};
constexpr base::microseconds MaxOpenTime{1'000'000};
constexpr unsigned MaxShift = 10;

base::microseconds exponentialDelay(base::microseconds First,
                                    base::microseconds Longest, unsigned Times,
                                    double Random) {
  const unsigned Shift = std::min(Times, MaxShift);
  const base::microseconds Whole = std::min(Longest, First * (1U << Shift));
  return Whole / 2 + base::microseconds(static_cast<std::int64_t>(
                         Random * static_cast<double>(Whole.count()) / 2));
}

} // namespace

void noteRequest(retry_budget &Budget) {
  Budget.Tokens =
      std::min(Budget.Limit, Budget.Tokens + Budget.EarnedPerRequest);
}

bool spendRetry(retry_budget &Budget) {
  if (Budget.Tokens < 1)
    return false;
  Budget.Tokens -= 1;
  return true;
}

base::microseconds backoff(unsigned Try, double Random) {
  return exponentialDelay(FirstBackoff, MaxBackoff, Try == 0 ? 0 : Try - 1,
                          Random);
}

bool isClosed(const circuit_breaker &Circuit, base::instant Now) {
  return Now >= Circuit.OpenUntil;
}

void noteSuccess(circuit_breaker &Circuit) { Circuit = {}; }

void noteFailure(circuit_breaker &Circuit, base::instant Now, double Random) {
  ++Circuit.Failures;
  if (Circuit.Failures < FailuresToOpen)
    return;
  Circuit.OpenUntil =
      Now + exponentialDelay(FirstOpenTime, MaxOpenTime,
                             Circuit.Failures - FailuresToOpen, Random);
}

retry_kind retryKindOf(const base::failure &Failure) {
  using base::errc;
  switch (kindOf(Failure)) {
  case errc::EndpointUnreachable:
  case errc::EndpointRefused:
  case errc::ConnectionLimit:
  case errc::NotPrimary:
  case errc::TermReplaced:
  case errc::NoPrimary:
    return retry_kind::Anywhere;
  case errc::OutcomeUnknown:
  case errc::TruncatedAnswer:
    return retry_kind::SameId;
  default:
    return retry_kind::Never;
  }
}

} // namespace redwinggw::data
