#pragma once

#include "platform_instance_state.hpp"

#include "redwinggw/session/promotion_evidence.hpp"

/// Which endpoints of a service may hold acknowledged commits. Used from one
/// thread.
namespace redwinggw {

/// Replicas of \p Service that hold a commit before it is acknowledged, by the
/// configuration in force. Precondition: there is one.
unsigned synchronousReplicas(const platform_instance_state &State,
                             const base::service_name &Service);

/// The record of the holders of \p Claim's service, with those that are listed.
session::holder_record recordedHolders(const platform_instance_state &State,
                                       const session::primary_claim &Claim);

/// The holders of \p Record that are to be asked though they are not listed.
/// None if the service has no synchronous replicas.
std::vector<base::endpoint_name>
holdersToAsk(const platform_instance_state &State,
             const session::holder_record &Record);

/// The endpoints that may hold acknowledged commits of \p Claim's service, of
/// which none has answered yet: the old primary, also if nobody knows which it
/// is, those that are listed and those that are recorded.
std::vector<session::log_holder> holdersOf(const platform_instance_state &State,
                                           const session::primary_claim &Claim);

/// The primary of \p Service that is recorded and not listed any more. Empty if
/// there is none, as in a service without synchronous replicas.
base::endpoint_name recordedPrimary(const platform_instance_state &State,
                                    std::string_view Service);

/// Applies the row \p Key if it records the holders of a service.
void acceptHolderRow(platform_instance_state &State,
                     const platform::table_row &Row);

/// Keeps the records of all services with synchronous replicas up to date.
/// Does nothing unless this instance is the store reader. Precondition: a
/// configuration is in force.
void maintainHolders(const platform_instance_ptr &State);

} // namespace redwinggw
