#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/share_bucket.hpp"
#include "redwinggw/wire/message.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

/// The tokens granted to one instance and the operations that wait for tokens
/// there.
namespace redwinggw::control {

struct consumer_limits {
  /// Demand is averaged over DemandWindow, and tokens are requested ahead for
  /// RequestAhead.
  base::microseconds DemandWindow{100'000};
  /// At most half a Ttl is used, or the tokens would expire unspent.
  base::microseconds RequestAhead{125'000};
  /// A request without an answer counts as lost after this time.
  base::microseconds ResendAfter{40'000};
  /// An operation waits this long after the allocator first had no token for
  /// it. Outstanding grants delay the allocator's bucket by at most one Ttl
  /// against that of a single process. This time is longer than the longest
  /// Ttl, so an operation within the rate gets its token.
  base::microseconds MaxWait{500'000};
  /// An allocator that did not answer for this long leaves a backlog of
  /// operations that may be within the rate: they wait up to their deadlines.
  base::microseconds OutageTime{200'000};
  std::size_t MaxWaiters = 10'000;
};

/// Tokens that may be spent until they expire.
struct held_tokens {
  base::instant Until;
  double Count = 0;
};

/// An operation that waits for a token.
struct share_waiter {
  std::uint64_t Ticket = 0;
  base::instant Deadline;
  /// When the allocator first had no token for it.
  std::optional<base::instant> RefusedAt;
};

struct share_account {
  share_plan Plan;
  std::uint16_t Partition = 0;
  std::deque<held_tokens> Held;
  std::deque<share_waiter> Waiters;
  /// Requests in the last DemandWindow, with exponential decay.
  double Demand = 0;
  base::instant DemandAt;
  /// The allocator had no token: the next request goes out then.
  base::instant NextRequestAt;
  /// When the first request after the allocator's last answer was sent.
  std::optional<base::instant> UnansweredSince;
  /// Until then MaxWait does not apply: waiting operations are refused at their
  /// deadlines only.
  base::instant MaxWaitSuspendedUntil;
};

/// A token request to an allocator that may still be answered.
struct share_request {
  std::uint64_t Number = 0;
  std::uint16_t Partition = 0;
  base::instant SentAt;
};

/// The outcome of a waiting operation.
struct share_verdict {
  std::uint64_t Ticket = 0;
  bool Admitted = false;
  /// The allocator did not answer, so the refused operation may be within the
  /// rate.
  bool Unanswered = false;
  base::microseconds RetryAfter{0};
};

struct consumer_counters {
  std::uint64_t Spent = 0;
  std::uint64_t Refused = 0;
  std::uint64_t RefusedUnanswered = 0;
  /// Tokens that expired unspent.
  double Expired = 0;
  std::uint64_t UnexpectedGrants = 0;
};

/// Not thread safe.
struct share_consumer {
  consumer_limits Limits;
  share_limits Shares;
  std::map<base::customer_name, share_account, std::less<>> Accounts;
  /// Customers with demand, tokens or waiting operations; only these are
  /// processed.
  std::set<base::customer_name, std::less<>> Active;
  std::vector<share_request> Requests;
  std::uint64_t LastNumber = 0;
  std::uint64_t LastTicket = 0;
  consumer_counters Counters;
};

/// Spends a token of \p Customer that is held here. Fails while other
/// operations wait.
bool takeToken(share_consumer &Consumer, std::string_view Customer,
               base::instant Now);

/// Queues an operation and returns its ticket. Its verdict comes from onGrant
/// or dueVerdicts. Precondition: the customer has an account.
std::uint64_t waitForToken(share_consumer &Consumer, std::string_view Customer,
                           base::instant Now, base::instant Deadline);

/// The numbered requests to send now, at most one per partition.
std::vector<wire::share_message> dueRequests(share_consumer &Consumer,
                                             base::instant Now);

/// Processes a grant. Duplicate and late grants do no harm: only the first
/// answer to a request counts, and its tokens expire one Ttl after the request
/// was sent, by the local clock.
std::vector<share_verdict> onGrant(share_consumer &Consumer,
                                   const wire::share_message &Grant,
                                   base::instant Now);

/// Drops the request to which \p Answer brings no tokens, so that the next one
/// goes out. False when there is no such request or it is too old.
bool dropRequest(share_consumer &Consumer, const wire::share_message &Answer);

/// Refuses the operations that have waited too long or would have to, and
/// returns the verdicts on them.
std::vector<share_verdict> dueVerdicts(share_consumer &Consumer,
                                       base::instant Now);

} // namespace redwinggw::control
