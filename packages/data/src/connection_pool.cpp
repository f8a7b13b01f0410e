#include "redwinggw/data/connection_pool.hpp"

#include "redwinggw/data/endpoint.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace redwinggw::data {
namespace {

namespace asio = boost::asio;
using base::errc;
using base::failure;
using base::result;

constexpr base::milliseconds SpareDeadline{2000};

} // namespace

struct connection_pool::state : std::enable_shared_from_this<state> {
  state(asio::any_io_executor Executor, std::string Instance,
        control::endpoint Endpoint, std::size_t Limit)
      : Executor(std::move(Executor)), Instance(std::move(Instance)),
        Endpoint(std::move(Endpoint)), Limit(Limit) {}

  bool mayOpen() const { return Open < Limit && !Closed; }

  base::task<result<connection_handle>> open(base::instant Deadline) {
    const auto Self = shared_from_this();
    ++Open;
    auto Connection = std::make_unique<database_connection>(Executor);
    const auto Connected = co_await connectEndpoint(
        Connection->Client, Endpoint.Address, Instance, Deadline);
    if (!Connected) {
      --Open;
      const bool Refused = kindOf(Connected.error()) == errc::ConnectionLimit;
      co_return failure(Refused ? errc::ConnectionLimit
                                : errc::EndpointUnreachable,
                        Endpoint.Name + ": " + Connected.error().Detail);
    }
    Connection->OpenedAt = base::now();
    Connection->AnsweredAt = Connection->OpenedAt;
    co_return std::move(Connection);
  }

  /// Opens one connection ahead of need: a new one costs many times a request.
  base::task<void> openSpare() {
    const auto Self = shared_from_this();
    OpeningSpare = true;
    auto Connection = co_await open(base::now() + SpareDeadline);
    OpeningSpare = false;
    if (!Connection)
      co_return;
    if (Closed)
      --Open;
    else
      Idle.push_back(std::move(*Connection));
  }

  /// The last connection is left to those who need one now.
  void keepSpare() {
    if (!Idle.empty() || OpeningSpare || Open + 1 >= Limit || Closed)
      return;
    asio::co_spawn(Executor, openSpare(), asio::detached);
  }

  asio::any_io_executor Executor;
  std::string Instance;
  control::endpoint Endpoint;
  std::size_t Limit;
  std::size_t Open = 0;
  bool OpeningSpare = false;
  bool Closed = false;
  std::vector<connection_handle> Idle;
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
connection_pool::take(base::instant Deadline) {
  const auto Pool = State;
  if (!Pool->Idle.empty()) {
    connection_handle Connection = std::move(Pool->Idle.back());
    Pool->Idle.pop_back();
    Pool->keepSpare();
    co_return std::move(Connection);
  }
  if (!Pool->mayOpen())
    co_return failure(errc::ConnectionLimit, Pool->Endpoint.Name);
  co_return co_await Pool->open(Deadline);
}

void connection_pool::giveBack(connection_handle Connection) {
  if (!Connection->Client.isOpen() || State->Closed ||
      State->Open > State->Limit) {
    discard(std::move(Connection));
    return;
  }
  Connection->AnsweredAt = base::now();
  State->Idle.push_back(std::move(Connection));
}

void connection_pool::discard(connection_handle Connection) {
  Connection->Client.close();
  --State->Open;
}

void connection_pool::closeSilentSince(base::instant Since) {
  const std::size_t Closed =
      std::erase_if(State->Idle, [&](const connection_handle &Connection) {
        return Connection->AnsweredAt < Since;
      });
  State->Open -= Closed;
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
