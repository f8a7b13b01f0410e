#pragma once

#include "redwinggw/data/fair_queue.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

/// Who runs next on an endpoint's slots, and who is told at once that it cannot
/// be served in time. Decisions without I/O.
///
/// The load it answers: an endpoint is asked for more than its slots can do,
/// for example the only one of a service whose replicas trail. Sent on as they
/// come, statements would wait inside the endpoint, all equally long, until
/// nearly every one is late. Here the owner sends only as many as run at once.
/// The others wait in order of importance and of what their customers used, and
/// those whose turn would come too late are refused without waiting.
namespace redwinggw::session {

/// Statements of open transactions go first: they hold a connection and locks,
/// and refused they would make all of their transaction's work useless. New
/// work follows by the priority of its route.
enum class slot_level : std::uint8_t { InTransaction, Urgent, Normal, Low };
constexpr std::size_t SlotLevels = 4;

/// The level of new work on a route of \p Priority; 0 is the highest.
slot_level levelOf(unsigned Priority);

/// Not thread safe.
struct slot_queue {
  /// Statements that run at once; 0: not bounded here.
  unsigned MaxRunning = 0;
  unsigned Running = 0;
  std::array<data::fair_queue, SlotLevels> Levels;
  /// Smoothed time of a statement, whoever asked for it.
  base::microseconds MeanBusy{0};
  /// Turns since the lowest level that waits had one.
  unsigned StartsSinceLowest = 0;
};

/// Statements that wait.
std::size_t queuedIn(const slot_queue &Queue);

/// Takes a slot if one is free and nobody waits for it.
bool tryStart(slot_queue &Queue);

/// Adds a statement that waits, or refuses it at once when its turn would come
/// after its deadline.
data::enqueue_answer enqueue(slot_queue &Queue, slot_level Level,
                             data::queue_ticket Ticket, base::instant Now);

/// Takes out the statement whose turn it is, and a slot for it. Nothing when
/// no slot is free or nobody waits.
std::optional<data::queue_ticket> startNext(slot_queue &Queue);

/// Takes out a statement that does not wait any longer.
void cancel(slot_queue &Queue, slot_level Level,
            const data::queue_ticket &Ticket);

/// Gives back a slot that was held for \p Busy.
void finish(slot_queue &Queue, slot_level Level, std::string_view Customer,
            base::microseconds Busy);

} // namespace redwinggw::session
