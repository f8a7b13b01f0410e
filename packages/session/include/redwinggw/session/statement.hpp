#pragma once

#include "redwinggw/base/enum_table.hpp"
#include "redwinggw/session/log_point.hpp"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Decoded statements of callers and the answers to them.
namespace redwinggw::session {

enum class statement_kind {
  Begin,
  BeginRead,
  Commit,
  Rollback,
  Read,
  Write,
  Set,
  Prepare,
  Execute,
  Deallocate,
  Malformed,
};

/// A statement, checked for syntax only.
struct statement {
  /// The caller's id of the statement; goes to the endpoint unchanged.
  std::string Id;
  statement_kind Kind = statement_kind::Malformed;
  /// As the caller sent it. Reads, writes and commits are sent on unchanged.
  std::string Text;
  /// Name of a session value or of a prepared statement.
  std::string Name;
  /// Set: the value. Prepare: what to run. Execute: the arguments.
  std::string Operand;
  /// Prepare: whether the prepared statement writes.
  bool Writes = false;
};

/// Error codes for callers. Those up to TooMany guarantee that the attempt has
/// had no effect, so that the caller may retry it. InDoubt: the outcome is not
/// known. UnknownName: a name in the statement is not known; the statement has
/// had no effect either, but the caller gains nothing by retrying it.
enum class answer_code {
  Busy,
  Aborted,
  Lagging,
  ReadOnly,
  Misrouted,
  TooMany,
  InDoubt,
  Timeout,
  Failed,
  UnknownName,
  Malformed,
  Denied,
  NoDatabase,
  TooLarge,
};

/// Transaction state of a connection, as its peer is told.
enum class transaction_state { Idle, Open, Failed };

/// An error with a readable reason, which never contains keys or data.
struct answer_error {
  answer_code Code = answer_code::Failed;
  std::string Reason;
};

/// The answer to one statement.
struct answer {
  std::optional<answer_error> Error;
  std::vector<std::string> Rows;
  /// The endpoint's proof of execution; empty for what this instance answered
  /// itself.
  std::string Signature;
  transaction_state State = transaction_state::Idle;
  /// The endpoint's log position after the statement, if it reported one.
  std::optional<log_point> Point;
};

/// The name of \p Code in logs. Thread safe.
std::string_view answerCodeName(answer_code Code);

/// Whether \p Code guarantees that the attempt has had no effect and that the
/// caller may retry it.
constexpr bool isSafeToRetry(answer_code Code) {
  return Code <= answer_code::TooMany;
}

} // namespace redwinggw::session
