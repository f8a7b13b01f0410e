#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

/// Queue of the requests that wait for one endpoint. Each customer has its own
/// queue; deficit round robin over measured slot time serves them, so that a
/// customer with many or slow requests gets no more than its share.
namespace redwinggw::data {

enum class queue_policy { Fair, Fifo };

struct queue_settings {
  queue_policy Policy = queue_policy::Fair;
  /// Slot time added to a customer's deficit counter in each round.
  base::microseconds Quantum{2000};
  std::size_t MaxPerCustomer = 2000;
  std::size_t MaxTotal = 10000;
};

/// A waiting request.
struct queue_ticket {
  std::uint64_t Id = 0;
  base::customer_name Customer;
  base::instant Deadline;
};

/// One customer's queue.
struct customer_queue {
  std::deque<queue_ticket> Waiting;
  /// Deficit counter: slot time the customer may still use in this round;
  /// negative when it used more than it was given.
  base::microseconds Deficit{0};
  /// Smoothed slot time per request.
  base::microseconds Cost{500};
};

struct fair_queue {
  queue_settings Settings;
  std::map<base::customer_name, customer_queue, std::less<>> Customers;
  /// Customers with waiting requests, in the order of service.
  std::deque<base::customer_name> ActiveCustomers;
  /// With Fifo: all waiting requests in order of arrival.
  std::deque<queue_ticket> Arrivals;
  std::size_t Size = 0;
};

/// Expected slot time of all waiting requests.
base::microseconds queuedWork(const fair_queue &Queue);

/// Expected time until a new request of \p Customer starts, with \p Concurrency
/// requests running at once.
base::microseconds expectedWait(const fair_queue &Queue,
                                std::string_view Customer,
                                std::size_t Concurrency);

/// Result of enqueue.
struct enqueue_answer {
  bool Queued = false;
  /// If refused: time after which there should be room.
  base::milliseconds RetryAfter{0};
};

/// Adds \p Ticket. Refuses it at once when the queue is full or when the
/// request is expected to start only after its deadline, since waiting would be
/// useless.
enqueue_answer enqueue(fair_queue &Queue, queue_ticket Ticket,
                       std::size_t Concurrency, base::instant Now);

/// Removes and returns the next request to run.
std::optional<queue_ticket> dequeue(fair_queue &Queue);

/// Removes \p Ticket from the queue. Does nothing when it is not queued.
void cancel(fair_queue &Queue, const queue_ticket &Ticket);

/// Corrects the deficit of \p Customer by the slot time that a request used,
/// and updates the customer's smoothed slot time.
void charge(fair_queue &Queue, std::string_view Customer,
            base::microseconds Busy);

} // namespace redwinggw::data
