#pragma once

#include <cstdint>
#include <optional>
#include <string>

/// A caller's session and the consistency check of its answers. Each session
/// owns one counter row, which each of its writes increments.
namespace redwinggw::load {

struct session {
  std::string Id;
  std::size_t Customer = 0;
  std::size_t Service = 0;
  std::string Token;
  /// Writes with the outcome "done".
  std::uint64_t Acknowledged = 0;
  /// Writes whose outcome stayed unknown: they may have taken effect or not.
  std::uint64_t Unresolved = 0;
  /// Requests sent; selects the next instance round robin.
  std::size_t Sent = 0;
};

/// A counter row of an answer; a missing row counts as zero.
struct counter_row {
  std::string Session;
  std::string Customer;
  std::uint64_t Count = 0;
};

enum class violation { StaleRead, LostWrite, DoubledWrite, WrongCustomer };

std::string_view violationName(violation Violation);

/// The violation that \p Row shows as the answer to \p Session of \p Customer,
/// if any. \p Final marks a read after the end of the load, where a missing
/// write is lost instead of stale.
/// Precondition: no request of the session is running.
std::optional<violation> checkRow(const session &Session,
                                  const std::string &Customer,
                                  const std::optional<counter_row> &Row,
                                  bool Final);

} // namespace redwinggw::load
