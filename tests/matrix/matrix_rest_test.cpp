#include "failover_scenario.hpp"

#include <span>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::matrix;

Test(matrix_rest, every_cell_of_the_other_faults_keeps_its_promises) {
  const std::vector<failover_run> Cells = allCells(1);
  const std::span Rest = std::span(Cells).subspan(Cells.size() / 2);
  for (const failover_run &Run : Rest)
    cr_assert(runFailover(Run).Broken.empty());
}
