#pragma once

#include "redwinggw/base/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

/// Limits the requests that are sent to an endpoint while it is cold: after an
/// evacuation or a restart, until it has warmed up. Decisions without I/O.
///
/// The bound: all instances together send a cold endpoint at most PerSecond x
/// Overshoot + Slack requests that it receives within one second, in any
/// partition.
///
/// Who may send. Only the instance that holds the endpoint's cold permission, a
/// row of the platform's store that names it. The owner of the endpoint's
/// connections acquires it while it is in contact with a majority, and renews
/// it. Contact with a majority alone does not suffice: two instances that are
/// cut off from each other can both be in contact with a majority, in fleets
/// with and without relays, and both consider themselves the owner. The store
/// orders all changes of the row, whatever the instances see of each other and
/// however the list of instances changes.
///
/// Why there is one sender at a time. The holder may send for
/// cold_permission_limits::ValidFor after it *sent* its last successful
/// renewal, by its boot clock; each renewal changes the row's version. Another
/// instance replaces the row only if it has seen the same version for
/// TakeoverAfter, which is longer, and only under the condition that the row
/// still has that version. The version that it saw was written after the
/// holder's renewal was sent, so the holder has stopped by then. A holder that
/// is not the owner any more stops before it removes the row. A restarted
/// instance writes another text and treats its former row like another
/// instance's. If the outcome of a write is not known, the holder does not
/// count it. While the store does not answer nobody sends once ValidFor is
/// over.
///
/// How many it sends. From the moment at which the endpoint becomes cold each
/// request takes a token before it is sent: set-ups of connections, internal
/// statements, statements and ends of transactions. The bucket starts empty
/// when a holder begins, and never holds more than its depth, tokens that are
/// reserved for the ends of open transactions included. So in any window
/// the requests sent are at most its depth and what flows in, also across a
/// change of the holder. Requests that arrive within one second may have been
/// sent within ArrivalSpread more, and a process that is paused between taking
/// a token and sending sends one request late: the depth leaves room for these.
///
/// Status inquiries. The holder probes an endpoint with tokens; no instance
/// that knows that it is cold probes it otherwise. The orderer of a promotion
/// may be another instance and takes no tokens: it inquires at most once in
/// InquiryInterval, and the depth leaves room for the two requests of an
/// inquiry, the set-up of a connection and the question. An orderer that
/// resumes a move begins once the former one knows the later claim, or is out
/// of contact with a majority and does not inquire, and then waits for
/// InquiryInterval. Not covered: two moves of different orderers that inquire
/// at an endpoint within InquiryInterval although the first move was finished.
///
/// When an endpoint counts as cold. While the entry in the list says so, from
/// its arrival here: the entry is older, so the time ends too late rather than
/// too early. An entry that has not changed extends nothing. For ListLag after
/// the end of an evacuation, and after a connection broke, it counts as cold
/// whatever the list says, as the list lags behind.
namespace redwinggw::session {

/// The operators' bound on requests to cold endpoints.
struct cold_limits {
  /// Factor of a service's cold rate, and requests in addition to it.
  double Overshoot = 1;
  double Slack = 0;
};

/// What a request to a cold endpoint is for.
enum class cold_use {
  /// A set-up of a connection, or a statement outside a transaction.
  Single,
  /// The begin of a transaction; a token is reserved for its end.
  Begin,
  /// A statement of an open transaction, which goes ahead of the others.
  InTransaction,
  /// The end of an open transaction, for which a token is reserved.
  End,
};

/// The time for which an endpoint is cold, and the token bucket that limits the
/// requests to it. Not thread safe.
struct cold_rate {
  /// Whether requests to cold endpoints are limited, as last configured.
  bool Limited = false;
  std::optional<base::instant> ColdUntil;
  /// The same from what was observed here, for as long as the list may lag.
  std::optional<base::instant> PresumedUntil;
  base::milliseconds PresumedFor{0};
  /// Until when this instance may send to the endpoint while it is cold.
  std::optional<base::instant> SendUntil;
  /// Tokens per second and most tokens held.
  double Rate = 0;
  double Depth = 0;
  double Tokens = 0;
  /// Tokens held back for the ends of open transactions.
  unsigned Reserved = 0;
  /// Statements of open transactions that wait for a token.
  unsigned Waiting = 0;
  /// Requests of any kind that wait for a token.
  unsigned AllWaiting = 0;
  base::instant FilledAt;
  /// Number of the permission under which Reserved was reserved.
  std::uint64_t Term = 0;
  /// When this instance's last inquiry without tokens began or ended.
  std::optional<base::instant> InquiredAt;
  /// The endpoint is evacuated: who waits for a token gives up.
  bool Suspended = false;
};

using cold_rate_ptr = std::shared_ptr<cold_rate>;

/// Time by which requests that arrive within one second may have been sent
/// apart more: a lost segment is repeated after 200 ms.
constexpr base::milliseconds ArrivalSpread{250};
/// Least time from the end of an inquiry without tokens to the next one of the
/// same instance, so that requests of only one arrive within any second.
constexpr base::milliseconds InquiryInterval =
    std::chrono::seconds(1) + ArrivalSpread;
/// How long the list may lag behind what happens to an endpoint.
constexpr base::milliseconds ListLag{3000};
/// Added to the remaining time of an entry, for clocks that run at different
/// rates and reads that arrive out of step.
constexpr base::milliseconds ColdMargin{1000};

/// Sets rate and depth for a service whose endpoints are cold for \p ColdStart
/// and should get \p PerSecond, so that the bound holds. Nothing in \p Limits,
/// or \p PerSecond 0: no limit.
void configure(cold_rate &Rate, const std::optional<cold_limits> &Limits,
               double PerSecond, base::milliseconds ColdStart = ListLag);

/// Whether the endpoint counts as cold and its requests are limited.
bool isCold(const cold_rate &Rate, base::instant Now);

/// Whether this instance may send requests while the endpoint is cold.
bool maySendCold(const cold_rate &Rate, base::instant Now);

/// Whether requests wait here for a token. Statements without an answer then do
/// not show that the endpoint fails to answer.
bool waitsForTokens(const cold_rate &Rate, base::instant Now);

/// Allows sending until \p Until. A permission that had ended, or was none,
/// begins with an empty bucket and without reserved tokens.
void permitSending(cold_rate &Rate, base::instant Until, base::instant Now);

/// The entry says that the endpoint is cold until \p Until.
void setColdUntil(cold_rate &Rate, std::optional<base::instant> Until,
                  base::instant Now);

/// The endpoint counts as cold from \p Now on for as long as the list may lag,
/// or for ColdStart if that is shorter.
void presumeCold(cold_rate &Rate, base::instant Now);

/// Whether a request may be sent now.
enum class token {
  /// It may not.
  None,
  /// The endpoint is not cold.
  NotNeeded,
  Taken,
};

/// Takes a token for a request of kind \p Use, which must be sent at once.
token takeToken(cold_rate &Rate, cold_use Use, base::instant Now);

/// Whether this instance may inquire for the status of the endpoint without
/// tokens, which it then does at once.
/// After true noteInquiryEnded must be called.
bool takeInquiry(cold_rate &Rate, base::instant Now);
void noteInquiryEnded(cold_rate &Rate, base::instant Now);

/// How long until a token for \p Use is expected; nothing while this instance
/// may not send at all, or if the open transactions leave too few tokens.
std::optional<base::microseconds>
tokenExpected(const cold_rate &Rate, cold_use Use, base::instant Now);

/// How long a request that is not of an open transaction may wait for a token.
/// It holds a slot meanwhile, which the transactions whose ends free tokens may
/// need.
base::milliseconds longestTokenWait(const cold_rate &Rate);

/// How long until the endpoint is warm; 0 if it is.
base::milliseconds coldTimeLeft(const cold_rate &Rate, base::instant Now);

/// When to retry what was refused because of \p Rate.
base::milliseconds coldRetryAfter(const cold_rate &Rate, cold_use Use,
                                  base::instant Now);

/// The token reserved for the end of one transaction; returned unless spent.
class end_reserve {
public:
  end_reserve() = default;
  /// Precondition: takeToken has taken a token of \p Rate for a Begin.
  explicit end_reserve(cold_rate_ptr Rate)
      : Rate(std::move(Rate)), Term(this->Rate->Term) {}
  end_reserve(end_reserve &&) noexcept = default;
  end_reserve &operator=(end_reserve &&Other) noexcept {
    std::swap(Rate, Other.Rate);
    std::swap(Term, Other.Term);
    return *this;
  }
  ~end_reserve();
  explicit operator bool() const { return Rate != nullptr; }
  /// Uses the token, for a request that is sent at once. False if there is
  /// none, or if this instance may not send any more.
  bool spend(base::instant Now);

private:
  bool isValid() const { return Rate && Rate->Term == Term; }

  cold_rate_ptr Rate;
  std::uint64_t Term = 0;
};

/// \name The cold permission of one endpoint
/// @{
struct cold_permission_limits {
  /// How long the holder may send after it sent a renewal.
  base::milliseconds ValidFor{3000};
  base::milliseconds RenewAfter{1000};
  /// How long a version must be unchanged before another instance replaces it:
  /// ValidFor, and room for clocks that run at different rates.
  base::milliseconds TakeoverAfter{3200};
};

/// What one instance knows of the row. Not thread safe.
struct cold_permission {
  /// The version that this instance wrote; nothing when it is not the holder
  /// or does not know.
  std::optional<std::uint64_t> OwnVersion;
  /// When the last successful write was sent.
  std::optional<base::instant> RenewedAt;
  /// Another holder's version, and when it was first seen.
  std::uint64_t SeenVersion = 0;
  std::optional<base::instant> SeenSince;
};

enum class permission_step { None, Read, Write, Release };

/// What to do next for the row of a cold endpoint; \p Wanted: this instance is
/// to send to it.
permission_step nextStep(const cold_permission &Permission, bool Wanted,
                         const cold_permission_limits &Limits,
                         base::instant Now);

/// Records a read that found \p Version (0: no row) and whether this process
/// wrote it (\p Mine). The version under whose condition this instance may
/// write the row now; nothing while another instance may still send.
std::optional<std::uint64_t>
onPermissionRead(cold_permission &Permission, std::uint64_t Version, bool Mine,
                 const cold_permission_limits &Limits, base::instant Now);

/// Records a write that was sent at \p Sent and made \p Version; nothing if it
/// failed or its outcome is not known.
void onPermissionWritten(cold_permission &Permission,
                         std::optional<std::uint64_t> Version,
                         base::instant Sent);

/// Until when this instance may send; nothing if it may not.
std::optional<base::instant> sendUntil(const cold_permission &Permission,
                                       const cold_permission_limits &Limits);
/// @}

} // namespace redwinggw::session
