#include "native/row_table.hpp"

#include "redwinggw/base/base64.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace redwinggw::standin {
namespace {

namespace json = boost::json;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusPrecondition = 412;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;

/// A query parameter, percent-decoded.
std::string parameter(const std::string &Query, const std::string &Name) {
  const std::size_t At = ("&" + Query).find("&" + Name + "=");
  if (At == std::string::npos)
    return {};
  const std::size_t Begin = At + Name.size() + 1;
  const std::string Text = Query.substr(Begin, Query.find('&', Begin) - Begin);
  std::string Value;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    constexpr int Base = 16;
    if (Text[Index] == '%' && Index + 2 < Text.size()) {
      Value += static_cast<char>(
          std::stoi(Text.substr(Index + 1, 2), nullptr, Base));
      Index += 2;
    } else {
      Value += Text[Index];
    }
  }
  return Value;
}

http::response answer(unsigned Status, json::object Body) {
  http::response Response;
  Response.Status = Status;
  Body["now_ms"] = 1;
  Response.Body = json::serialize(Body);
  return Response;
}

std::string textAt(const json::value &Value, const char *Name) {
  return std::string(Value.at(Name).as_string());
}

} // namespace

http::response row_table::handle(const http::request &Request,
                                 const row_view &View) {
  ++Calls;
  if (Down)
    return answer(StatusUnavailable, {});
  const std::size_t Mark = Request.Target.find('?');
  const std::string Path = Request.Target.substr(0, Mark);
  if (Path == "/v1/rows-get")
    return read(Request.Target.substr(Mark + 1), View);
  if (Path == "/v1/rows-tx")
    return commit(json::parse(Request.Body).as_object());
  return answer(StatusNotFound, {});
}

http::response row_table::read(const std::string &Query,
                               const row_view &View) const {
  const std::string Table = parameter(Query, "table");
  const std::string From = parameter(Query, "from");
  const std::string To = parameter(Query, "to");
  json::array Found;
  bool HasMore = false;
  for (const auto &[Key, Row] : Rows) {
    const auto &[RowTable, Name] = Key;
    if (RowTable != Table || Name < From || (!To.empty() && Name >= To))
      continue;
    HasMore = Found.size() == PageSize;
    if (HasMore)
      break;
    const std::string Value = View ? View(Name, Row.Value) : Row.Value;
    Found.push_back(json::object{{"table", Table},
                                 {"part", ""},
                                 {"key", Name},
                                 {"value", base::toBase64(Value)},
                                 {"record_version", Row.Version}});
  }
  return answer(StatusOk, {{"rows", std::move(Found)},
                           {"has_more", HasMore},
                           {"record_version", Version}});
}

http::response row_table::commit(const json::object &Body) {
  const auto KeyOf = [](const json::value &Entry) {
    return row_key{textAt(Entry, "table"), textAt(Entry, "key")};
  };
  for (const json::value &Expected : Body.at("expect").as_array()) {
    const auto Found = Rows.find(KeyOf(Expected));
    const std::uint64_t Present =
        Found == Rows.end() ? 0 : Found->second.Version;
    if (Present != Expected.at("record_version").to_number<std::uint64_t>())
      return answer(StatusPrecondition, {{"rows", json::array()}});
  }
  ++Version;
  for (const json::value &Entry : Body.at("writes").as_array())
    Rows[KeyOf(Entry)] = {base::fromBase64(textAt(Entry, "value")).value_or(""),
                          Version};
  for (const json::value &Entry : Body.at("remove").as_array())
    Rows.erase(KeyOf(Entry));
  return answer(StatusOk, {{"record_version", Version}});
}

void row_table::put(const std::string &Table, const std::string &Key,
                    const std::string &Value) {
  Rows[{Table, Key}] = {Value, ++Version};
}

void row_table::remove(const std::string &Table, const std::string &Key) {
  ++Version;
  Rows.erase({Table, Key});
}

std::string row_table::value(const std::string &Table,
                             const std::string &Key) const {
  const auto Found = Rows.find({Table, Key});
  return Found == Rows.end() ? std::string() : Found->second.Value;
}

} // namespace redwinggw::standin
