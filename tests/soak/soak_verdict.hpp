#pragma once

#include "soak_callers.hpp"
#include "soak_faults.hpp"
#include "soak_orders.hpp"

#include <string>
#include <vector>

namespace redwinggw::soak {

/// One line for each violation of the rules on promotions, and the first lines
/// of fleet::judgeStatements():
/// - writes committed at a former primary and acknowledged to their callers,
/// - a token that two instances order with, or one that is lower than one that
///   the platform has seen,
/// - two instances that order in turn within the lease's duration, both without
///   a fault,
/// - with synchronous replicas, acknowledged writes that the primary lacks.
/// Precondition: \p Callers are stopped.
std::vector<std::string> judge(fleet::native_fleet &Fleet,
                               const std::vector<sent_order> &Sent,
                               const callers &Callers,
                               const std::vector<fault> &Faults);

} // namespace redwinggw::soak
