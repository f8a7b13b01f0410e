#include "registry.hpp"

namespace redwinggw::matrix {

std::vector<scenario> scenarios() { return {failoverScenario()}; }

} // namespace redwinggw::matrix
