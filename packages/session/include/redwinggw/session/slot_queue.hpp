#pragma once

#include "redwinggw/data/fair_queue.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

/// The queue for an endpoint's slots: which statement runs next, and which is
/// refused at once because it could not be served in time. Decisions without
/// I/O.
///
/// It handles an endpoint whose load exceeds its slots, for example the only
/// one of a service whose replicas lag. Sent to the endpoint on arrival,
/// statements would wait inside it, all equally long, until nearly every one is
/// late. Here the owner sends only as many as run at once. The others wait by
/// priority level and by what their customers have used, and those that would
/// get a slot too late are refused without waiting.
namespace redwinggw::session {

/// Statements of open transactions go first: they hold a connection and locks,
/// and refusing one would waste all of its transaction's work. New work follows
/// by the priority of its route.
enum class slot_level : std::uint8_t { InTransaction, Urgent, Normal, Low };
constexpr std::size_t SlotLevels = 4;

/// The level of new work on a route of \p Priority; 0 is the highest.
slot_level levelOf(unsigned Priority);

/// Not thread safe.
struct slot_queue {
  /// Statements that may run at once; 0: no limit.
  unsigned MaxRunning = 0;
  unsigned Running = 0;
  std::array<data::fair_queue, SlotLevels> Levels;
  /// Smoothed time for which a statement holds its slot, over all customers.
  base::microseconds MeanBusy{0};
  /// Statements started since one of the lowest level that waits was.
  unsigned StartsSinceLowest = 0;
};

/// Statements that wait for a slot.
std::size_t queuedIn(const slot_queue &Queue);

/// Takes a slot if one is free and no statement waits for it.
bool tryStart(slot_queue &Queue);

/// Queues a statement, or refuses it at once if it would get a slot only after
/// its deadline.
data::enqueue_answer enqueue(slot_queue &Queue, slot_level Level,
                             data::queue_ticket Ticket, base::instant Now);

/// Expected time until one more statement of \p Customer gets a slot.
base::microseconds expectedWait(const slot_queue &Queue, slot_level Level,
                                std::string_view Customer);

/// Dequeues the next statement and takes a slot for it. Nothing if no slot is
/// free or no statement waits.
std::optional<data::queue_ticket> startNext(slot_queue &Queue);

/// Removes a statement that does not wait any longer.
void cancel(slot_queue &Queue, slot_level Level,
            const data::queue_ticket &Ticket);

/// Releases a slot that was held for \p Busy.
void finish(slot_queue &Queue, slot_level Level, std::string_view Customer,
            base::microseconds Busy);

} // namespace redwinggw::session
