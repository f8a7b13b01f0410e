#include "platform/line_codec.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::platform;
using session::answer_code;
using session::statement_kind;
using session::transaction_state;

namespace {

session::statement read(std::string_view Line) {
  return readStatement(readMessage(Line).Fields);
}

} // namespace

Test(line_codec, reads_every_kind_of_statement) {
  cr_assert(read("QUERY 1 BEGIN").Kind == statement_kind::Begin);
  cr_assert(read("QUERY 1 BEGIN READ").Kind == statement_kind::BeginRead);
  cr_assert(read("QUERY 1 COMMIT").Kind == statement_kind::Commit);
  cr_assert(read("QUERY 1 ROLLBACK").Kind == statement_kind::Rollback);
  cr_assert(read("QUERY 1 READ 1a4").Kind == statement_kind::Read);
  cr_assert(read("QUERY 1 WRITE 1a4 some data").Kind == statement_kind::Write);
  const auto Set = read("QUERY 1 SET zone a b");
  cr_assert(Set.Kind == statement_kind::Set);
  cr_assert(Set.Name == "zone" && Set.Operand == "a b");
  const auto Prepare = read("QUERY 1 PREPARE s1 WRITE q2c");
  cr_assert(Prepare.Kind == statement_kind::Prepare);
  cr_assert(Prepare.Name == "s1" && Prepare.Operand == "WRITE q2c");
  cr_assert(Prepare.Writes);
  const auto Execute = read("QUERY 1 EXECUTE s1 1a4 xkq");
  cr_assert(Execute.Kind == statement_kind::Execute);
  cr_assert(Execute.Name == "s1" && Execute.Operand == "1a4 xkq");
  cr_assert(read("QUERY 1 DEALLOCATE s1").Kind == statement_kind::Deallocate);
}

// A malformed statement must not reach an endpoint.
Test(line_codec, recognises_malformed_statements) {
  for (const char *Line :
       {"QUERY", "QUERY 1", "QUERY 1 ", "QUERY 1 READ", "QUERY 1 WRITE x",
        "QUERY 1 SET a", "QUERY 1 PREPARE s1 DROP x", "QUERY 1 PREPARE s1",
        "QUERY 1 COMMIT now", "QUERY 1 AFTER 3.1 READ x", "QUERY 1 begin",
        "QUERY 1 STATUS", "QUERY 1 RESET", "QUERY - READ x", "QUERY  READ x"})
    cr_assert(read(Line).Kind == statement_kind::Malformed, "%s", Line);
  cr_assert(readMessage("HELLO there").Kind == message_kind::Malformed);
  cr_assert(readMessage("").Kind == message_kind::Malformed);
}

// The text is sent on to the endpoint unchanged, including blanks.
Test(line_codec, keeps_the_text_unchanged) {
  const auto Statement = read("QUERY 5c0e WRITE 1a4  two  blanks ");
  cr_assert(Statement.Id == "5c0e");
  cr_assert(Statement.Text == "WRITE 1a4  two  blanks ");
}

Test(line_codec, reads_positions) {
  cr_assert(readPoint("3.1207") == session::log_point({3, 1207}));
  cr_assert(pointText({3, 1207}) == "3.1207");
  for (const char *Text : {"-", "", "3", "3.", ".7", "3.x", "3.7 "})
    cr_assert(!readPoint(Text), "%s", Text);
}

Test(line_codec, reads_the_answers_of_databases) {
  const auto Ready = readReady("T 3.9");
  cr_assert(Ready && Ready->State == transaction_state::Open);
  cr_assert(Ready && Ready->Point == session::log_point({3, 9}));
  cr_assert(!readReady("X 3.9"));
  const auto Error = readError("READONLY i-7f3a91c2");
  cr_assert(Error.Code == answer_code::ReadOnly);
  cr_assert(Error.Reason == "i-7f3a91c2");
  // An unknown code does not guarantee that the attempt had no effect.
  cr_assert(!isSafeToRetry(readError("SURPRISE x").Code));
}

Test(line_codec, writes_answers) {
  session::answer Answer;
  Answer.Rows = {"a", "b c"};
  Answer.Signature = "7.1f3";
  std::string Out;
  appendAnswer(Out, Answer);
  cr_assert(Out == "ROW a\r\nROW b c\r\nDONE 7.1f3\r\nREADY I -\r\n");
  Answer.Error = session::answer_error{answer_code::Busy, "retry after 5 ms"};
  Answer.State = transaction_state::Failed;
  Out.clear();
  appendAnswer(Out, Answer);
  cr_assert(Out == "ERROR BUSY retry after 5 ms\r\nREADY E -\r\n");
}
