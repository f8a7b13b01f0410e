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

/// The tokens that one instance holds and the requests that wait for some.
namespace redwinggw::control {

struct consumer_limits {
  /// Demand is averaged over this time and asked for ahead for that one.
  base::microseconds DemandWindow{100'000};
  /// At most half a Ttl, or the tokens would lapse.
  base::microseconds RequestAhead{125'000};
  /// An unanswered request is taken for lost.
  base::microseconds ResendAfter{40'000};
  /// A request goes on waiting for so long after the giver had no token. The
  /// outstanding grants keep the giver's bucket behind that of a single
  /// process by at most a Ttl, so a request inside the rate finds its token.
  base::microseconds MaxWait{500'000};
  /// A giver that did not answer for so long has left a backlog of requests
  /// that may be inside the rate: these wait up to their deadline.
  base::microseconds OutageTime{200'000};
  std::size_t MaxWaiters = 10'000;
};

/// Tokens that may be spent until they lapse.
struct held_tokens {
  base::instant Until;
  double Count = 0;
};

/// A request that waits for a token.
struct share_waiter {
  std::uint64_t Ticket = 0;
  base::instant Deadline;
  /// When the giver first had no token for it.
  std::optional<base::instant> RefusedAt;
};

struct share_account {
  share_plan Plan;
  std::uint16_t Partition = 0;
  std::deque<held_tokens> Held;
  std::deque<share_waiter> Waiters;
  /// Requests in the last DemandWindow, decaying.
  double Demand = 0;
  base::instant DemandAt;
  /// The giver had nothing: ask again then.
  base::instant NextRequestAt;
  /// The first request since the giver's last answer.
  std::optional<base::instant> UnansweredSince;
  /// Until then requests are refused at their deadline only.
  base::instant RefuseAtDeadlineUntil;
};

/// A request to a giver that may still be answered.
struct share_request {
  std::uint64_t Number = 0;
  std::uint16_t Partition = 0;
  base::instant SentAt;
};

/// What became of a waiting request.
struct share_verdict {
  std::uint64_t Ticket = 0;
  bool Admitted = false;
  /// The giver did not answer, so the refusal may be wrongful.
  bool Unanswered = false;
  base::microseconds RetryAfter{0};
};

struct consumer_counters {
  std::uint64_t Spent = 0;
  std::uint64_t Refused = 0;
  std::uint64_t RefusedUnanswered = 0;
  /// Tokens that lapsed unspent.
  double Lapsed = 0;
  std::uint64_t UnexpectedGrants = 0;
};

/// Not thread safe.
struct share_consumer {
  consumer_limits Limits;
  share_limits Shares;
  std::map<base::customer_name, share_account, std::less<>> Accounts;
  /// Customers with demand, tokens or requests that wait; the others cost
  /// nothing.
  std::set<base::customer_name, std::less<>> Active;
  std::vector<share_request> Requests;
  std::uint64_t LastNumber = 0;
  std::uint64_t LastTicket = 0;
  consumer_counters Counters;
};

/// Spends a token of \p Customer that is here. Requests that wait go first.
bool takeToken(share_consumer &Consumer, std::string_view Customer,
               base::instant Now);

/// Lets a request wait; answers its ticket. Its verdict comes from onGrant or
/// dueVerdicts. Precondition: the customer has an account.
std::uint64_t waitForToken(share_consumer &Consumer, std::string_view Customer,
                           base::instant Now, base::instant Deadline);

/// The requests to send now, one a partition at most, with numbers given.
std::vector<wire::share_message> dueRequests(share_consumer &Consumer,
                                             base::instant Now);

/// Takes in a grant. Guards against doubled and late ones: only the first
/// answer to a request counts, and its tokens lapse a Ttl after the request
/// was sent, on this clock.
std::vector<share_verdict> onGrant(share_consumer &Consumer,
                                   const wire::share_message &Grant,
                                   base::instant Now);

/// Forgets the request that \p Answer answers without tokens, so that the
/// next goes out. False when it was not asked or too old.
bool dropRequest(share_consumer &Consumer, const wire::share_message &Answer);

/// The verdicts on requests whose time is over.
std::vector<share_verdict> dueVerdicts(share_consumer &Consumer,
                                       base::instant Now);

} // namespace redwinggw::control
