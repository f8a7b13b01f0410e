#include "redwinggw/data/slot_window.hpp"

#include <algorithm>

namespace redwinggw::data {
namespace {

constexpr double ShrinkFactor = 0.85;
constexpr double MinSize = 1;
/// Queueing delay below this is scheduler noise.
constexpr base::microseconds QueueingTolerance{1000};
/// The base delay rises slowly, so that it adapts to a longer network path in
/// time.
constexpr int BaseDelayWeight = 64;

void updateBaseDelay(slot_window &Window, base::microseconds Delay) {
  if (Window.BaseDelay == base::microseconds(0) || Delay < Window.BaseDelay) {
    Window.BaseDelay = Delay;
    return;
  }
  Window.BaseDelay += (Delay - Window.BaseDelay) / BaseDelayWeight;
}

void shrink(slot_window &Window, base::microseconds RoundTrip,
            base::instant Now) {
  if (Now - Window.ShrunkAt < RoundTrip)
    return;
  Window.ShrunkAt = Now;
  Window.Size = std::max(MinSize, Window.Size * ShrinkFactor);
}

} // namespace

bool hasRoom(const slot_window &Window) {
  return Window.Running < static_cast<std::size_t>(Window.Size);
}

void startRequest(slot_window &Window) { ++Window.Running; }

void finishRequest(slot_window &Window, base::microseconds RoundTrip,
                   base::microseconds Busy, base::instant Now) {
  const bool WasFull = !hasRoom(Window);
  finishUnmeasured(Window);
  const base::microseconds Delay =
      std::max(base::microseconds(0), RoundTrip - Busy);
  const base::microseconds Queued = Delay - Window.BaseDelay;
  const bool Queueing = Queued > QueueingTolerance + Busy;
  updateBaseDelay(Window, Delay);
  if (Queueing)
    shrink(Window, RoundTrip, Now);
  else if (WasFull)
    Window.Size = std::min(Window.Limit, Window.Size + 1 / Window.Size);
}

void finishUnmeasured(slot_window &Window) {
  if (Window.Running > 0)
    --Window.Running;
}

} // namespace redwinggw::data
