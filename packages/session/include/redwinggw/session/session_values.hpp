#pragma once

#include <algorithm>
#include <map>
#include <string>

/// State that callers set up on their sessions and that connections hold.
namespace redwinggw::session {

/// Values by name.
using session_values = std::map<std::string, std::string, std::less<>>;

/// Names under which statements are prepared, by their operand.
using prepared_names = std::map<std::string, std::string, std::less<>>;

/// A statement that a caller has prepared.
struct prepared_statement {
  /// Kind and shape, as the caller sent them.
  std::string Operand;
  bool Writes = false;
};

/// Whether \p Wanted can be reached from \p Present by setting values only;
/// removing a value takes a reset of the connection.
inline bool reachableBySetting(const session_values &Present,
                               const session_values &Wanted) {
  return std::ranges::all_of(
      Present, [&](const auto &Value) { return Wanted.contains(Value.first); });
}

} // namespace redwinggw::session
