#pragma once

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"
#include "redwinggw/control/demand_shares.hpp"
#include "redwinggw/control/membership.hpp"

#include <map>
#include <string_view>
#include <vector>

/// Where an instance asks for a token of a centralized bucket when the owner
/// does not answer, in a fleet with reserves; see bucket_reserve.hpp. Decisions
/// without I/O.
namespace redwinggw::control {

/// Whom to ask for a token.
enum class token_source {
  /// The bucket's owner.
  Owner,
  /// The owner's successor, which may be this instance.
  Reserve,
};

/// An instance that left requests without an answer.
struct unanswered_requests {
  /// When the first and the last one without an answer were sent, since the
  /// last answer.
  base::instant Since;
  base::instant LastAt;
};

/// Not thread safe.
struct bucket_requests {
  std::map<base::instance_name, unanswered_requests, std::less<>> Unanswered;
};

/// For this long after an unanswered request others are asked first.
constexpr base::milliseconds OwnerSkipTime{200};

/// Records whether \p Instance answered a request that was sent at \p Sent.
void noteRequest(bucket_requests &Requests, std::string_view Instance,
                 bool Answered, base::instant Sent);

/// Whom to ask in turn until one has answered. \p Successor is null when this
/// instance is the successor, or nobody is.
std::vector<token_source> planRequests(const bucket_requests &Requests,
                                       const member &Owner,
                                       const member *Successor,
                                       base::instant Now);

/// How long it takes from now until a token of \p Customer can be expected,
/// where neither its bucket's owner nor a reserve has granted one.
base::microseconds tokenExpected(const bucket_requests &Requests,
                                 const demand_shares &Shares,
                                 const membership &Membership,
                                 std::string_view Customer, base::instant Now);

} // namespace redwinggw::control
