#pragma once

#include "session.hpp"

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

/// Reads and writes JSON fields of the callers' requests and answers.
namespace redwinggw::load {

/// Counter rows of an answer; empty when it has no "rows" array.
std::vector<counter_row> rowsOf(const boost::json::object &Body);

/// A text field; empty when it is missing or not a string.
std::string textAt(const boost::json::object &Object, std::string_view Key);

/// Adds the request id and the time of the first attempt, which the instances
/// need to deduplicate a retried write.
void addRequestId(boost::json::object &Body);

} // namespace redwinggw::load
