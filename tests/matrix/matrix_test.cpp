#include "failover_scenario.hpp"

#include <span>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::matrix;

Test(matrix, every_cell_of_the_first_faults_keeps_its_promises) {
  const std::vector<failover_run> Cells = allCells(1);
  const std::span Half = std::span(Cells).first(Cells.size() / 2);
  for (const failover_run &Run : Half)
    cr_assert(runFailover(Run).Broken.empty());
}

Test(matrix, a_seed_replays_exactly) {
  const failover_run Run{fault::TwoAtOnce, step::Sealing, 3, {}, {}};
  const cell_run First = runFailover(Run);
  cr_assert(First.Digest != 0);
  cr_assert(First.Digest == runFailover(Run).Digest);
}
