#pragma once

#include "redwinggw/base/time.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The faults injected into a stand-in endpoint, without I/O.
namespace redwinggw::standin {

enum class endpoint_fault_kind {
  Pause,
  Cut,
  CutIn,
  CutOut,
  Silent,
  Slow,
  LoseAnswer,
  Lag,
  ShipLag,
  Work,
  None,
};

/// A broken network path. In: requests do not arrive. Out: responses do not
/// leave.
struct cut_path {
  std::string Peer;
  bool In = false;
  bool Out = false;
};

struct endpoint_faults {
  bool Paused = false;
  std::vector<cut_path> Cuts;
  /// Connections with ids up to this one receive no responses.
  std::uint64_t SilentUpTo = 0;
  base::microseconds Slow{0};
  std::uint64_t LostAnswers = 0;

  /// Not faults, but set by the same command; "none" does not reset them.
  base::microseconds ApplyLag{0};
  base::microseconds ShipLag{0};
  base::microseconds Work{0};
};

/// The process at the other end of a connection.
struct peer {
  std::string_view Name;
  bool IsEndpoint = false;
};

bool arrives(const endpoint_faults &Faults, const peer &From);
bool leaves(const endpoint_faults &Faults, const peer &To);

/// Applies the command \p Body of /admin/fault; \p LastConnection is the
/// highest connection id so far. Throws std::invalid_argument for an unknown
/// kind.
void setFault(endpoint_faults &Faults, const boost::json::object &Body,
              std::uint64_t LastConnection);

} // namespace redwinggw::standin
