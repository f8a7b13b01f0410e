#include "store.hpp"

#include <vector>

namespace review {
namespace {

constexpr std::string_view Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string unescape(std::string_view Text) {
  std::string Out;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] == '%' && At + 2 < Text.size()) {
      Out += static_cast<char>(
          std::stoi(std::string(Text.substr(At + 1, 2)), nullptr, 16));
      At += 2;
    } else {
      Out += Text[At];
    }
  }
  return Out;
}

std::map<std::string, std::string> readQuery(std::string_view Query) {
  std::map<std::string, std::string> Fields;
  while (!Query.empty()) {
    const std::string_view Field = Query.substr(0, Query.find('&'));
    Query.remove_prefix(std::min(Query.size(), Field.size() + 1));
    const std::size_t Equals = Field.find('=');
    if (Equals != std::string_view::npos)
      Fields[std::string(Field.substr(0, Equals))] =
          unescape(Field.substr(Equals + 1));
  }
  return Fields;
}

std::int64_t steadyMilliseconds() {
  return std::chrono::duration_cast<ms>(steady::now().time_since_epoch())
      .count();
}

std::string textAt(const json::value &Value, const char *Name) {
  return std::string(Value.at(Name).as_string());
}

} // namespace

std::string toBase64(std::string_view Bytes) {
  std::string Out;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    unsigned Group = 0;
    for (std::size_t Index = 0; Index < 3; ++Index)
      Group = Group << 8U | (At + Index < Bytes.size()
                                 ? static_cast<unsigned char>(Bytes[At + Index])
                                 : 0U);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Out += At + Index <= Bytes.size()
                 ? Alphabet[Group >> (18U - 6U * Index) & 63U]
                 : '=';
  }
  return Out;
}

std::string fromBase64(std::string_view Text) {
  std::string Out;
  unsigned Group = 0;
  unsigned Bits = 0;
  for (const char Character : Text) {
    const std::size_t Digit = Alphabet.find(Character);
    if (Digit == std::string_view::npos)
      continue;
    Group = Group << 6U | static_cast<unsigned>(Digit);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Out += static_cast<char>(Group >> Bits & 255U);
    }
  }
  return Out;
}

void store::put(const std::string &Table, const std::string &Key,
                std::string Value) {
  Rows[{Table, Key}] = {std::move(Value), ++Version};
}

void store::remove(const std::string &Table, const std::string &Key) {
  if (Rows.erase({Table, Key}) != 0)
    ++Version;
}

json::object store::describe(const std::string &Table,
                             const std::string &Key) const {
  const auto Found = Rows.find({Table, Key});
  json::object Row{
      {"table", Table}, {"part", ""}, {"key", Key}, {"record_version", 0}};
  if (Found != Rows.end()) {
    Row["record_version"] = Found->second.Version;
    Row["value"] = toBase64(Found->second.Value);
  }
  return Row;
}

response store::get(std::string_view Query) {
  const auto Fields = readQuery(Query);
  const std::string Table = Fields.contains("table") ? Fields.at("table") : "";
  const std::string From = Fields.contains("from") ? Fields.at("from") : "";
  const std::string To = Fields.contains("to") ? Fields.at("to") : "";
  json::array Found;
  for (auto At = Rows.lower_bound({Table, From});
       At != Rows.end() && At->first.first == Table &&
       (To.empty() || At->first.second < To);
       ++At)
    Found.push_back(describe(Table, At->first.second));
  return {200, json::serialize(json::object{{"rows", std::move(Found)},
                                            {"has_more", false},
                                            {"record_version", Version},
                                            {"now_ms", steadyMilliseconds()}})};
}

response store::transact(std::string_view Body) {
  const json::value Call = json::parse(Body);
  const auto List = [&](const char *Name) {
    const json::value *Value = Call.as_object().if_contains(Name);
    return Value == nullptr ? json::array() : Value->as_array();
  };
  bool Holds = true;
  json::array Present;
  for (const json::value &Row : List("expect")) {
    const auto Found = Rows.find({textAt(Row, "table"), textAt(Row, "key")});
    const std::uint64_t Has = Found == Rows.end() ? 0 : Found->second.Version;
    Holds = Holds && Has == Row.at("record_version").to_number<std::uint64_t>();
    Present.push_back(describe(textAt(Row, "table"), textAt(Row, "key")));
  }
  if (!Holds)
    return {412,
            json::serialize(json::object{{"rows", std::move(Present)},
                                         {"record_version", Version},
                                         {"now_ms", steadyMilliseconds()}})};
  ++Version;
  for (const json::value &Row : List("writes")) {
    const std::string Value = fromBase64(textAt(Row, "value"));
    Rows[{textAt(Row, "table"), textAt(Row, "key")}] = {Value, Version};
    if (OnWrite)
      OnWrite(textAt(Row, "table"), textAt(Row, "key"), Value);
  }
  for (const json::value &Row : List("remove"))
    Rows.erase({textAt(Row, "table"), textAt(Row, "key")});
  return {200, json::serialize(json::object{{"record_version", Version},
                                            {"now_ms", steadyMilliseconds()}})};
}

response store::handle(std::string_view Method, std::string_view Target,
                       std::string_view Body) {
  const std::size_t Question = Target.find('?');
  const std::string_view Path = Target.substr(0, Question);
  if (Method == "GET" && Path == "/v1/rows-get")
    return get(Question == std::string_view::npos
                   ? std::string_view()
                   : Target.substr(Question + 1));
  if (Method == "POST" && Path == "/v1/rows-tx")
    return transact(Body);
  return {404, "{}"};
}

} // namespace review
