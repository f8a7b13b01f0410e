#include "redwinggw/control/traffic_limit.hpp"

#include <algorithm>
#include <utility>

namespace redwinggw::control {
namespace {

using base::instant;

/// Most of the link is for callers, endpoints and forwarded statements.
constexpr double PartOfLink = 0.25;
/// Room is kept for this long, so that the parts of one list go out at once.
constexpr double DepthSeconds = 0.5;
/// About two parts of a list for each of 500 instances.
constexpr std::size_t MaxWaiting = 1000;
/// No read waits for longer: the receiver would read the store itself.
constexpr base::milliseconds MaxWait{1000};

/// Whether \p Waiting is sent without regard to the limit. These reads fit
/// into one datagram and are sent instead of lists, which are much larger.
bool isUnlimited(const waiting_read &Waiting) {
  return Waiting.Read.Kind != wire::shared_read_kind::Endpoints;
}

void refill(traffic_limit &Limit, instant Now) {
  const double Depth = DepthSeconds * Limit.BytesPerSecond;
  if (!Limit.FilledAt)
    Limit.Room = Depth;
  const double Seconds =
      std::chrono::duration<double>(Now - Limit.FilledAt.value_or(Now)).count();
  Limit.Room = std::min(Depth, Limit.Room + Seconds * Limit.BytesPerSecond);
  Limit.FilledAt = Now;
}

/// Whether \p Old need not be sent before \p New. Changes are relative to each
/// other, so all of them are.
bool replaces(const waiting_read &New, const waiting_read &Old) {
  return New.Read.Kind != wire::shared_read_kind::EndpointChanges &&
         New.Read.Kind == Old.Read.Kind && New.To == Old.To &&
         New.Read.Part == Old.Read.Part && New.Read.Version >= Old.Read.Version;
}

} // namespace

double controlBytesPerSecond(double Mbps) {
  constexpr double BytesPerMegabit = 1e6 / 8;
  return PartOfLink * Mbps * BytesPerMegabit;
}

void chargeTraffic(traffic_limit &Limit, std::size_t Bytes, instant Now) {
  if (Limit.BytesPerSecond <= 0)
    return;
  refill(Limit, Now);
  // One burst beyond the limit delays lists for a second at most. MaxWait
  // bounds the delay where the limit is exceeded all the time.
  Limit.Room =
      std::max(Limit.Room - static_cast<double>(Bytes), -Limit.BytesPerSecond);
}

void enqueueRead(traffic_limit &Limit, waiting_read Read) {
  const auto Old =
      std::ranges::find_if(Limit.Waiting, [&](const waiting_read &Each) {
        return replaces(Read, Each);
      });
  if (Old != Limit.Waiting.end()) {
    // The receiver has waited since the older one was enqueued.
    Read.EnqueuedAt = std::min(Read.EnqueuedAt, Old->EnqueuedAt);
    Limit.Waiting.erase(Old);
  }
  if (Limit.Waiting.size() == MaxWaiting)
    Limit.Waiting.pop_front();
  Limit.Waiting.push_back(std::move(Read));
}

std::optional<waiting_read> nextRead(traffic_limit &Limit, instant Now) {
  auto Next = std::ranges::find_if(Limit.Waiting, isUnlimited);
  if (Next == Limit.Waiting.end())
    Next = Limit.Waiting.begin();
  if (Next == Limit.Waiting.end())
    return std::nullopt;
  if (Limit.BytesPerSecond > 0 && !isUnlimited(*Next)) {
    refill(Limit, Now);
    if (Limit.Room <= 0 && Now - Next->EnqueuedAt < MaxWait)
      return std::nullopt;
  }
  waiting_read Read = std::move(*Next);
  Limit.Waiting.erase(Next);
  return Read;
}

} // namespace redwinggw::control
