#pragma once

#include <cstdint>
#include <optional>
#include <string>

/// What a caller knows of one session, and what an answer may say given that.
/// Each session owns one counter row that each of its writes adds one to.
namespace redwinggw::load {

struct session {
  std::string Id;
  std::size_t Customer = 0;
  std::size_t Service = 0;
  std::string Token;
  /// Writes answered "done".
  std::uint64_t Acknowledged = 0;
  /// Writes whose outcome stayed unknown: they may stand or not.
  std::uint64_t Unresolved = 0;
  /// Requests sent, to go over the instances in turn.
  std::size_t Sent = 0;
};

/// A counter row as an answer gave it; no row counts as zero.
struct counter_row {
  std::string Session;
  std::string Customer;
  std::uint64_t Count = 0;
};

enum class violation { StaleRead, LostWrite, DoubledWrite, WrongCustomer };

std::string_view violationName(violation Violation);

/// What is wrong with \p Row as the answer to \p Session of \p Customer.
/// \p Final: read after the end of the load, where a missing write is lost.
/// Precondition: no request of the session is running.
std::optional<violation> checkRow(const session &Session,
                                  const std::string &Customer,
                                  const std::optional<counter_row> &Row,
                                  bool Final);

} // namespace redwinggw::load
