#pragma once

#include "redwinggw/base/task.hpp"
#include "redwinggw/data/fair_queue.hpp"
#include "redwinggw/session/answer_match.hpp"
#include "redwinggw/session/cold_rates.hpp"
#include "redwinggw/session/connection_plan.hpp"
#include "redwinggw/session/deadline_watch.hpp"
#include "redwinggw/session/endpoint_link.hpp"
#include "redwinggw/session/replica_lag.hpp"
#include "redwinggw/session/slot_queue.hpp"
#include "redwinggw/session/statement_forwarding.hpp"
#include "redwinggw/session/wait_list.hpp"

#include <array>
#include <deque>
#include <list>
#include <memory>
#include <set>
#include <string>

/// The connections of one instance to one endpoint.
///
/// An endpoint_link is one connection. A pooled_link adds the session state
/// that is set up on it, and a checked_out_link is a pooled_link that is
/// checked out of the pool. A forwarding_link takes the place of the connection
/// when the endpoint's owner runs the statements; the owner keeps the
/// connection of an open transaction in a pinned_link.
namespace redwinggw::session {

/// A connection with the session state that is set up on it.
struct pooled_link {
  std::unique_ptr<endpoint_link> Link;
  /// Set instead of Link when statements are forwarded to the endpoint's owner.
  /// The owner then knows the session state, and the fields below are not used.
  std::unique_ptr<forwarding_link> Forwarding;
  base::customer_name Customer;
  /// Session values in force on it; valid only if ValuesKnown.
  session_values Values;
  bool ValuesKnown = false;
  /// Statements prepared on it, by their operand.
  prepared_names Prepared;
  answer_history Answers;
  /// It refused a statement as the primary. A later refusal could be this one
  /// repeated, and would leave a write in doubt.
  bool Refused = false;
  /// The transaction state on it.
  transaction_state State = transaction_state::Idle;
  base::instant UsedAt;
  /// When it was checked out or set up for its current use.
  base::instant TakenAt;
  /// Limits what is sent on it while the endpoint is cold; null: no limit.
  cold_rate_ptr Cold;
  /// Set while a transaction is open that began while the endpoint was cold.
  end_reserve End;
};

using link_handle = std::unique_ptr<pooled_link>;

/// Why no connection to an endpoint could be acquired.
enum class acquire_failure {
  /// It cannot be reached.
  Unreachable,
  /// It is another endpoint than expected.
  Misrouted,
  /// All connections of this instance are in use, or it is evacuated.
  Exhausted,
  /// The endpoint accepts no more connections at present.
  EndpointRefused,
  /// No slot got free in time.
  NoSlot,
  /// It is cold, and there was no token for the set-up in time.
  Cold,
  /// Returned by acquireByDemand only: see awaitConnection.
  MustWait,
};

/// A connection, or why there is none.
struct acquired {
  link_handle Link;
  acquire_failure Failure = acquire_failure::Unreachable;
};

/// How the endpoint has answered recently; used by routing.
struct endpoint_health {
  unsigned Failures = 0;
  std::optional<base::instant> FailingSince;
  base::instant LastFailure;
  base::instant LastSuccess;
  /// Smoothed time of a statement, in milliseconds.
  double Latency = 0;
  /// Replication lag, while it is a replica.
  replica_lag Lag;
};

/// Why an idle connection was closed.
enum class eviction : std::uint8_t {
  /// For a connection of another customer.
  Replaced,
  /// It was above this instance's share of the endpoint's connections.
  Spare,
  /// It had been opened for a peak that is over.
  Unneeded,
  /// It was idle for IdleTime.
  Unused,
  /// An exchange on another connection got no answer, or the endpoint's zone
  /// is evacuated.
  Distrusted,
};
constexpr std::size_t Evictions = 5;

/// The name of \p Reason in metrics. Thread safe.
std::string_view evictionName(eviction Reason);

struct pool_limits {
  connection_policy Policy = connection_policy::Recent;
  /// This instance's even share of the endpoint's connections.
  std::size_t Connections = 4;
  /// While more connections than this are open, up to the even share, one is
  /// closed after it was idle for UnneededIdleTime. The last KeptConnections
  /// are kept for IdleTime.
  std::size_t KeptConnections = 4;
  /// With connection_policy::Demand: while at most this many connections are
  /// open, the last idle one of a customer with demand is kept for as long as
  /// it is expected to be used (keptFor).
  std::size_t SteadyConnections = 4;
  base::milliseconds UnneededIdleTime{1000};
  /// Connections that it may open while statements wait and the endpoint still
  /// accepts some: callers are spread unevenly over instances and customers.
  std::size_t MaxConnections = 8;
  /// While more connections than the even share are open, one is closed after
  /// it was idle for SpareIdleTime. None is opened above the share for
  /// RefusedPause after the endpoint refused a connection.
  base::milliseconds SpareIdleTime{250};
  base::milliseconds RefusedPause{1000};
  /// After the endpoint refused a connection, an instance that has one and is
  /// below its share waits this long before it opens another: about as long as
  /// a caller's statement holds a connection.
  base::milliseconds FullPause{100};
  /// Far above one round trip plus the endpoint's set-up time, and short enough
  /// to try another endpoint.
  base::milliseconds ConnectTimeout{700};
  /// Idle connections are closed after this time, so that other customers
  /// and instances can use the endpoint's connections.
  base::milliseconds IdleTime{8000};
};

/// Most callers that may wait for a connection; with more, the wait would
/// exceed every statement's timeout.
constexpr std::size_t MaxWaiting = 400;

/// Used from one thread. Must outlive the coroutines that use it.
class endpoint_pool {
public:
  endpoint_pool(boost::asio::any_io_executor Executor, deadline_watch &Watch,
                link_factory Factory, endpoint_entry Entry);
  endpoint_pool(const endpoint_pool &) = delete;
  endpoint_pool &operator=(const endpoint_pool &) = delete;
  ~endpoint_pool();

  /// Waits until \p Until for one of the endpoint's slots. False if none gets
  /// free in time; returns at once if that can be foreseen. After true,
  /// releaseSlot() must be called with the same \p Level and \p Customer.
  base::task<bool> acquireSlot(slot_level Level, base::customer_name Customer,
                               base::instant Until);
  void releaseSlot(slot_level Level, std::string_view Customer,
                   base::microseconds Busy);
  /// Returns a slot in which nothing was done: it does not count as a statement
  /// in the times by which the queue is served.
  void returnSlot();
  /// Expected time until one more statement gets a slot.
  base::microseconds expectedSlot(slot_level Level,
                                  std::string_view Customer) const;

  /// A connection of \p Customer, preferably one with \p Values in force; waits
  /// for one until \p WaitUntil if all are in use. Opening one may continue
  /// until \p Deadline: abandoning it earlier would waste the endpoint's set-up
  /// time, above all while it is busy. Nothing has run if this fails.
  base::task<acquired> acquire(base::customer_name Customer,
                               const session_values &Values,
                               base::instant WaitUntil, base::instant Deadline);

  /// \name With connection_policy::Demand
  /// @{
  connection_policy policy() const { return Limits.Policy; }
  /// How long to wait after the endpoint refused a connection.
  base::milliseconds refusedPause() const { return Limits.FullPause; }
  /// Records that a statement of \p Customer arrived.
  void noteDemand(std::string_view Customer);
  /// Whether acquireByDemand would get or open a connection now.
  bool canConnect(slot_level Level, std::string_view Customer) const;
  /// A connection of \p Customer, idle or opened until \p Deadline. MustWait
  /// instead of waiting: the caller holds a slot, which a statement that waits
  /// for a connection must not do.
  base::task<acquired> acquireByDemand(slot_level Level,
                                       base::customer_name Customer,
                                       session_values Values,
                                       base::instant Deadline);
  /// Waits until \p Until for canConnect, which the caller checks again. False
  /// if that is not expected in time, or was not in time.
  base::task<bool> awaitConnection(slot_level Level,
                                   base::customer_name Customer,
                                   base::instant Until);
  const connection_plan &plan() const { return Plan; }
  /// @}

  /// Wakes the next statement that can get a connection now, if one waits. A
  /// statement that was woken and does not take a connection must call it.
  void wakeNext();

  /// Wraps a link that forwards to the endpoint's owner and takes no connection
  /// here. It is released or discarded like a connection.
  link_handle wrapForwarding(std::unique_ptr<forwarding_link> Forwarding,
                             base::customer_name Customer);

  /// Returns a connection to the pool. Precondition: no transaction is open on
  /// it.
  void release(link_handle Link);

  /// Closes a connection whose state is not known.
  void discard(link_handle Link);

  /// Closes all idle connections. When one exchange got no answer, the network
  /// may have silently dropped all older connections while new ones work; each
  /// would let one more statement time out.
  void closeIdle();

  /// Closes connections that were idle for too long, and wakes a waiting caller
  /// if a connection may be opened again since an earlier refusal. Call it
  /// periodically.
  void closeUnused(base::instant Now);

  /// Records that a statement was sent, and that its exchange ended in any way.
  void noteSent(base::instant SentAt) { Unanswered.insert(SentAt); }
  void noteEnded(base::instant SentAt) {
    Unanswered.erase(Unanswered.find(SentAt));
  }
  /// When the oldest statement without an answer was sent.
  std::optional<base::instant> oldestUnanswered() const {
    if (Unanswered.empty())
      return std::nullopt;
    return *Unanswered.begin();
  }

  void noteSuccess(base::instant SentAt, base::instant Now);
  void noteFailure(base::instant Now);

  /// Whether another instance owns the endpoint's connections.
  void setOwnedElsewhere(bool Owned) { OwnedElsewhere = Owned; }
  bool isOwnedElsewhere() const { return OwnedElsewhere; }
  /// Statements that run or wait at the owner, as reported at \p Now.
  void noteOwnerLoad(std::size_t Load, base::instant Now);
  /// Statements that run or wait at the endpoint, as far as is known here.
  std::size_t load(base::instant Now) const;

  /// Whether the endpoint's availability zone is evacuated. From then on no
  /// slot and no connection is granted, and idle connections are closed. A
  /// connection that is checked out must not be used any more.
  void setEvacuated(bool IsEvacuated);
  bool isEvacuated() const { return Evacuated; }
  /// Whether the endpoint has given answers more than once.
  bool repeatsAnswers() const { return RepeatsAnswers; }
  /// Whether the endpoint has left everything that runs there without an answer
  /// for long: no slot would get free, and it may be gone. Not while statements
  /// wait for a token.
  bool isStalled(base::instant Now) const;

  /// Limits what is sent to the endpoint while it is cold.
  cold_rate &cold() { return *Cold; }
  const cold_rate &cold() const { return *Cold; }

  void setEntry(endpoint_entry Entry);
  void setLimits(pool_limits Limits);

  const endpoint_entry &entry() const { return Entry; }
  const endpoint_health &health() const { return Health; }
  endpoint_health &health() { return Health; }
  std::size_t open() const { return Open; }
  std::size_t idle() const { return Idle.size(); }
  /// Statements that hold a slot.
  std::size_t running() const { return Slots.Running; }
  std::size_t waiting() const {
    return Queue.Size + DemandWaiters.size() + queuedIn(Slots);
  }
  /// Whether the endpoint is warm and nothing was sent to it for \p Time, so
  /// that the pool holds nothing of use.
  bool isUnused(base::milliseconds Time, base::instant Now) const;
  bool hasIdle(std::string_view Customer) const;
  /// All connections are open and in use.
  bool isExhausted() const { return Idle.empty() && !mayOpen(); }
  std::uint64_t connects() const { return Connects; }
  std::uint64_t evictions(eviction Reason) const {
    return Evicted.at(static_cast<std::size_t>(Reason));
  }

private:
  link_handle takeIdle(std::string_view Customer, const session_values &Values);
  bool wasRefused(base::milliseconds Within) const;
  bool mayOpen() const;
  bool evictOldest(eviction Reason);
  void closeOneOf(std::string_view Customer);
  bool isOverdue(const pooled_link &Link, base::instant Now) const;
  eviction reasonNow() const;
  void closeUnusedByDemand(base::instant Now);
  customer_use &useOf(std::string_view Customer);
  void countEvicted(const pooled_link &Link, eviction Reason);
  connection_decision decide(slot_level Level, std::string_view Customer) const;
  void wakeByDemand();
  base::task<acquired> connect(base::customer_name Customer,
                               base::instant Deadline);
  base::task<bool> waitForConnection(const base::customer_name &Customer,
                                     base::instant Deadline);

  /// A statement that waits for a connection, with connection_policy::Demand.
  struct demand_waiter {
    std::uint64_t Id = 0;
    base::customer_name Customer;
    slot_level Level = slot_level::Normal;
  };

  void startQueued();

  boost::asio::any_io_executor Executor;
  deadline_watch &Watch;
  link_factory Factory;
  endpoint_entry Entry;
  pool_limits Limits;
  endpoint_health Health;
  base::instant OpenedAt = base::now();
  cold_rate_ptr Cold = std::make_shared<cold_rate>();
  std::list<link_handle> Idle;
  std::size_t Open = 0;
  bool OwnedElsewhere = false;
  bool Evacuated = false;
  /// Statements of this instance that the endpoint's owner runs.
  std::size_t Forwarded = 0;
  std::size_t OwnerLoad = 0;
  std::optional<base::instant> OwnerLoadAt;
  /// When the endpoint last refused a connection because none was left.
  std::optional<base::instant> RefusedAt;
  bool RepeatsAnswers = false;
  data::fair_queue Queue;
  wait_list Waiters;
  slot_queue Slots;
  connection_plan Plan;
  /// By level, then in the order of arrival.
  std::list<demand_waiter> DemandWaiters;
  std::array<std::uint64_t, Evictions> Evicted{};
  /// When the set-ups in progress began.
  std::multiset<base::instant> SetUpStarts;
  std::multiset<base::instant> Unanswered;
  std::uint64_t Connects = 0;
};

} // namespace redwinggw::session
