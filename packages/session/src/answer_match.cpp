#include "redwinggw/session/answer_match.hpp"

#include <algorithm>
#include <functional>

namespace redwinggw::session {
namespace {

template <typename Value> void combine(std::uint64_t &Digest, Value Part) {
  // FNV-1a over the hashes of the parts.
  constexpr std::uint64_t Prime = 0x100000001b3;
  Digest = (Digest ^ static_cast<std::uint64_t>(Part)) * Prime;
}

/// The same for an answer that comes again, and otherwise only for answers that
/// cannot be told apart.
std::uint64_t digestOf(const answer &Answer) {
  constexpr std::hash<std::string> Hash;
  std::uint64_t Digest = Hash(Answer.Signature);
  if (!Answer.Signature.empty())
    return Digest;
  combine(Digest, Answer.State);
  if (Answer.Point) {
    combine(Digest, Answer.Point->Term);
    combine(Digest, Answer.Point->Position);
  }
  if (Answer.Error) {
    combine(Digest, Answer.Error->Code);
    combine(Digest, Hash(Answer.Error->Reason));
  }
  return Digest;
}

bool wasGiven(const answer_history &History, const answer &Answer) {
  return std::ranges::find(History.Digests, digestOf(Answer)) !=
         History.Digests.end();
}

} // namespace

answer_match matchAnswer(const answer_history &History,
                         const expected_answer &Expected,
                         const answer &Answer) {
  const bool Given = wasGiven(History, Answer);
  if (Answer.Error)
    return Given || History.Doubtful ? answer_match::Ambiguous
                                     : answer_match::Matched;
  const bool IsSigned = !Answer.Signature.empty();
  const bool Fits = Answer.State == Expected.State &&
                    IsSigned == Expected.Signed &&
                    (IsSigned || Answer.Rows.empty());
  // A signature is given once.
  if (Fits && !(IsSigned && Given))
    return answer_match::Matched;
  // The answer to a statement that was given a repeated one instead.
  const bool Overdue = History.Doubtful && !IsSigned;
  return Given || Overdue ? answer_match::Duplicate : answer_match::Mismatched;
}

void rememberAnswer(answer_history &History, const answer &Answer,
                    answer_match Match) {
  if (Match != answer_match::Matched)
    History.Suspect = true;
  if (Match == answer_match::Matched && !Answer.Signature.empty())
    History.Doubtful = false;
  const std::uint64_t Digest = digestOf(Answer);
  const auto Given = std::ranges::find(History.Digests, Digest);
  if (Given != History.Digests.end()) {
    History.Doubtful = History.Doubtful || Match == answer_match::Matched;
    // It stays among the newest.
    *Given = 0;
  }
  if (History.Digests.size() < RememberedAnswers)
    History.Digests.push_back(Digest);
  else
    History.Digests[History.Next] = Digest;
  History.Next = (History.Next + 1) % RememberedAnswers;
}

} // namespace redwinggw::session
