#pragma once

#include "redwinggw/control/demand_shares.hpp"

#include <map>
#include <optional>
#include <string_view>

/// Tokens of a customer's rate that instances lend each other. Decisions
/// without I/O.
///
/// The load it answers: callers come by chance, move from one instance to
/// another, and come all at once after a restart, while an instance's part of
/// the rate follows its demand of the last seconds. One bucket is empty while
/// another one overflows, and a customer is refused inside its rate. A token
/// that is lent leaves the one bucket before it enters the other: lost or late
/// on its way it is lost for good, so that all buckets together never hold
/// more for it.
namespace redwinggw::control {

struct transfer_limits {
  /// While a request may still be answered no other one leaves.
  base::milliseconds AnswerTimeout{20};
  /// An instance that had none is passed over until its next
  /// heartbeat tells what it has.
  base::milliseconds SkipTime{200};
  /// Borrowed tokens that may stand beyond a flat bucket's depth.
  double TransferRoom = 2;
  /// Tokens that one request asks for at most.
  double MaxTokens = 8;
  /// The need of so long ahead is asked for too.
  base::milliseconds Ahead{100};
};

/// What one instance remembers of its requests. Not thread safe.
struct token_transfers {
  transfer_limits Limits;
  /// What is known of the loans of one customer's tokens.
  struct customer_requests {
    /// An answer may still come until then.
    base::instant PendingUntil;
    /// Instances that had none, and until when they are passed over.
    std::map<base::instance_name, base::instant, std::less<>> Skipped;
  };
  std::map<base::customer_name, customer_requests, std::less<>> Requests;
};

/// Whom to ask, and for how much.
struct transfer_request {
  base::instance_name Donor;
  double Tokens = 0;
};

/// The instance that told of the most spare tokens of \p Customer. Nothing
/// while the last request may be answered, or when nobody has any. \p Missing:
/// what the operation lacks here.
std::optional<transfer_request>
requestTransfer(token_transfers &Transfers, const demand_shares &Shares,
                const membership &Membership, std::string_view Customer,
                double Missing, base::instant Now);

/// Takes up to \p Wanted spare tokens out of the own bucket, to be lent.
double withdrawSpareTokens(demand_shares &Shares, std::string_view Customer,
                           double Wanted, base::instant Now);

/// Puts what \p Donor has lent into the own bucket, as far as it has room.
void depositTokens(token_transfers &Transfers, demand_shares &Shares,
                   std::string_view Donor, std::string_view Customer,
                   double Tokens, base::instant Now);

} // namespace redwinggw::control
