#pragma once

#include "redwinggw/session/statement.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

/// Which statement an answer belongs to. Endpoints do not name the statement in
/// their answers; one that answers twice would shift all later answers of the
/// connection by one. Free functions over plain structs; not thread safe.
namespace redwinggw::session {

/// What a success of a statement looks like.
struct expected_answer {
  /// The statement is a caller's: its success carries the endpoint's signature.
  bool Signed = false;
  transaction_state State = transaction_state::Idle;
};

enum class answer_match {
  /// The answer to this statement.
  Matched,
  /// The answer to an earlier statement, again; this one's is still to come.
  Duplicate,
  /// A refusal that an earlier statement may have got: it proves nothing.
  Ambiguous,
  /// An answer to another statement: the connection cannot be used any more.
  Mismatched,
};

/// The answers that a connection has given.
struct answer_history {
  /// Digests of the newest answers; the oldest are overwritten.
  std::vector<std::uint64_t> Digests;
  std::size_t Next = 0;
  /// The last answer without a signature may have been an earlier one, so that
  /// the statement's own may be still to come.
  bool Doubtful = false;
  /// An answer was not certainly the statement's own. More may come late.
  bool Suspect = false;
};

/// How many answers are remembered: one that comes again after more than these
/// is not recognized.
constexpr std::size_t RememberedAnswers = 1024;

answer_match matchAnswer(const answer_history &History,
                         const expected_answer &Expected, const answer &Answer);

/// Records \p Answer, which matchAnswer has judged as \p Match.
void rememberAnswer(answer_history &History, const answer &Answer,
                    answer_match Match);

} // namespace redwinggw::session
