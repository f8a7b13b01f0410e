#pragma once

#include "promotion_search.hpp"

#include "criterion_test.hpp"

/// Checks of all states that the model of promotions can reach.
namespace redwinggw::promotion_model {

constexpr std::size_t Unlimited = 2'000'000;

inline setting withoutFaults() {
  setting Setting;
  Setting.Delays = 0;
  Setting.InstanceFaults = 0;
  Setting.DatabaseFaults = 0;
  Setting.Takeovers = 0;
  Setting.Abandons = 0;
  return Setting;
}

/// Checks every reachable state: no rule is broken, and an agreed primary can
/// be reached without further faults.
inline search_result checkAll(const setting &Setting) {
  search_result Result = searchAll(Setting, Unlimited);
  cr_assert(Result.Broken == fault::None, "%s", Result.Trace.c_str());
  cr_assert(Result.Complete);
  cr_assert(Result.Stuck == 0, "%s", Result.Trace.c_str());
  return Result;
}

/// Checks besides that an agreed primary is reached, whatever happens in which
/// order.
inline void checkProgress(const setting &Setting) {
  const search_result Result = checkAll(Setting);
  cr_assert(Result.Endless == 0, "%s", Result.Trace.c_str());
}

} // namespace redwinggw::promotion_model
