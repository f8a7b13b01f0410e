#include "redwinggw/control/config_rows.hpp"

#include "redwinggw/base/digest.hpp"
#include "redwinggw/control/sheet.hpp"

#include <boost/json.hpp>

namespace redwinggw::control {
namespace {

namespace json = boost::json;
using base::errc;
using base::failure;
using base::result;

constexpr std::size_t VersionDigits = 12;

template <typename Value, typename Read>
result<Value> readRow(const storage::row &Row, Read ReadValue) {
  try {
    return Value(ReadValue(json::parse(Row.Value)));
  } catch (const std::exception &Error) {
    return failure(errc::BadMessage, "row " + Row.Key + ": " + Error.what());
  }
}

std::string textOf(const json::value &Value, std::string_view Name) {
  return std::string(Value.at(Name).as_string());
}

} // namespace

std::string sheetKey(base::config_version Version) {
  const std::string Digits = std::to_string(Version);
  const std::size_t Missing =
      VersionDigits - std::min(VersionDigits, Digits.size());
  return "config/sheet/" + std::string(Missing, '0') + Digits;
}

std::string encode(const config_head &Head) {
  const json::object Value{{"version", Head.Version},
                           {"submission", Head.Submission}};
  return json::serialize(Value);
}

std::string encode(const accepted_sheet &Sheet) {
  const json::object Value{{"version", Sheet.Version},
                           {"submission", Sheet.Submission},
                           {"digest", Sheet.Digest},
                           {"accepted_at", Sheet.AcceptedAt},
                           {"sheet", Sheet.Text}};
  return json::serialize(Value);
}

result<config_head> headOf(const storage::row &Row) {
  if (Row.Version == 0)
    return config_head{};
  return readRow<config_head>(Row, [&](const json::value &Value) {
    return config_head{Value.at("version").to_number<base::config_version>(),
                       textOf(Value, "submission"), Row.Version};
  });
}

result<std::optional<accepted_sheet>> sheetOf(const storage::row &Row) {
  if (Row.Version == 0)
    return std::optional<accepted_sheet>();
  auto Sheet = readRow<accepted_sheet>(Row, [&](const json::value &Value) {
    return accepted_sheet{Value.at("version").to_number<base::config_version>(),
                          textOf(Value, "submission"), textOf(Value, "digest"),
                          textOf(Value, "sheet"),
                          Value.at("accepted_at").as_int64()};
  });
  if (!Sheet)
    return Sheet.error();
  if (base::sha256Hex(Sheet->Text) != Sheet->Digest)
    return failure(errc::BadMessage, "row " + Row.Key + ": digest differs");
  return std::optional(std::move(*Sheet));
}

result<configuration> configurationOf(const accepted_sheet &Sheet) {
  sheet_parse_result Parsed = parseSheet(Sheet.Text);
  if (!Parsed.Configuration)
    return failure(errc::BadSheet, "version " + std::to_string(Sheet.Version) +
                                       ": " + describe(Parsed.Faults.front()));
  Parsed.Configuration->Version = Sheet.Version;
  return std::move(*Parsed.Configuration);
}

} // namespace redwinggw::control
