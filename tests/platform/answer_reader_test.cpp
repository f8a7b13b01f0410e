#include "platform/answer_reader.hpp"

#include <initializer_list>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::platform;
using session::answer_fault;

namespace {

/// The reader after \p Lines; the last one has to end the answer.
answer_reader readAll(std::initializer_list<std::string_view> Lines,
                      bool Opening = false) {
  answer_reader Reader;
  Reader.Opening = Opening;
  bool Goes = true;
  for (const std::string_view Line : Lines) {
    cr_assert(Goes);
    Goes = takeLine(Reader, Line);
  }
  cr_assert(!Goes);
  return Reader;
}

answer_fault faultOf(std::initializer_list<std::string_view> Lines,
                     bool Opening = false) {
  return readAll(Lines, Opening).Fault;
}

} // namespace

Test(answer_reader, reads_whole_answers) {
  const auto Read = readAll({"ROW a b", "ROW ", "DONE 7.1f", "READY I 3.12"});
  cr_assert(Read.Fault == answer_fault::None);
  const std::vector<std::string> Rows{"a b", ""};
  cr_assert(Read.Answer.Rows == Rows);
  cr_assert(Read.Answer.Signature == "7.1f");
  const auto Internal = readAll({"DONE -", "READY T 3.12"});
  cr_assert(Internal.Answer.Signature.empty());
  cr_assert(Internal.Answer.State == session::transaction_state::Open);
  const auto Refused = readAll({"ROW a", "ERROR BUSY d1", "READY I -"});
  cr_assert(Refused.Fault == answer_fault::None && Refused.Answer.Error);
  cr_assert(faultOf({"READY I 3.1"}, true) == answer_fault::None);
  cr_assert(readAll({"ERROR TOOMANY d1"}, true).Answer.Error);
}

// Parts of two answers were taken for one.
Test(answer_reader, refuses_parts_out_of_order) {
  cr_assert(faultOf({"ROW a", "READY I 3.1"}) == answer_fault::OutOfOrder);
  cr_assert(faultOf({"DONE a", "DONE b"}) == answer_fault::OutOfOrder);
  cr_assert(faultOf({"DONE a", "ROW b"}) == answer_fault::OutOfOrder);
  cr_assert(faultOf({"DONE a", "ERROR BUSY x"}) == answer_fault::OutOfOrder);
  cr_assert(faultOf({"ERROR BUSY x", "DONE a"}) == answer_fault::OutOfOrder);
  cr_assert(faultOf({"ROW a"}, true) == answer_fault::OutOfOrder);
  cr_assert(faultOf({"DONE -"}, true) == answer_fault::OutOfOrder);
}

// The line of a cut answer went on with the line of a late one, and both made a
// proof that had never been given.
Test(answer_reader, refuses_a_line_of_two_answers) {
  cr_assert(faultOf({"DONE siDONE -"}) == answer_fault::Malformed);
  cr_assert(faultOf({"DONE DONE 7.1f"}) == answer_fault::Malformed);
  cr_assert(faultOf({"DONE siROW a"}) == answer_fault::Malformed);
  cr_assert(faultOf({"DONE 7.1f\rDONE"}) == answer_fault::Malformed);
  cr_assert(faultOf({"ROW aDONE -", "READY I 3.1"}) ==
            answer_fault::OutOfOrder);
  cr_assert(faultOf({"DONE a", "READY I 3.DONE -"}) == answer_fault::Malformed);
}

Test(answer_reader, refuses_what_is_no_part_of_an_answer) {
  cr_assert(faultOf({"ROWS a"}) == answer_fault::Malformed);
  cr_assert(faultOf({"QUERY 1 READ a"}) == answer_fault::Malformed);
  cr_assert(faultOf({""}) == answer_fault::Malformed);
  cr_assert(faultOf({"DONE"}) == answer_fault::Malformed);
  cr_assert(faultOf({"DONE a", "READY X 3.1"}) == answer_fault::Malformed);
  cr_assert(faultOf({"DONE a", "READY I 3"}) == answer_fault::Malformed);
  cr_assert(faultOf({"DONE a", "READY I"}) == answer_fault::Malformed);
}

// A status whose position cannot be read counted as one of an empty log, and
// let a replica that lacks commits be promoted.
Test(answer_reader, reads_no_status_from_a_damaged_row) {
  const auto Status = readStatus("primary 3 3.1209 0 12 2 17");
  cr_assert(Status && Status->Received == session::log_point({3, 1209}));
  cr_assert(Status && Status->Connections == 17);
  cr_assert(readStatus("replica 3 - 4 0 2 17").has_value());
  for (const char *Row : {"primary 3 3.x 0 12 2 17", "primary 3 3 0 12 2 17",
                          "primary 3  0 12 2 17", "boss 3 3.1 0 12 2 17",
                          "primary x 3.1 0 12 2 17", "primary 3 3.1", ""})
    cr_assert(!readStatus(Row), "%s", Row);
}

// The answer to Start came again, and was taken for a statement's.
Test(answer_reader, skips_the_state_that_comes_again_before_an_answer) {
  const auto Read = readAll({"READY I 3.1", "DONE a", "READY I 3.2"});
  cr_assert(Read.Fault == answer_fault::None);
  cr_assert(Read.Answer.Signature == "a");
}
