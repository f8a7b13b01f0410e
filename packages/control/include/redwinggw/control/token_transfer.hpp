#pragma once

#include "redwinggw/control/demand_shares.hpp"

#include <map>
#include <optional>
#include <string_view>

/// Transfers of tokens of a customer's rate between instances. Decisions
/// without I/O.
///
/// The load that this is for: callers arrive at random, move from one instance
/// to another, and arrive all at once after a restart, while an instance's
/// share of the rate follows its demand of the last seconds. One bucket is
/// empty while another one overflows, and a customer is refused within its
/// rate. A transferred token leaves one bucket before it enters the other: if
/// it is lost or late in transit it is gone for good, so that all buckets
/// together never hold more because of it.
namespace redwinggw::control {

struct transfer_limits {
  /// No other request is sent while one may still be answered: for this long.
  base::milliseconds AnswerTimeout{20};
  /// An instance without spare tokens is skipped until its next heartbeat
  /// reports what it has.
  base::milliseconds SkipTime{200};
  /// Maximum of transferred tokens beyond the depth of a shallow bucket.
  double TransferRoom = 2;
  /// Maximum of tokens that one request asks for.
  double MaxTokens = 8;
  /// The demand expected within this time is requested too.
  base::milliseconds Ahead{100};
};

/// What one instance remembers of its requests. Not thread safe.
struct token_transfers {
  transfer_limits Limits;
  /// The state of the requests for one customer's tokens.
  struct customer_requests {
    /// Until then an answer may still come.
    base::instant PendingUntil;
    /// Instances without spare tokens, and until when they are skipped.
    std::map<base::instance_name, base::instant, std::less<>> Skipped;
  };
  std::map<base::customer_name, customer_requests, std::less<>> Requests;
};

/// Which instance to ask, and for how many tokens.
struct transfer_request {
  base::instance_name Donor;
  double Tokens = 0;
};

/// A request to the instance that reported the most spare tokens of \p
/// Customer. Nothing while the last request may still be answered, or when
/// nobody has any. \p Missing: tokens that the operation lacks here.
std::optional<transfer_request>
requestTransfer(token_transfers &Transfers, const demand_shares &Shares,
                const membership &Membership, std::string_view Customer,
                double Missing, base::instant Now);

/// Takes up to \p Wanted spare tokens out of the own bucket for a transfer.
double withdrawSpareTokens(demand_shares &Shares, std::string_view Customer,
                           double Wanted, base::instant Now);

/// Adds tokens transferred by \p Donor to the own bucket, as far as it has
/// room.
void depositTokens(token_transfers &Transfers, demand_shares &Shares,
                   std::string_view Donor, std::string_view Customer,
                   double Tokens, base::instant Now);

} // namespace redwinggw::control
