#include "answer_fields.hpp"

#include "redwinggw/base/ids.hpp"
#include "redwinggw/base/time.hpp"

#include <boost/json.hpp>

namespace redwinggw::load {

namespace json = boost::json;

std::vector<counter_row> rowsOf(const json::object &Body) {
  std::vector<counter_row> Rows;
  const json::value *Value = Body.if_contains("rows");
  if (!Value || !Value->is_array())
    return Rows;
  for (const json::value &Cell : Value->get_array()) {
    const json::array &Row = Cell.as_array();
    Rows.push_back({json::value_to<std::string>(Row.at(0)),
                    json::value_to<std::string>(Row.at(1)),
                    Row.at(2).to_number<std::uint64_t>()});
  }
  return Rows;
}

std::string textAt(const json::object &Object, std::string_view Key) {
  const json::value *Value = Object.if_contains(Key);
  return Value && Value->is_string() ? std::string(Value->get_string())
                                     : std::string();
}

void addRequestId(json::object &Body) {
  Body["request_id"] = base::randomId();
  Body["issued_at"] = base::wallMilliseconds();
}

} // namespace redwinggw::load
