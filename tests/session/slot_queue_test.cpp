#include "redwinggw/session/slot_queue.hpp"

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;
using base::instant;
using base::microseconds;
using base::milliseconds;

namespace {

const instant Start{std::chrono::seconds(100)};
const instant FarFuture = Start + std::chrono::hours(1);

bool add(slot_queue &Queue, slot_level Level, std::uint64_t Id,
         const std::string &Customer = "acme", instant Deadline = FarFuture) {
  return enqueue(Queue, Level, {Id, Customer, Deadline}, Start).Queued;
}

/// The number of the statement that starts next. Precondition: one does.
std::uint64_t next(slot_queue &Queue) {
  const auto Ticket = startNext(Queue);
  cr_assert(Ticket);
  return Ticket->Id;
}

/// How many statements of "flood" at \p Level finish before \p Id starts.
unsigned startsUntil(slot_queue &Queue, std::uint64_t Id, slot_level Level) {
  unsigned Starts = 0;
  std::uint64_t Started = 0;
  for (; Started != Id; ++Starts) {
    finish(Queue, Level, "flood", milliseconds(5));
    Started = next(Queue);
  }
  return Starts;
}

slot_queue busyQueue(unsigned MaxRunning) {
  slot_queue Queue;
  Queue.MaxRunning = MaxRunning;
  Queue.Running = MaxRunning;
  return Queue;
}

/// One statement of the generated load.
struct arrival {
  instant At;
  slot_level Level;
  milliseconds Work;
  milliseconds Target;
};

/// Statements of two kinds in the proportion and with the times of order
/// changes and confirmations, at \p Load times the capacity of \p Slots.
std::vector<arrival> generatedLoad(double Load, unsigned Slots) {
  std::mt19937 Random(4711);
  constexpr double MeanWorkMs = 0.2 * 6 + 0.8 * 18;
  std::exponential_distribution<double> Gap(Load * Slots / MeanWorkMs);
  std::bernoulli_distribution IsUrgent(0.2);
  std::vector<arrival> Arrivals;
  double AtMs = 0;
  constexpr double GeneratedMs = 20'000;
  while (AtMs < GeneratedMs) {
    AtMs += Gap(Random);
    const instant At = Start + microseconds(static_cast<int>(AtMs * 1000));
    if (IsUrgent(Random))
      Arrivals.push_back(
          {At, slot_level::Normal, milliseconds(6), milliseconds(150)});
    else
      Arrivals.push_back(
          {At, slot_level::Low, milliseconds(18), milliseconds(250)});
  }
  return Arrivals;
}

struct load_result {
  std::size_t InTime = 0;
  std::size_t Refused = 0;
  std::size_t QueuedAndRefused = 0;
};

struct running {
  instant Until;
  std::size_t Index;
  friend bool operator>(const running &Left, const running &Right) {
    return Left.Until > Right.Until;
  }
};

/// Simulates \p Arrivals on \p Slots; a statement waits for a slot for at most
/// \p QueueShare of its target.
load_result simulate(const std::vector<arrival> &Arrivals, unsigned Slots,
                     double QueueShare) {
  slot_queue Queue;
  Queue.MaxRunning = Slots;
  load_result Result;
  std::priority_queue<running, std::vector<running>, std::greater<>> Running;
  const auto Run = [&](std::size_t Index, instant Now) {
    Running.push({Now + Arrivals[Index].Work, Index});
  };
  const auto FinishUntil = [&](instant Now) {
    while (!Running.empty() && Running.top().Until <= Now) {
      const running Done = Running.top();
      Running.pop();
      const arrival &Arrival = Arrivals[Done.Index];
      Result.InTime += Done.Until - Arrival.At <= Arrival.Target ? 1 : 0;
      finish(Queue, Arrival.Level, "acme", Arrival.Work);
      while (const auto Ticket = startNext(Queue)) {
        if (Ticket->Deadline >= Done.Until) {
          Run(Ticket->Id, Done.Until);
          continue;
        }
        // Its deadline passed while it waited.
        ++Result.QueuedAndRefused;
        --Queue.Running;
      }
    }
  };
  for (std::size_t Index = 0; Index < Arrivals.size(); ++Index) {
    const arrival &Arrival = Arrivals[Index];
    FinishUntil(Arrival.At);
    if (tryStart(Queue)) {
      Run(Index, Arrival.At);
      continue;
    }
    const auto Patience =
        std::chrono::duration_cast<microseconds>(Arrival.Target * QueueShare);
    const bool Queued =
        enqueue(Queue, Arrival.Level, {Index, "acme", Arrival.At + Patience},
                Arrival.At)
            .Queued;
    Result.Refused += Queued ? 0 : 1;
  }
  FinishUntil(FarFuture);
  return Result;
}

} // namespace

Test(slot_queue, starts_what_fits_at_once) {
  slot_queue Queue;
  Queue.MaxRunning = 2;
  cr_assert(tryStart(Queue));
  cr_assert(tryStart(Queue));
  cr_assert(!tryStart(Queue));
  finish(Queue, slot_level::Normal, "acme", milliseconds(5));
  cr_assert(tryStart(Queue));
}

Test(slot_queue, starts_nothing_new_before_queued_statements) {
  slot_queue Queue = busyQueue(1);
  cr_assert(add(Queue, slot_level::Normal, 1));
  finish(Queue, slot_level::Normal, "acme", milliseconds(5));
  cr_assert(!tryStart(Queue));
  cr_assert(next(Queue) == 1);
}

// An open transaction holds a connection and locks; its next statement must not
// wait behind new work of others.
Test(slot_queue, serves_open_transactions_first) {
  slot_queue Queue = busyQueue(1);
  add(Queue, levelOf(1), 1);
  add(Queue, levelOf(0), 2);
  add(Queue, slot_level::InTransaction, 3);
  std::vector<std::uint64_t> Order;
  for (int Round = 0; Round < 3; ++Round) {
    finish(Queue, slot_level::Normal, "acme", milliseconds(5));
    Order.push_back(next(Queue));
  }
  cr_assert(Order == std::vector<std::uint64_t>({3, 2, 1}));
}

// One customer sends hundreds of urgent statements. Less urgent ones of others
// must still be served.
Test(slot_queue, starts_the_lowest_level_at_intervals) {
  slot_queue Queue = busyQueue(1);
  for (std::uint64_t Id = 0; Id < 100; ++Id)
    add(Queue, levelOf(0), Id, "flood");
  add(Queue, levelOf(3), 1000, "calm");
  const unsigned Starts = startsUntil(Queue, 1000, slot_level::Normal);
  cr_assert(Starts <= 10, "%u starts", Starts);
}

Test(slot_queue, shares_a_level_between_customers) {
  slot_queue Queue = busyQueue(1);
  for (std::uint64_t Id = 0; Id < 100; ++Id)
    add(Queue, slot_level::Low, Id, "flood");
  add(Queue, slot_level::Low, 1000, "calm");
  const unsigned Starts = startsUntil(Queue, 1000, slot_level::Low);
  cr_assert(Starts < 10, "%u starts", Starts);
}

Test(slot_queue, removes_cancelled_statements) {
  slot_queue Queue = busyQueue(1);
  add(Queue, slot_level::Low, 1);
  add(Queue, slot_level::Low, 2);
  cancel(Queue, slot_level::Low, {1, "acme", FarFuture});
  cr_assert(queuedIn(Queue) == 1);
  finish(Queue, slot_level::Low, "acme", milliseconds(2));
  cr_assert(next(Queue) == 2);
}

// A statement that would get a slot only after its deadline is refused at once,
// so that its caller can go elsewhere or retry while that still helps.
Test(slot_queue, refuses_at_once_what_would_come_too_late) {
  slot_queue Queue = busyQueue(1);
  for (std::uint64_t Id = 0; Id < 10; ++Id) {
    add(Queue, slot_level::Normal, Id);
    Queue.Levels[static_cast<std::size_t>(slot_level::Normal)]
        .Customers["acme"]
        .Cost = milliseconds(20);
  }
  cr_assert(
      !add(Queue, slot_level::Normal, 11, "acme", Start + milliseconds(100)));
  cr_assert(
      add(Queue, slot_level::Normal, 12, "acme", Start + milliseconds(400)));
  cr_assert(
      !add(Queue, slot_level::Low, 13, "bolt", Start + milliseconds(100)));
  cr_assert(add(Queue, slot_level::InTransaction, 14, "bolt",
                Start + milliseconds(100)));
}

// Both replicas of a service lag for a while, and the load on its primary
// exceeds its slots by a third. As many callers as the slots allow are served
// in time; the rest is refused, nearly always without having waited. With an
// unlimited wait the same load leaves hardly any caller served in time.
Test(slot_queue, serves_in_time_what_the_slots_can_do_under_overload) {
  constexpr unsigned Slots = 3;
  constexpr double Load = 1.33;
  const auto Arrivals = generatedLoad(Load, Slots);
  const load_result Bounded = simulate(Arrivals, Slots, 0.5);
  const auto All = static_cast<double>(Arrivals.size());
  const double Possible = 1 / Load;
  cr_assert(static_cast<double>(Bounded.InTime) / All > 0.95 * Possible,
            "%zu in time of %zu", Bounded.InTime, Arrivals.size());
  cr_assert(Bounded.QueuedAndRefused < Arrivals.size() / 20,
            "%zu refused after a wait", Bounded.QueuedAndRefused);
  constexpr double NoBound = 1e6;
  const load_result Unbounded = simulate(Arrivals, Slots, NoBound);
  cr_assert(2 * Unbounded.InTime < Bounded.InTime,
            "%zu in time without a bound", Unbounded.InTime);
}

Test(slot_queue, refuses_hardly_any_under_a_load_that_fits) {
  constexpr unsigned Slots = 3;
  const auto Arrivals = generatedLoad(0.7, Slots);
  const load_result Result = simulate(Arrivals, Slots, 0.5);
  cr_assert(Result.Refused + Result.QueuedAndRefused < Arrivals.size() / 500);
  cr_assert(Result.InTime > Arrivals.size() * 995 / 1000);
}
