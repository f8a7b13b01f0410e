#include "redwinggw/session/endpoint_list.hpp"

#include <boost/json.hpp>

#include <exception>
#include <utility>

namespace redwinggw::session {
namespace {

namespace json = boost::json;

std::string entryText(const endpoint_entry &Entry) {
  json::array Fields{
      Entry.Name,     Entry.Service,  toText(Entry.Address),
      Entry.Zone,     Entry.Slots,    Entry.Role == endpoint_role::Primary,
      Entry.Draining, Entry.StartedAt};
  // Other builds that do not know the cold time encode and read the other
  // fields only.
  if (Entry.ColdRemaining.count() != 0)
    Fields.push_back(Entry.ColdRemaining.count());
  return json::serialize(Fields);
}

/// Throws if \p Value is not an entry.
endpoint_entry entryOf(const json::value &Value) {
  const json::array &Fields = Value.as_array();
  endpoint_entry Entry;
  Entry.Name = Fields.at(0).as_string();
  Entry.Service = Fields.at(1).as_string();
  Entry.Address = http::parseAddress(Fields.at(2).as_string()).value();
  Entry.Zone = Fields.at(3).as_string();
  Entry.Slots = Fields.at(4).to_number<unsigned>();
  const bool IsPrimary = Fields.at(5).as_bool();
  Entry.Role = IsPrimary ? endpoint_role::Primary : endpoint_role::Replica;
  Entry.Draining = Fields.at(6).as_bool();
  Entry.StartedAt = Fields.at(7).to_number<std::int64_t>();
  if (const json::value *Cold = Fields.if_contains(8))
    Entry.ColdRemaining = base::milliseconds(Cold->to_number<std::int64_t>());
  return Entry;
}

} // namespace

std::vector<std::string>
encodeEndpoints(const std::vector<endpoint_entry> &Entries,
                std::size_t MaxBytes) {
  constexpr std::size_t Brackets = 2;
  std::vector<std::string> Texts;
  std::string Text;
  for (const endpoint_entry &Entry : Entries) {
    const std::string Next = entryText(Entry);
    const bool Fits = Text.size() + Next.size() + Brackets < MaxBytes;
    if (!Text.empty() && !Fits)
      Texts.push_back("[" + std::exchange(Text, {}) + "]");
    Text.append(Text.empty() ? "" : ",").append(Next);
  }
  Texts.push_back("[" + Text + "]");
  return Texts;
}

std::optional<std::vector<endpoint_entry>>
decodeEndpoints(std::string_view Text) {
  try {
    std::vector<endpoint_entry> Entries;
    const json::value List = json::parse(Text);
    for (const json::value &Value : List.as_array())
      Entries.push_back(entryOf(Value));
    return Entries;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace redwinggw::session
