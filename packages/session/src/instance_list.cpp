#include "redwinggw/session/instance_list.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <exception>
#include <iterator>

namespace redwinggw::session {
namespace {

namespace json = boost::json;

/// Throws if \p Value is not an instance.
storage::listed_instance instanceOf(const json::value &Value) {
  const json::array &Fields = Value.as_array();
  storage::listed_instance Instance;
  Instance.Name = Fields.at(0).as_string();
  Instance.Zone = Fields.at(1).as_string();
  Instance.Peers = http::parseAddress(Fields.at(2).as_string()).value();
  Instance.Capacity = Fields.at(3).to_number<double>();
  return Instance;
}

} // namespace

std::string
encodeInstances(const std::vector<storage::listed_instance> &Instances) {
  json::array List;
  List.reserve(Instances.size());
  for (const storage::listed_instance &Instance : Instances)
    List.push_back(json::array{Instance.Name, Instance.Zone,
                               toText(Instance.Peers), Instance.Capacity});
  return json::serialize(List);
}

std::optional<std::vector<storage::listed_instance>>
decodeInstances(std::string_view Text) {
  try {
    std::vector<storage::listed_instance> Instances;
    const json::value List = json::parse(Text);
    std::ranges::transform(List.as_array(), std::back_inserter(Instances),
                           instanceOf);
    return Instances;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace redwinggw::session
