#pragma once

#include "redwinggw/base/ids.hpp"

#include <cstdint>

namespace redwinggw::session {

/// The lease to use an endpoint as the primary of its service. It stores no
/// holder and no end: core_ports::StillHolds tells whether it is valid. It is
/// checked when a statement is sent and again when its answer has arrived: a
/// promotion is ordered only after every instance has given up its lease or let
/// it expire, so an answer that passes both checks is older than the promotion.
struct primary_lease {
  base::service_name Service;
  base::endpoint_name Endpoint;
  /// Grows with each ordered promotion of the service.
  std::uint64_t Epoch = 0;

  friend bool operator==(const primary_lease &,
                         const primary_lease &) = default;
};

} // namespace redwinggw::session
