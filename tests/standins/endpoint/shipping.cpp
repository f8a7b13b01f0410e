#include "endpoint.hpp"

#include "messages.hpp"

#include "redwinggw/http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace redwinggw::standin {
namespace {

namespace json = boost::json;
using data::endpoint_role;

/// Maximum number of entries in one message and in one apply transaction.
constexpr std::size_t BatchSize = 256;
/// Interval at which an idle primary sends its history to its members.
constexpr std::chrono::milliseconds Heartbeat{100};
/// Delay before a retry after a member refused or could not be reached.
constexpr std::chrono::milliseconds Backoff{20};
constexpr std::chrono::milliseconds ShipTimeout{500};
constexpr std::chrono::milliseconds LockRetry{1};

} // namespace

void endpoint_standin::endTransactions() {
  for (database_connection *Connection : Connections) {
    Connection->Lost |= Connection->Transaction != nullptr;
    Connection->Transaction.reset();
    if (Connection->Handle)
      Connection->Handle->rollback();
  }
}

void endpoint_standin::becomePrimary(
    std::vector<data::endpoint_address> Members) {
  // All received entries are applied before any request is served. No open
  // transaction can hold a lock.
  while (Replica.Applied < Replica.Log.size())
    if (applyUntil(Replica.Log.size()) == 0)
      throw std::logic_error("the log cannot be applied");
  ++ShipEpoch;
  for (data::endpoint_address &Member : Members)
    if (Member.Name != Replica.Name)
      boost::asio::co_spawn(Executor, shipTo(std::move(Member), ShipEpoch),
                            boost::asio::detached);
}

void endpoint_standin::rebuild() {
  endTransactions();
  for (database_connection *Connection : Connections)
    Connection->Handle.reset();
  ++Generation;
  Applier =
      std::make_unique<database>(Replica.Name + std::to_string(Generation));
}

/// Applies entries up to \p End, at most one batch, and returns their number.
/// Zero means that a reader holds a lock.
base::log_position endpoint_standin::applyUntil(base::log_position End) {
  const auto Last =
      std::min<base::log_position>(End, Replica.Applied + BatchSize);
  if (Applier->begin(true) != sql_status::Ok)
    return 0;
  for (auto Next = Replica.Applied; Next < Last; ++Next)
    for (const data::statement &Statement : Replica.Log[Next].Statements) {
      const sql_result Result = Applier->execute(Statement, false);
      if (Result.Status == sql_status::Ok)
        continue;
      Applier->rollback();
      if (Result.Status == sql_status::Locked)
        return 0;
      throw std::logic_error("cannot apply a log entry: " + Result.Detail);
    }
  if (Applier->commit() != sql_status::Ok) {
    Applier->rollback();
    return 0;
  }
  return Last - std::exchange(Replica.Applied, Last);
}

base::task<void> endpoint_standin::applyLoop() {
  while (true) {
    const bool Idle = Replica.Applied >= Replica.Log.size();
    if (Idle || Faults.Paused) {
      co_await StateChanged.wait();
      continue;
    }
    const base::instant Now = base::now();
    const base::instant Due = Replica.Log[Replica.Applied].At + Faults.ApplyLag;
    if (Due > Now) {
      co_await StateChanged.wait(Due);
      continue;
    }
    const auto FirstLater = std::ranges::upper_bound(
        Replica.Log.begin() + static_cast<std::ptrdiff_t>(Replica.Applied),
        Replica.Log.end(), Now - Faults.ApplyLag, {}, &log_entry::At);
    const auto End = FirstLater - Replica.Log.begin();
    if (applyUntil(static_cast<base::log_position>(End)) == 0)
      co_await pause(Executor, LockRetry);
    else
      co_await boost::asio::post(Executor, boost::asio::use_awaitable);
  }
}

/// Sends the log to one member until the epoch ends.
base::task<void> endpoint_standin::shipTo(data::endpoint_address Member,
                                          std::uint64_t Epoch) {
  http::client Client(Executor);
  // The member's position is unknown until it responds to an empty message.
  base::log_position Next = Replica.Log.size();
  while (Epoch == ShipEpoch) {
    if (Faults.Paused || !leaves(Faults, {Member.Name, true})) {
      Client.close();
      co_await FaultsChanged.wait();
      continue;
    }
    if (co_await shipOnce(Client, Member, Next))
      co_await shipPause(Next);
    else
      co_await pause(Executor, Backoff);
  }
}

base::task<bool> endpoint_standin::shipOnce(http::client &Client,
                                            data::endpoint_address Member,
                                            base::log_position &Next) {
  const base::instant Deadline = base::now() + ShipTimeout;
  if (!Client.isOpen())
    if (const auto Connected =
            co_await Client.connect(Member.Address, Deadline);
        !Connected)
      co_return false;
  http::request Request;
  Request.Target = "/replicate";
  Request.From = Replica.Name;
  Request.Body = json::serialize(replicateBody(Replica, Next, shippable(Next)));
  const auto Response = co_await Client.exchange(Request, Deadline);
  if (!Response || !arrives(Faults, {Member.Name, true})) {
    Client.close();
    co_return false;
  }
  if (Response->Status != StatusOk)
    co_return false;
  const json::value Body = json::parse(Response->Body);
  const json::object &State = Body.at("state").as_object();
  Next = std::min<base::log_position>(numberOf(State, "received"),
                                      Replica.Log.size());
  co_return true;
}

/// Number of entries after \p Next that are older than the shipping lag.
std::size_t endpoint_standin::shippable(base::log_position Next) const {
  const auto First = Replica.Log.begin() + static_cast<std::ptrdiff_t>(Next);
  const auto End = std::ranges::upper_bound(First, Replica.Log.end(),
                                            base::now() - Faults.ShipLag, {},
                                            &log_entry::At);
  return std::min<std::size_t>(static_cast<std::size_t>(End - First),
                               BatchSize);
}

base::task<void> endpoint_standin::shipPause(base::log_position Next) {
  const base::instant NextHeartbeat = base::now() + Heartbeat;
  while (Next == Replica.Log.size() && base::now() < NextHeartbeat &&
         !Faults.Paused && Replica.Role == endpoint_role::Primary)
    co_await StateChanged.wait(NextHeartbeat);
  if (Next < Replica.Log.size())
    co_await pause(Executor,
                   Replica.Log[Next].At + Faults.ShipLag - base::now());
}

} // namespace redwinggw::standin
