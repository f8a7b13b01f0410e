#include "redwinggw/data/fair_queue.hpp"

#include <map>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::data;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

const base::instant Start{std::chrono::seconds(100)};
const base::instant Late = Start + std::chrono::seconds(1000);

bool add(fair_queue &Queue, std::uint64_t Id, const std::string &Customer,
         base::instant Deadline = Late) {
  return enqueue(Queue, {Id, Customer, Deadline}, 1, Start).Queued;
}

/// Removes the next request. Precondition: one is waiting.
queue_ticket next(fair_queue &Queue) {
  return dequeue(Queue).value_or(queue_ticket());
}

/// Slot time that each customer got for \p Requests requests, when a request
/// of "slow" takes ten times as long as the others.
std::map<std::string, microseconds> served(fair_queue &Queue, int Requests) {
  std::map<std::string, microseconds> Time;
  for (int Request = 0; Request < Requests; ++Request) {
    const queue_ticket Ticket = next(Queue);
    const microseconds Busy(Ticket.Customer == "slow" ? 5000 : 500);
    charge(Queue, Ticket.Customer, Busy);
    Time[Ticket.Customer] += Busy;
    add(Queue, Ticket.Id, Ticket.Customer);
  }
  return Time;
}

/// 1000 requests of one customer, followed by 5 of another.
fair_queue flooded(queue_policy Policy) {
  fair_queue Queue;
  Queue.Settings.Policy = Policy;
  for (std::uint64_t Id = 0; Id < 1000; ++Id)
    add(Queue, Id, "flood");
  for (std::uint64_t Id = 1000; Id < 1005; ++Id)
    add(Queue, Id, "calm");
  return Queue;
}

/// How many requests are served until all five of the customer "calm" are.
int requestsUntilCalmIsServed(fair_queue Queue) {
  int Left = 5;
  int Requests = 0;
  for (; Left > 0; ++Requests)
    Left -= next(Queue).Customer == "calm" ? 1 : 0;
  return Requests;
}

} // namespace

// Guards against a customer that sends several times its rate: its requests
// would fill the queue and delay those of customers within their rate.
Test(fair_queue, a_flood_does_not_delay_another_customer) {
  cr_assert(requestsUntilCalmIsServed(flooded(queue_policy::Fair)) <= 15);
  // The Fifo baseline shows that the test detects the failure.
  cr_assert(requestsUntilCalmIsServed(flooded(queue_policy::Fifo)) == 1005);
}

// Guards against counting by requests: a customer whose statements are ten
// times as slow would get ten times the slot time of the others.
Test(fair_queue, shares_are_measured_in_slot_time) {
  fair_queue Queue;
  // Both customers always have waiting requests; one without any is not served.
  for (std::uint64_t Id = 0; Id < 20; ++Id)
    add(Queue, Id, Id % 2 == 0 ? "slow" : "quick");
  const auto Time = served(Queue, 5000);
  const double Ratio = static_cast<double>(Time.at("slow").count()) /
                       static_cast<double>(Time.at("quick").count());
  cr_assert(Ratio > 0.9 && Ratio < 1.1);
}

Test(fair_queue, a_request_that_would_start_too_late_is_refused_at_once) {
  fair_queue Queue;
  for (std::uint64_t Id = 0; Id < 100; ++Id)
    add(Queue, Id, "a");
  const auto Answer =
      enqueue(Queue, {100, "a", Start + milliseconds(10)}, 1, Start);
  cr_assert(!Answer.Queued);
  cr_assert(Answer.RetryAfter >= milliseconds(10));
}

Test(fair_queue, queue_length_is_bounded_per_customer_and_in_total) {
  fair_queue Queue;
  Queue.Settings.MaxPerCustomer = 3;
  Queue.Settings.MaxTotal = 5;
  for (std::uint64_t Id = 0; Id < 3; ++Id)
    cr_assert(add(Queue, Id, "a"));
  cr_assert(!add(Queue, 3, "a"));
  cr_assert(add(Queue, 4, "b"));
  cr_assert(add(Queue, 5, "b"));
  cr_assert(!add(Queue, 6, "b"));
}

Test(fair_queue, a_cancelled_request_leaves_nothing_behind) {
  fair_queue Queue;
  add(Queue, 1, "a");
  cancel(Queue, {1, "a", Late});
  cancel(Queue, {1, "a", Late});
  cr_assert(Queue.Size == 0);
  cr_assert(!dequeue(Queue));
}
