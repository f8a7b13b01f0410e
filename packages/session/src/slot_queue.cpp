#include "redwinggw/session/slot_queue.hpp"

#include <algorithm>
#include <numeric>

namespace redwinggw::session {
namespace {

/// One start out of this many goes to the lowest level that waits, so that a
/// flood of urgent work cannot starve the rest.
constexpr unsigned LowestLevelInterval = 8;

data::fair_queue &queueAt(slot_queue &Queue, slot_level Level) {
  return Queue.Levels.at(static_cast<std::size_t>(Level));
}

bool isWaiting(const data::fair_queue &Queue) { return Queue.Size != 0; }

/// Weight of the newest statement in the smoothed time is 1/BusyWeight.
constexpr int BusyWeight = 8;

/// Time until one of the running statements has ended.
base::microseconds waitForRunning(const slot_queue &Queue) {
  return Queue.MeanBusy / std::max(1U, Queue.MaxRunning);
}

/// Time until the levels before \p Level have been served.
base::microseconds waitForEarlier(const slot_queue &Queue, slot_level Level) {
  const auto End = Queue.Levels.begin() + static_cast<std::ptrdiff_t>(Level);
  return std::accumulate(
      Queue.Levels.begin(), End, base::microseconds(0),
      [&](base::microseconds Sum, const data::fair_queue &Earlier) {
        return Sum + data::queuedWork(Earlier) / std::max(1U, Queue.MaxRunning);
      });
}

/// The level to serve next. Precondition: a statement waits.
data::fair_queue &nextLevel(slot_queue &Queue) {
  const auto Highest = std::ranges::find_if(Queue.Levels, isWaiting);
  const auto Lowest = std::ranges::find_if(Queue.Levels.rbegin(),
                                           Queue.Levels.rend(), isWaiting);
  const bool Alone = &*Highest == &*Lowest;
  Queue.StartsSinceLowest = Alone ? 0 : Queue.StartsSinceLowest + 1;
  if (Queue.StartsSinceLowest < LowestLevelInterval)
    return *Highest;
  Queue.StartsSinceLowest = 0;
  return *Lowest;
}

} // namespace

slot_level levelOf(unsigned Priority) {
  constexpr auto First = static_cast<unsigned>(slot_level::Urgent);
  constexpr auto Last = static_cast<unsigned>(slot_level::Low);
  return static_cast<slot_level>(std::min(First + Priority, Last));
}

std::size_t queuedIn(const slot_queue &Queue) {
  return std::accumulate(Queue.Levels.begin(), Queue.Levels.end(),
                         std::size_t{0},
                         [](std::size_t Sum, const data::fair_queue &Level) {
                           return Sum + Level.Size;
                         });
}

bool tryStart(slot_queue &Queue) {
  const bool Free = Queue.MaxRunning == 0 || Queue.Running < Queue.MaxRunning;
  if (!Free || queuedIn(Queue) != 0)
    return false;
  ++Queue.Running;
  return true;
}

data::enqueue_answer enqueue(slot_queue &Queue, slot_level Level,
                             data::queue_ticket Ticket, base::instant Now) {
  const base::microseconds Earlier =
      waitForRunning(Queue) + waitForEarlier(Queue, Level);
  return enqueue(queueAt(Queue, Level), std::move(Ticket), Queue.MaxRunning,
                 Now + Earlier);
}

base::microseconds expectedWait(const slot_queue &Queue, slot_level Level,
                                std::string_view Customer) {
  const auto &Own = Queue.Levels.at(static_cast<std::size_t>(Level));
  return waitForRunning(Queue) + waitForEarlier(Queue, Level) +
         data::expectedWait(Own, Customer, std::max(1U, Queue.MaxRunning));
}

std::optional<data::queue_ticket> startNext(slot_queue &Queue) {
  const bool Free = Queue.MaxRunning == 0 || Queue.Running < Queue.MaxRunning;
  if (!Free || queuedIn(Queue) == 0)
    return std::nullopt;
  ++Queue.Running;
  return dequeue(nextLevel(Queue));
}

void cancel(slot_queue &Queue, slot_level Level,
            const data::queue_ticket &Ticket) {
  cancel(queueAt(Queue, Level), Ticket);
}

void finish(slot_queue &Queue, slot_level Level, std::string_view Customer,
            base::microseconds Busy) {
  --Queue.Running;
  Queue.MeanBusy += (Busy - Queue.MeanBusy) / BusyWeight;
  charge(queueAt(Queue, Level), Customer, Busy);
}

} // namespace redwinggw::session
