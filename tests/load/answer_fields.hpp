#pragma once

#include "session.hpp"

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

/// Fields of the callers' requests and answers.
namespace redwinggw::load {

/// Counter rows of an answer; none when it has no rows.
std::vector<counter_row> rowsOf(const boost::json::object &Body);

/// A text field, empty when it is missing.
std::string textAt(const boost::json::object &Object, std::string_view Key);

/// Gives a write its id and the time of its first try.
void addRequestId(boost::json::object &Body);

} // namespace redwinggw::load
