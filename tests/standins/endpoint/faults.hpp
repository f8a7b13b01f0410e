#pragma once

#include "redwinggw/base/time.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The faults that a stand-in endpoint is under, without I/O.
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

/// A broken path. In: requests do not arrive. Out: answers do not leave.
struct cut_path {
  std::string Peer;
  bool In = false;
  bool Out = false;
};

struct endpoint_faults {
  bool Paused = false;
  std::vector<cut_path> Cuts;
  /// Connections up to this id are silent.
  std::uint64_t SilentUpTo = 0;
  base::microseconds Slow{0};
  std::uint64_t LostAnswers = 0;

  /// Not faults, but set the same way; "none" keeps them.
  base::microseconds ApplyLag{0};
  base::microseconds ShipLag{0};
  base::microseconds Work{0};
};

/// Who is at the other end.
struct peer {
  std::string_view Name;
  bool IsEndpoint = false;
};

bool arrives(const endpoint_faults &Faults, const peer &From);
bool leaves(const endpoint_faults &Faults, const peer &To);

/// Takes the command \p Body of /admin/fault; \p LastConnection is the highest
/// id of a connection so far. Throws std::invalid_argument for another kind.
void setFault(endpoint_faults &Faults, const boost::json::object &Body,
              std::uint64_t LastConnection);

} // namespace redwinggw::standin
