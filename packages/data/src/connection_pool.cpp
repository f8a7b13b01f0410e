#include "redwinggw/data/connection_pool.hpp"

#include "redwinggw/data/endpoint.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace redwinggw::data {
namespace {

namespace asio = boost::asio;
using base::errc;
using base::failure;
using base::result;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
constexpr base::milliseconds OpenDeadline{2000};

} // namespace

struct connection_pool::state : std::enable_shared_from_this<state> {
  state(asio::any_io_executor Executor, std::string Instance,
        control::endpoint Endpoint, std::size_t Limit)
      : Executor(std::move(Executor)), Instance(std::move(Instance)),
        Endpoint(std::move(Endpoint)), Limit(Limit) {}

  bool mayOpen() const { return Open < Limit && !Closed; }

  base::task<result<connection_handle>> connect() {
    auto Connection = std::make_unique<database_connection>(Executor);
    const auto Connected =
        co_await connectEndpoint(Connection->Client, Endpoint.Address, Instance,
                                 base::now() + OpenDeadline);
    if (!Connected) {
      const bool Refused = kindOf(Connected.error()) == errc::ConnectionLimit;
      co_return failure(Refused ? errc::ConnectionLimit
                                : errc::EndpointUnreachable,
                        Endpoint.Name + ": " + Connected.error().Detail);
    }
    Connection->OpenedAt = base::now();
    Connection->LastAnswerAt = Connection->OpenedAt;
    co_return std::move(Connection);
  }

  /// Opens one more connection for the request that has waited longest.
  base::task<void> openOne() {
    const auto Self = shared_from_this();
    ++Open;
    ++Opening;
    auto Connection = co_await connect();
    --Opening;
    if (Connection && !Closed)
      Idle.push_back(std::move(*Connection));
    else
      --Open;
    wakeOne(Connection ? failure() : Connection.error());
  }

  void startOpening() { asio::co_spawn(Executor, openOne(), asio::detached); }

  /// Opens one connection ahead of demand, since opening one takes many times
  /// as long as a request. The last connection is kept for requests that need
  /// it now.
  void openSpare() {
    if (Idle.empty() && Opening == 0 && Open + 1 < Limit && !Closed)
      startOpening();
  }

  /// Waits until the connections changed. Fails when opening a connection
  /// failed, and at \p Deadline.
  base::task<result<void>> awaitChange(base::instant Deadline) {
    const auto Self = shared_from_this();
    waiter Waiter{asio::steady_timer(Executor), {}};
    Waiter.Timer.expires_at(base::timerPoint(Deadline));
    Waiting.push_back(&Waiter);
    co_await Waiter.Timer.async_wait(Token);
    std::erase(Waiting, &Waiter);
    if (Waiter.Failure.Code)
      co_return Waiter.Failure;
    if (base::now() < Deadline)
      co_return result<void>();
    co_return failure(Opening > 0 ? errc::EndpointUnreachable
                                  : errc::ConnectionLimit,
                      Endpoint.Name);
  }

  void wakeOne(const failure &Failure = {}) {
    if (Waiting.empty())
      return;
    waiter *Waiter = Waiting.front();
    Waiting.erase(Waiting.begin());
    Waiter->Failure = Failure;
    Waiter->Timer.cancel();
  }

  struct waiter {
    asio::steady_timer Timer;
    /// Why no connection could be opened; without an error the waiter checks
    /// again.
    failure Failure;
  };

  asio::any_io_executor Executor;
  std::string Instance;
  control::endpoint Endpoint;
  std::size_t Limit;
  std::size_t Open = 0;
  /// Connections being opened; included in Open.
  std::size_t Opening = 0;
  bool Closed = false;
  std::vector<connection_handle> Idle;
  std::vector<waiter *> Waiting;
};

connection_pool::connection_pool(asio::any_io_executor Executor,
                                 std::string Instance,
                                 control::endpoint Endpoint, std::size_t Limit)
    : State(std::make_shared<state>(std::move(Executor), std::move(Instance),
                                    std::move(Endpoint), Limit)) {}

connection_pool::~connection_pool() {
  State->Closed = true;
  closeIdle();
}

base::task<result<connection_handle>>
connection_pool::acquire(base::instant Deadline) {
  const auto Pool = State;
  // A connection that is released before the new one is open is used instead.
  while (Pool->Idle.empty()) {
    if (Pool->Closed)
      co_return failure(errc::ConnectionLimit, Pool->Endpoint.Name);
    if (Pool->mayOpen() && Pool->Opening <= Pool->Waiting.size())
      Pool->startOpening();
    if (const auto Changed = co_await Pool->awaitChange(Deadline); !Changed)
      co_return Changed.error();
  }
  connection_handle Connection = std::move(Pool->Idle.back());
  Pool->Idle.pop_back();
  Pool->openSpare();
  co_return std::move(Connection);
}

void connection_pool::release(connection_handle Connection) {
  if (!Connection->Client.isOpen() || State->Closed ||
      State->Open > State->Limit) {
    discard(std::move(Connection));
    return;
  }
  Connection->LastAnswerAt = base::now();
  State->Idle.push_back(std::move(Connection));
  State->wakeOne();
}

void connection_pool::discard(connection_handle Connection) {
  Connection->Client.close();
  --State->Open;
  State->wakeOne();
}

void connection_pool::closeUnansweredSince(base::instant Since) {
  const std::size_t Closed =
      std::erase_if(State->Idle, [&](const connection_handle &Connection) {
        return Connection->LastAnswerAt < Since;
      });
  State->Open -= Closed;
  State->wakeOne();
}

void connection_pool::closeIdle() {
  State->Open -= State->Idle.size();
  State->Idle.clear();
}

void connection_pool::setLimit(std::size_t Limit) {
  State->Limit = Limit;
  while (State->Open > Limit && !State->Idle.empty()) {
    State->Idle.pop_back();
    --State->Open;
  }
}

std::size_t connection_pool::idle() const { return State->Idle.size(); }

std::size_t connection_pool::open() const { return State->Open; }

} // namespace redwinggw::data
