#pragma once

#include "endpoint/replica.hpp"

#include <boost/json/object.hpp>

#include <string_view>

/// JSON encoding of the endpoint's messages, specified in docs/ENDPOINTS.md.
/// Decoding throws std::exception if the body is malformed. Thread safe.
namespace redwinggw::standin {

data::run_request runOf(const boost::json::object &Body);

boost::json::object objectOf(const data::endpoint_state &State,
                             std::string_view Group);

/// A replication message with at most \p Count entries of \p Sender's log after
/// position \p From.
boost::json::object replicateBody(const replica &Sender,
                                  base::log_position From, std::size_t Count);

replicate_message replicateOf(const boost::json::object &Body);

} // namespace redwinggw::standin
