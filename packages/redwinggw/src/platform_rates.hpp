#pragma once

#include "platform_instance_state.hpp"

/// Admission by customers' rates, with tokens of other instances.
namespace redwinggw {

/// Admits an operation by the customer's rate, with tokens of another instance
/// when the local ones do not suffice.
base::task<session::admission> admitOperation(platform_instance_state &State,
                                              std::string Customer,
                                              unsigned Priority,
                                              base::microseconds Patience);
/// Registers the handler of messages about tokens with the peer service.
void connectTokenTransfers(platform_instance_state &State);
/// Admits an operation by a bucket that another instance owns, or by a reserve.
/// \p Here is the verdict of this instance's own bucket.
base::task<control::demand_verdict>
admitByBucketOwner(platform_instance_state &State, std::string Customer,
                   unsigned Priority, base::microseconds Patience,
                   control::demand_verdict Here);
/// Handles a message about a centralized bucket; false when it is another one.
bool acceptBucketMessage(platform_instance_state &State,
                         const wire::datagram &Datagram,
                         const wire::share_message &Message);
/// Logs which customers were granted tokens from a reserve, at most once a
/// second for each.
void logReserveUse(platform_instance_state &State);
/// Counts tokens that were transferred between instances or granted.
void countTokens(platform_instance_state &State,
                 const base::customer_name &Customer, std::string_view Step,
                 double Tokens);

} // namespace redwinggw
