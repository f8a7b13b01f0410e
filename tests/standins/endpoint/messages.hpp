#pragma once

#include "endpoint/replica.hpp"

#include <boost/json/object.hpp>

#include <string_view>

/// The JSON form of the endpoint's messages; docs/ENDPOINTS.md. A body that is
/// not of that form throws std::exception. Thread safe.
namespace redwinggw::standin {

data::run_request runOf(const boost::json::object &Body);

boost::json::object objectOf(const data::endpoint_state &State,
                             std::string_view Group);

/// The part of \p Sender's log after \p From, at most \p Count entries.
boost::json::object replicateBody(const replica &Sender,
                                  base::log_position From, std::size_t Count);

replicate_message replicateOf(const boost::json::object &Body);

} // namespace redwinggw::standin
