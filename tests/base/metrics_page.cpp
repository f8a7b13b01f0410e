#include "redwinggw/base/metrics.hpp"

#include <iostream>

/// Prints docs/METRICS.md, generated from the table of metrics.
int main() {
  std::cout << redwinggw::base::metricsPage();
  return 0;
}
