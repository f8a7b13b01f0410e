#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

/// Requests that wait for one endpoint. Each customer has a queue of its own;
/// they are served by deficit round robin over measured slot time, so that a
/// customer with many or with slow requests takes no more than its turn.
namespace redwinggw::data {

enum class queue_policy { Fair, Fifo };

struct queue_settings {
  queue_policy Policy = queue_policy::Fair;
  /// Slot time that a turn is worth.
  base::microseconds Quantum{2000};
  std::size_t MaxPerCustomer = 2000;
  std::size_t MaxTotal = 10000;
};

/// A request that waits.
struct queue_ticket {
  std::uint64_t Id = 0;
  base::customer_name Customer;
  base::instant Deadline;
};

/// One customer's part of a queue.
struct customer_queue {
  std::deque<queue_ticket> Waiting;
  /// Slot time that may still be used in this turn; negative: overdrawn.
  base::microseconds Deficit{0};
  /// Smoothed slot time of one request.
  base::microseconds Cost{500};
};

struct fair_queue {
  queue_settings Settings;
  std::map<base::customer_name, customer_queue, std::less<>> Customers;
  /// Customers with waiting requests, next one first.
  std::deque<base::customer_name> ActiveCustomers;
  /// Under Fifo: all waiting requests in order of arrival.
  std::deque<queue_ticket> Arrivals;
  std::size_t Size = 0;
};

/// Slot time that the waiting requests are expected to take.
base::microseconds queuedWork(const fair_queue &Queue);

/// Time after which a new request of \p Customer is expected to start, with
/// \p Concurrency requests running at once.
base::microseconds expectedWait(const fair_queue &Queue,
                                std::string_view Customer,
                                std::size_t Concurrency);

/// Result of enqueue.
struct enqueue_answer {
  bool Queued = false;
  /// When refused: time after which there should be room.
  base::milliseconds RetryAfter{0};
};

/// Adds \p Ticket, or refuses it at once when the queue is full or when its
/// turn would come after its deadline: holding it would help nobody.
enqueue_answer enqueue(fair_queue &Queue, queue_ticket Ticket,
                       std::size_t Concurrency, base::instant Now);

/// Takes out the request whose turn it is.
std::optional<queue_ticket> dequeue(fair_queue &Queue);

/// Takes \p Ticket out before its turn. Does nothing when it is not there.
void cancel(fair_queue &Queue, const queue_ticket &Ticket);

/// Corrects the account of \p Customer by the slot time that a request took.
void charge(fair_queue &Queue, std::string_view Customer,
            base::microseconds Busy);

} // namespace redwinggw::data
