#pragma once

#include "promotion_model.hpp"

#include <cstddef>
#include <string>

namespace redwinggw::promotion_model {

struct search_result {
  std::size_t States = 0;
  /// Every reachable state was visited.
  bool Complete = false;
  fault Broken = fault::None;
  /// States from which no agreed primary can be reached without faults.
  std::size_t Stuck = 0;
  /// States from which faultless transitions may go on for ever without one.
  std::size_t Endless = 0;
  /// The shortest way to the fault, or to the first stuck state.
  std::string Trace;
};

/// Visits all states, nearest first, until a rule is broken. \p MaxStates
/// bounds memory and time.
search_result searchAll(const setting &Setting, std::size_t MaxStates);

/// Random walks of \p Steps transitions each. Only rules are checked.
search_result walk(const setting &Setting, std::uint32_t Seed,
                   std::size_t Walks, std::size_t Steps);

} // namespace redwinggw::promotion_model
