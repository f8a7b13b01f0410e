#include "statement_faults.hpp"

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::fleet;

namespace {

void requireNoViolation(const standin::answer_faults &Faults) {
  native_fleet Fleet(2);
  const auto Lines = violationsUnder(Fleet, Faults, {});
  cr_assert(Lines.empty(), "%s", summaryOf(Lines).c_str());
}

} // namespace

// A database answers twice, the second time late: each later statement on the
// connection was given the answer of the one before.
Test(late_answer_path, gives_no_statement_the_answer_of_another) {
  standin::answer_faults Faults;
  Faults.Repeated = 0.1;
  requireNoViolation(Faults);
}

// A refusal that comes twice: a statement that ran was answered as not run.
Test(late_answer_path, takes_no_repeated_refusal_for_the_answer_of_another) {
  standin::answer_faults Faults;
  Faults.Repeated = 0.2;
  Faults.Refused = 0.2;
  requireNoViolation(Faults);
}

// Answers that end early, or never come, among answers that come twice.
Test(late_answer_path, believes_no_part_of_an_answer) {
  standin::answer_faults Faults;
  Faults.Cut = 0.05;
  Faults.Silent = 0.005;
  Faults.Repeated = 0.05;
  Faults.Refused = 0.05;
  requireNoViolation(Faults);
}

// The connection ends inside an answer, at any byte, or the answer never comes.
Test(late_answer_path, gives_no_cut_answer_to_a_caller) {
  standin::answer_faults Faults;
  Faults.Cut = 0.2;
  Faults.Silent = 0.005;
  requireNoViolation(Faults);
}
