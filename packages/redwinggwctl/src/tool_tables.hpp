#pragma once

#include <boost/json/value.hpp>

#include <iosfwd>
#include <string>
#include <vector>

/// Output of JSON as text tables.
namespace redwinggw::ctl {

/// Prints \p Rows under \p Columns, each column as wide as it needs.
void printTable(std::ostream &Out, const std::vector<std::string> &Columns,
                const std::vector<std::vector<std::string>> &Rows);

/// Prints an array of objects as a table. The columns are the members in the
/// order of their first occurrence. A member that is an array of objects is
/// flattened: each of its elements becomes a row, with columns "member.name".
void printRows(std::ostream &Out, const boost::json::array &Rows);

/// Prints the members of an object: arrays of objects as tables, objects in
/// sections of their own, all others as lines.
void printObject(std::ostream &Out, const boost::json::object &Object);

} // namespace redwinggw::ctl
