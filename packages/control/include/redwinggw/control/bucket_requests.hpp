#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/demand_shares.hpp"
#include "redwinggw/control/membership.hpp"

#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

/// Where an instance asks for a token of a centralized bucket when the owner
/// does not answer, in a fleet with reserves; see bucket_reserve.hpp. Decisions
/// without I/O.
namespace redwinggw::control {

/// Whom to ask for a token.
enum class token_source {
  /// The bucket's owner.
  Owner,
  /// The owner, through a relay that hears it.
  Relay,
  /// The owner's successor, which may be this instance.
  Reserve,
};

/// An instance that left requests without an answer.
struct unanswered_requests {
  /// When the first and the last one without an answer were sent, since the
  /// last answer and without a pause after which they are forgotten.
  base::instant Since;
  base::instant LastAt;
  /// When it last answered through a relay since then, and through which one.
  std::optional<base::instant> RelayedAt;
  base::instance_name RelayedBy;
};

/// Not thread safe.
struct bucket_requests {
  std::map<base::instance_name, unanswered_requests, std::less<>> Unanswered;
  /// When the last request to an owner through a relay was sent that was not
  /// answered, by the names of the relay and the owner.
  std::map<std::pair<base::instance_name, base::instance_name>, base::instant>
      UnansweredRelays;
};

/// For this long after an unanswered request others are asked first.
constexpr base::milliseconds OwnerSkipTime{200};

/// The same while the owner answers through a relay.
constexpr base::milliseconds RelayedOwnerSkipTime{2000};

/// Requests without an answer are forgotten after this time without another
/// one: an instance that was heard since then may have died later. Shorter
/// times forget owners that cannot be reached where operations are rare.
constexpr base::milliseconds UnansweredTimeout{3000};

/// The same where the instance has answered through a relay since. Longer, as
/// it was alive then, and each new start takes tokens of the reserve where
/// operations are rare.
constexpr base::milliseconds RelayedTimeout{5000};

/// For this long a relay through which there was no answer is not asked for the
/// same owner.
constexpr base::milliseconds RelaySkipTime{2000};

/// Records whether \p Instance answered a request that was sent at \p Sent.
void noteRequest(bucket_requests &Requests, std::string_view Instance,
                 bool Answered, base::instant Sent);

/// Records whether \p Owner answered a request that was sent through \p Relay
/// at \p Sent.
void noteRelayedRequest(bucket_requests &Requests, std::string_view Relay,
                        std::string_view Owner, bool Answered,
                        base::instant Sent);

/// The relay through which to ask \p Owner; null unless a relay has heard the
/// owner since it left a request of this instance without an answer: the way to
/// a dead owner would only delay operations. Relays that this instance hears
/// itself come first, then those of other zones, and those of the owner's zone
/// last; where one of a zone got no answer, the whole zone may be cut off from
/// the owner, and its others come last. The one that got the last answer is
/// asked again.
const member *bucketRelay(const bucket_requests &Requests,
                          const membership &Membership, const member &Owner,
                          base::instant Now);

/// Whom to ask in turn until one has answered. \p Relay may be null; \p
/// Successor is null when this instance is the successor, or nobody is.
std::vector<token_source> planRequests(const bucket_requests &Requests,
                                       const member &Owner, const member *Relay,
                                       const member *Successor,
                                       base::instant Now);

/// How long it takes from now until a token of \p Customer can be expected,
/// where neither its bucket's owner nor a reserve has granted one.
base::microseconds tokenExpected(const bucket_requests &Requests,
                                 const demand_shares &Shares,
                                 const membership &Membership,
                                 std::string_view Customer, base::instant Now);

/// The same where a reserve has granted none and has a token after \p
/// ReserveWait. This time counts where the owner is alive and no relay to it
/// can be asked: nothing else grants a token then.
base::microseconds
waitBesideReserve(const bucket_requests &Requests, const demand_shares &Shares,
                  const membership &Membership, std::string_view Customer,
                  base::microseconds ReserveWait, base::instant Now);

} // namespace redwinggw::control
