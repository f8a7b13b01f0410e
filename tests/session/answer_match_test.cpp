#include "redwinggw/session/answer_match.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;

namespace {

constexpr expected_answer Data{true, transaction_state::Idle};
constexpr expected_answer DataInTransaction{true, transaction_state::Open};
constexpr expected_answer Setting{false, transaction_state::Idle};
constexpr expected_answer Begin{false, transaction_state::Open};

answer signedBy(std::string Signature,
                transaction_state State = transaction_state::Idle) {
  answer Answer;
  Answer.Signature = std::move(Signature);
  Answer.State = State;
  Answer.Point = log_point{1, 7};
  return Answer;
}

answer done(transaction_state State = transaction_state::Idle) {
  return signedBy({}, State);
}

answer refusedAs(answer_code Code) {
  answer Answer = done();
  Answer.Error = answer_error{Code, "d1"};
  return Answer;
}

/// Takes \p Answer as that to a statement.
answer_match take(answer_history &History, const expected_answer &Expected,
                  const answer &Answer) {
  const answer_match Match = matchAnswer(History, Expected, Answer);
  rememberAnswer(History, Answer, Match);
  return Match;
}

} // namespace

Test(answer_match, takes_each_answer_once) {
  answer_history History;
  cr_assert(take(History, Setting, done()) == answer_match::Matched);
  cr_assert(take(History, Data, signedBy("a")) == answer_match::Matched);
  cr_assert(take(History, Data, signedBy("a")) == answer_match::Duplicate);
  cr_assert(History.Suspect);
  cr_assert(take(History, Data, signedBy("b")) == answer_match::Matched);
  cr_assert(take(History, Setting, signedBy("a")) == answer_match::Duplicate);
}

// An answer without a signature was passed on as a caller's success.
Test(answer_match, takes_no_success_without_a_signature) {
  answer_history History;
  cr_assert(take(History, Data, done()) == answer_match::Mismatched);
  take(History, Setting, done());
  cr_assert(take(History, Data, done()) == answer_match::Duplicate);
}

Test(answer_match, takes_no_state_that_the_statement_cannot_lead_to) {
  const answer_history Unused;
  cr_assert(matchAnswer(Unused, Begin, done()) == answer_match::Mismatched);
  const answer Outside = signedBy("a");
  cr_assert(matchAnswer(Unused, DataInTransaction, Outside) ==
            answer_match::Mismatched);
  const answer Inside = signedBy("b", transaction_state::Open);
  cr_assert(matchAnswer(Unused, Data, Inside) == answer_match::Mismatched);
  answer Rows = done();
  Rows.Rows.emplace_back("primary 3 3.1209 0 0 0 1");
  cr_assert(matchAnswer(Unused, Setting, Rows) == answer_match::Mismatched);
}

// A refusal that comes again was taken for the answer to a write that ran.
Test(answer_match, believes_no_refusal_that_came_before) {
  answer_history History;
  const answer Busy = refusedAs(answer_code::Busy);
  cr_assert(take(History, Data, Busy) == answer_match::Matched);
  cr_assert(take(History, Data, Busy) == answer_match::Ambiguous);
  answer Later = Busy;
  Later.Point = log_point{1, 8};
  cr_assert(take(History, Data, Later) == answer_match::Matched);
}

// The answer to a first setting takes the place of the second one's, whose own
// refusal then follows.
Test(answer_match, believes_no_refusal_after_a_doubtful_answer) {
  answer_history History;
  take(History, Setting, done());
  cr_assert(take(History, Setting, done()) == answer_match::Matched);
  cr_assert(History.Doubtful);
  const answer Busy = refusedAs(answer_code::Busy);
  cr_assert(take(History, Data, Busy) == answer_match::Ambiguous);
  // It may come again, too.
  take(History, Data, signedBy("a"));
  cr_assert(take(History, Data, Busy) == answer_match::Ambiguous);
}

Test(answer_match, skips_the_answer_that_a_doubtful_one_displaced) {
  answer_history History;
  take(History, Setting, done());
  take(History, Setting, done());
  answer Displaced = done();
  Displaced.Point = log_point{1, 8};
  cr_assert(take(History, Data, Displaced) == answer_match::Duplicate);
  cr_assert(take(History, Data, signedBy("a")) == answer_match::Matched);
  cr_assert(!History.Doubtful);
}

// An answer that had been given again was forgotten as if it were old.
Test(answer_match, remembers_from_the_last_time_that_it_was_given) {
  answer_history History;
  take(History, Setting, done());
  for (std::size_t Number = 1; Number < RememberedAnswers; ++Number)
    take(History, Data, signedBy("p" + std::to_string(Number)));
  take(History, Setting, done());
  take(History, Data, signedBy("next"));
  take(History, Setting, done());
  cr_assert(History.Doubtful);
}

Test(answer_match, remembers_as_many_answers_as_it_says) {
  answer_history History;
  for (std::size_t Number = 0; Number < RememberedAnswers; ++Number)
    take(History, Data, signedBy("p" + std::to_string(Number)));
  cr_assert(matchAnswer(History, Data, signedBy("p0")) ==
            answer_match::Duplicate);
  take(History, Data, signedBy("next"));
  cr_assert(take(History, Data, signedBy("p0")) == answer_match::Matched);
  cr_assert(History.Digests.size() == RememberedAnswers);
}
