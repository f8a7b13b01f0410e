#include "faults.hpp"

#include "common/standin.hpp"

#include "redwinggw/base/enum_table.hpp"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace redwinggw::standin {
namespace {

constexpr std::array FaultNames =
    std::to_array<base::enum_name<endpoint_fault_kind>>({
        {endpoint_fault_kind::Pause, "pause"},
        {endpoint_fault_kind::Cut, "cut"},
        {endpoint_fault_kind::CutIn, "cut_in"},
        {endpoint_fault_kind::CutOut, "cut_out"},
        {endpoint_fault_kind::Silent, "silent"},
        {endpoint_fault_kind::Slow, "slow"},
        {endpoint_fault_kind::LoseAnswer, "lose_answer"},
        {endpoint_fault_kind::Lag, "lag"},
        {endpoint_fault_kind::ShipLag, "ship_lag"},
        {endpoint_fault_kind::Work, "work"},
        {endpoint_fault_kind::None, "none"},
    });

bool matches(const cut_path &Path, const peer &Peer) {
  if (Path.Peer == "all" || Path.Peer == Peer.Name)
    return true;
  return Path.Peer == (Peer.IsEndpoint ? "endpoints" : "instances");
}

void resetFaults(endpoint_faults &Faults) {
  Faults.Paused = false;
  Faults.Cuts.clear();
  Faults.SilentUpTo = 0;
  Faults.Slow = base::microseconds(0);
  Faults.LostAnswers = 0;
}

} // namespace

bool arrives(const endpoint_faults &Faults, const peer &From) {
  return std::ranges::none_of(Faults.Cuts, [&](const cut_path &Path) {
    return Path.In && matches(Path, From);
  });
}

bool leaves(const endpoint_faults &Faults, const peer &To) {
  return std::ranges::none_of(Faults.Cuts, [&](const cut_path &Path) {
    return Path.Out && matches(Path, To);
  });
}

void setFault(endpoint_faults &Faults, const boost::json::object &Body,
              std::uint64_t LastConnection) {
  const auto Kind = base::valueOf(FaultNames, textOf(Body, "kind"));
  if (!Kind)
    throw std::invalid_argument("kind is not one of docs/ENDPOINTS.md");
  const base::microseconds Time = timeOf(Body, "ms");
  const std::string Peer = textOf(Body, "peer");
  switch (*Kind) {
  case endpoint_fault_kind::Pause:
    Faults.Paused = true;
    return;
  case endpoint_fault_kind::Cut:
    Faults.Cuts.push_back({Peer, true, true});
    return;
  case endpoint_fault_kind::CutIn:
    Faults.Cuts.push_back({Peer, true, false});
    return;
  case endpoint_fault_kind::CutOut:
    Faults.Cuts.push_back({Peer, false, true});
    return;
  case endpoint_fault_kind::Silent:
    Faults.SilentUpTo = LastConnection;
    return;
  case endpoint_fault_kind::Slow:
    Faults.Slow = Time;
    return;
  case endpoint_fault_kind::LoseAnswer:
    Faults.LostAnswers = std::max<std::uint64_t>(numberOf(Body, "count"), 1);
    return;
  case endpoint_fault_kind::Lag:
    Faults.ApplyLag = Time;
    return;
  case endpoint_fault_kind::ShipLag:
    Faults.ShipLag = Time;
    return;
  case endpoint_fault_kind::Work:
    Faults.Work = Time;
    return;
  case endpoint_fault_kind::None:
    resetFaults(Faults);
    return;
  }
}

} // namespace redwinggw::standin
