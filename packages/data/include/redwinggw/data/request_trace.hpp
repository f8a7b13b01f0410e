#pragma once

#include "redwinggw/data/statement_core.hpp"

#include <string>

/// Records each request in the timeline and the metrics.
namespace redwinggw::data {

struct request_trace {
  /// Empty until the key was found.
  base::customer_name Customer;
  access_kind Access = access_kind::Read;
  std::string RequestId;
  base::instant ReceivedAt;
};

void noteReceived(statement_core &Core, const request_trace &Trace);

/// Counts the answer and its latency.
void noteAnswered(statement_core &Core, const request_trace &Trace,
                  const base::result<caller_answer> &Answer);

} // namespace redwinggw::data
