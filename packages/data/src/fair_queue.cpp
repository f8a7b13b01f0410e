#include "redwinggw/data/fair_queue.hpp"

#include <algorithm>

namespace redwinggw::data {
namespace {

/// Limits a customer's negative deficit to this many quanta, so that one very
/// slow statement does not block the customer for long.
constexpr int MaxDebtQuanta = 20;
/// Weight of the latest request in the smoothed cost is 1/CostWeight.
constexpr int CostWeight = 8;
constexpr base::milliseconds MinRetryAfter{10};

bool isFull(const fair_queue &Queue, const customer_queue &Own) {
  return Queue.Size >= Queue.Settings.MaxTotal ||
         Own.Waiting.size() >= Queue.Settings.MaxPerCustomer;
}

base::milliseconds retryAfter(base::microseconds Wait) {
  return std::max(MinRetryAfter, std::chrono::ceil<base::milliseconds>(Wait));
}

std::optional<queue_ticket> dequeueFifo(fair_queue &Queue) {
  if (Queue.Arrivals.empty())
    return std::nullopt;
  queue_ticket Ticket = Queue.Arrivals.front();
  cancel(Queue, Ticket);
  return Ticket;
}

void deactivate(fair_queue &Queue, const base::customer_name &Name) {
  std::erase(Queue.ActiveCustomers, Name);
  customer_queue &Own = Queue.Customers.at(Name);
  // Unused slot time does not accumulate while a customer has no requests. A
  // negative deficit stays: otherwise a customer could clear it by pausing for
  // one request.
  Own.Deficit = std::min(Own.Deficit, base::microseconds(0));
}

} // namespace

base::microseconds queuedWork(const fair_queue &Queue) {
  base::microseconds Work{0};
  for (const auto &[Name, Own] : Queue.Customers)
    Work += Own.Cost * Own.Waiting.size();
  return Work;
}

base::microseconds expectedWait(const fair_queue &Queue,
                                std::string_view Customer,
                                std::size_t Concurrency) {
  const auto Slots =
      static_cast<std::int64_t>(std::max<std::size_t>(1, Concurrency));
  const base::microseconds FifoWait = queuedWork(Queue) / Slots;
  if (Queue.Settings.Policy == queue_policy::Fifo)
    return FifoWait;
  const auto Own = Queue.Customers.find(Customer);
  if (Own == Queue.Customers.end() || Own->second.Waiting.empty())
    return std::min(
        FifoWait, Queue.Settings.Quantum *
                      static_cast<std::int64_t>(Queue.ActiveCustomers.size()) /
                      Slots);
  const auto Active = static_cast<std::int64_t>(Queue.ActiveCustomers.size());
  const base::microseconds FairWait =
      Own->second.Cost * Own->second.Waiting.size() * Active / Slots;
  return std::min(FifoWait, FairWait);
}

enqueue_answer enqueue(fair_queue &Queue, queue_ticket Ticket,
                       std::size_t Concurrency, base::instant Now) {
  const base::microseconds Wait =
      expectedWait(Queue, Ticket.Customer, Concurrency);
  customer_queue &Own = Queue.Customers[Ticket.Customer];
  if (isFull(Queue, Own) || Now + Wait >= Ticket.Deadline)
    return {false, retryAfter(Wait)};
  if (Own.Waiting.empty())
    Queue.ActiveCustomers.push_back(Ticket.Customer);
  Own.Waiting.push_back(Ticket);
  if (Queue.Settings.Policy == queue_policy::Fifo)
    Queue.Arrivals.push_back(std::move(Ticket));
  ++Queue.Size;
  return {true, {}};
}

std::optional<queue_ticket> dequeue(fair_queue &Queue) {
  if (Queue.Settings.Policy == queue_policy::Fifo)
    return dequeueFifo(Queue);
  while (!Queue.ActiveCustomers.empty()) {
    const base::customer_name Name = Queue.ActiveCustomers.front();
    customer_queue &Own = Queue.Customers.at(Name);
    if (Own.Deficit <= base::microseconds(0)) {
      Own.Deficit += Queue.Settings.Quantum;
      Queue.ActiveCustomers.pop_front();
      Queue.ActiveCustomers.push_back(Name);
      continue;
    }
    Own.Deficit -= Own.Cost;
    queue_ticket Ticket = std::move(Own.Waiting.front());
    Own.Waiting.pop_front();
    --Queue.Size;
    if (Own.Waiting.empty())
      deactivate(Queue, Name);
    return Ticket;
  }
  return std::nullopt;
}

void cancel(fair_queue &Queue, const queue_ticket &Ticket) {
  const auto Own = Queue.Customers.find(Ticket.Customer);
  if (Own == Queue.Customers.end())
    return;
  const auto SameId = [&](const queue_ticket &Other) {
    return Other.Id == Ticket.Id;
  };
  const std::size_t Removed = std::erase_if(Own->second.Waiting, SameId);
  Queue.Size -= Removed;
  std::erase_if(Queue.Arrivals, SameId);
  if (Removed != 0 && Own->second.Waiting.empty())
    deactivate(Queue, Own->first);
}

void charge(fair_queue &Queue, std::string_view Customer,
            base::microseconds Busy) {
  const auto Found = Queue.Customers.find(Customer);
  if (Found == Queue.Customers.end())
    return;
  customer_queue &Own = Found->second;
  const base::microseconds Lowest = -Queue.Settings.Quantum * MaxDebtQuanta;
  Own.Deficit = std::max(Lowest, Own.Deficit - (Busy - Own.Cost));
  Own.Cost += (Busy - Own.Cost) / CostWeight;
}

} // namespace redwinggw::data
