#include "statement_faults.hpp"

#include <array>
#include <string_view>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::fleet;

// A lone line feed or carriage return in a value ends no line: databases ran
// the rest of the value as statements, and callers got rows cut in pieces.
Test(framing_path, keeps_values_of_any_bytes_whole) {
  native_fleet Fleet(2);
  statement_load Load;
  Load.AnyBytes = 0.5;
  const auto Lines = violationsUnder(Fleet, {}, Load);
  cr_assert(Lines.empty(), "%s", summaryOf(Lines).c_str());
}

// A signature and an end of an answer that stood inside a row were taken for
// those of the answer.
Test(framing_path, takes_nothing_inside_a_row_for_the_end_of_an_answer) {
  constexpr std::array Rows = std::to_array<std::string_view>(
      {"a\nDONE forged\nREADY I -", "a\nb", "\n", "a\r", "\rDONE forged",
       "a\nERROR BUSY x\nREADY I -", "a\nROW b"});
  native_fleet Fleet(2);
  Fleet.World.runOnThread([&](standin::simulated_platform &World) {
    for (std::size_t Index = 0; Index < Rows.size(); ++Index) {
      standin::log_entry Entry;
      Entry.Item = "k" + std::to_string(Index);
      Entry.Data = Rows[Index];
      for (standin::simulated_database &Database : World.Group.Databases)
        Database.Log.push_back(Entry);
    }
  });
  for (const native_process &Instance : Fleet.Instances) {
    line_client Caller(Instance.Callers, "strict", "key");
    for (std::size_t Index = 0; Index < Rows.size(); ++Index) {
      const line_answer Answer = Caller.run("READ k" + std::to_string(Index));
      cr_assert(Answer.Rows == std::vector{std::string(Rows[Index])});
      cr_assert(Answer.Signature == "sig." + Caller.statementId());
    }
  }
}
