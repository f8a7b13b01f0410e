#include "redwinggw/data/dispatcher.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace redwinggw::data {
namespace {

namespace asio = boost::asio;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);

} // namespace

dispatcher::dispatcher(asio::any_io_executor Executor, std::string Instance,
                       control::endpoint Endpoint, std::size_t ConnectionLimit,
                       queue_settings Settings)
    : Executor(Executor), Endpoint(Endpoint),
      Pool(Executor, std::move(Instance), Endpoint, ConnectionLimit) {
  Queue.Settings = Settings;
  setConnectionLimit(ConnectionLimit);
}

base::task<base::result<void>> dispatcher::acquire(base::customer_name Customer,
                                                   base::instant Deadline) {
  if (Queue.Size == 0 && hasRoom(Window)) {
    startRequest(Window);
    // Creates the customer's queue with its first request, so that charge finds
    // it.
    Queue.Customers.try_emplace(std::move(Customer));
    co_return base::result<void>();
  }
  const queue_ticket Ticket{++LastTicket, std::move(Customer), Deadline};
  const auto Concurrency = static_cast<std::size_t>(Window.Size);
  const enqueue_answer Answer =
      enqueue(Queue, Ticket, Concurrency, base::now());
  if (!Answer.Queued)
    co_return base::failure(base::errc::Overloaded, Endpoint.Name,
                            Answer.RetryAfter);
  asio::steady_timer Timer(Executor);
  Timer.expires_at(base::timerPoint(Deadline));
  Waiters[Ticket.Id] = {&Timer, false};
  co_await Timer.async_wait(Token);
  const bool Granted = Waiters.at(Ticket.Id).Granted;
  Waiters.erase(Ticket.Id);
  if (Granted)
    co_return base::result<void>();
  cancel(Queue, Ticket);
  co_return base::failure(base::errc::DeadlinePassed,
                          "waiting for " + Endpoint.Name);
}

void dispatcher::release(std::string_view Customer,
                         base::microseconds RoundTrip,
                         std::optional<base::microseconds> Busy) {
  if (Busy) {
    finishRequest(Window, RoundTrip, *Busy, base::now());
    charge(Queue, Customer, *Busy);
  } else {
    finishUnmeasured(Window);
  }
  startWaiting();
}

void dispatcher::acquireImmediately(base::customer_name Customer) {
  startRequest(Window);
  Queue.Customers.try_emplace(std::move(Customer));
}

void dispatcher::adjustPinned(int Change) {
  Pinned += Change;
  updateWindowLimit();
}

bool dispatcher::mayPin() const {
  return Pinned < std::max<std::size_t>(1, Limit / 2);
}

void dispatcher::setConnectionLimit(std::size_t Connections) {
  Limit = Connections;
  Pool.setLimit(Connections);
  updateWindowLimit();
}

void dispatcher::updateWindowLimit() {
  const std::size_t Free = Limit > Pinned ? Limit - Pinned : 1;
  Window.Limit = static_cast<double>(std::max<std::size_t>(1, Free));
  Window.Size = std::min(Window.Size, Window.Limit);
}

void dispatcher::startWaiting() {
  while (hasRoom(Window)) {
    const std::optional<queue_ticket> Ticket = dequeue(Queue);
    if (!Ticket)
      return;
    const auto Waiter = Waiters.find(Ticket->Id);
    if (Waiter == Waiters.end())
      continue;
    startRequest(Window);
    Waiter->second.Granted = true;
    Waiter->second.Timer->cancel();
  }
}

} // namespace redwinggw::data
