#pragma once

#include <boost/json/value.hpp>

#include <iosfwd>
#include <string>
#include <vector>

/// Tables for people.
namespace redwinggw::ctl {

/// Prints \p Rows under \p Columns, each column as wide as it needs.
void printTable(std::ostream &Out, const std::vector<std::string> &Columns,
                const std::vector<std::vector<std::string>> &Rows);

/// Prints an array of objects as a table. Columns are the members in the order
/// in which they first come; of a member that is an array of objects, each row
/// becomes a row with "member." before its names.
void printRows(std::ostream &Out, const boost::json::array &Rows);

/// Prints the members of an object: objects and texts as lines, arrays of
/// objects as tables.
void printObject(std::ostream &Out, const boost::json::object &Object);

} // namespace redwinggw::ctl
