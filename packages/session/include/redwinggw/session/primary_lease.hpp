#pragma once

#include "redwinggw/base/ids.hpp"

#include <cstdint>

namespace redwinggw::session {

/// The right to use an endpoint as the primary of its service. It is judged
/// when a statement is sent and again when its answer is there: a promotion is
/// ordered only after every instance has given the right up or lost it by
/// time, so an answer that passes both checks is older than the promotion.
struct primary_lease {
  base::service_name Service;
  base::endpoint_name Endpoint;
  /// Grows with each promotion of the service that was ordered.
  std::uint64_t Epoch = 0;

  friend bool operator==(const primary_lease &,
                         const primary_lease &) = default;
};

} // namespace redwinggw::session
