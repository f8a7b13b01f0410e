#include "redwinggw/session/list_changes.hpp"

#include "redwinggw/session/endpoint_list.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <limits>
#include <set>
#include <stdexcept>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace redwinggw::session {
namespace {

namespace json = boost::json;

/// The entries of a list by their names.
std::unordered_map<std::string_view, const endpoint_entry *>
byName(const std::vector<endpoint_entry> &List) {
  std::unordered_map<std::string_view, const endpoint_entry *> Entries;
  for (const endpoint_entry &Entry : List)
    Entries.emplace(Entry.Name, &Entry);
  return Entries;
}

/// The changed entries. Throws if they cannot be read.
std::vector<endpoint_entry> entriesIn(const json::object &Changes) {
  auto Entries = decodeEndpoints(json::serialize(Changes.at("entries")));
  if (!Entries)
    throw std::invalid_argument("entries");
  return std::move(*Entries);
}

/// The list that results from \p Changes to \p List. Throws if they cannot be
/// read.
std::vector<endpoint_entry> changed(std::vector<endpoint_entry> List,
                                    const json::object &Changes) {
  const std::vector<endpoint_entry> Entries = entriesIn(Changes);
  const json::array &Positions = Changes.at("at").as_array();
  std::set<std::string_view> Replaced;
  for (const json::value &Name : Changes.at("gone").as_array())
    Replaced.insert(Name.as_string());
  for (const endpoint_entry &Entry : Entries)
    Replaced.insert(Entry.Name);
  std::erase_if(List, [&](const endpoint_entry &Entry) {
    return Replaced.contains(Entry.Name);
  });
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    const auto At = Positions.at(Index).to_number<std::size_t>();
    List.insert(List.begin() +
                    static_cast<std::ptrdiff_t>(std::min(At, List.size())),
                Entries[Index]);
  }
  return List;
}

} // namespace

std::string encodeChanges(const std::vector<endpoint_entry> &From,
                          const std::vector<endpoint_entry> &To) {
  const auto Before = byName(From);
  const auto After = byName(To);
  json::array Gone;
  for (const endpoint_entry &Entry : From)
    if (!After.contains(Entry.Name))
      Gone.emplace_back(Entry.Name);
  json::array Positions;
  std::vector<endpoint_entry> Entries;
  for (std::size_t Index = 0; Index < To.size(); ++Index) {
    const auto Known = Before.find(To[Index].Name);
    if (Known != Before.end() && *Known->second == To[Index])
      continue;
    Positions.emplace_back(Index);
    Entries.push_back(To[Index]);
  }
  const auto Texts =
      encodeEndpoints(Entries, std::numeric_limits<std::size_t>::max());
  return json::serialize(json::object{{"from", digestOf(From)},
                                      {"to", digestOf(To)},
                                      {"gone", std::move(Gone)},
                                      {"at", std::move(Positions)},
                                      {"entries", json::parse(Texts.front())}});
}

namespace {

/// \p To without the changes after the first \p Count of them: entries that
/// changed later are as in \p From, and new ones are missing.
std::vector<endpoint_entry>
withFirstChanges(const std::vector<endpoint_entry> &From,
                 const std::vector<endpoint_entry> &To, std::size_t Count) {
  const auto Before = byName(From);
  std::vector<endpoint_entry> List;
  std::size_t Changed = 0;
  for (const endpoint_entry &Entry : To) {
    const auto Known = Before.find(Entry.Name);
    const bool IsNew = Known == Before.end();
    const bool Differs = IsNew || *Known->second != Entry;
    Changed += Differs ? 1 : 0;
    if (!Differs || Changed <= Count)
      List.push_back(Entry);
    else if (!IsNew)
      List.push_back(*Known->second);
  }
  return List;
}

std::size_t countChanges(const std::vector<endpoint_entry> &From,
                         const std::vector<endpoint_entry> &To) {
  const auto Before = byName(From);
  return static_cast<std::size_t>(
      std::ranges::count_if(To, [&](const endpoint_entry &Entry) {
        const auto Known = Before.find(Entry.Name);
        return Known == Before.end() || *Known->second != Entry;
      }));
}

} // namespace

std::vector<std::string>
encodeChangesInParts(const std::vector<endpoint_entry> &From,
                     const std::vector<endpoint_entry> &To,
                     std::size_t MaxBytes) {
  std::string Whole = encodeChanges(From, To);
  const std::size_t Parts = 1 + Whole.size() / MaxBytes;
  if (Parts == 1)
    return {std::move(Whole)};
  // Entries differ in length, so one part more than by the mean.
  const std::size_t PerPart = 1 + countChanges(From, To) / (Parts + 1);
  std::vector<std::string> Texts;
  std::vector<endpoint_entry> Reached = From;
  for (std::size_t Count = PerPart; Reached != To; Count += PerPart) {
    std::vector<endpoint_entry> Next = withFirstChanges(From, To, Count);
    Texts.push_back(encodeChanges(Reached, Next));
    Reached = std::move(Next);
  }
  return Texts;
}

change_result applyChanges(std::vector<endpoint_entry> &List,
                           std::string_view Text) {
  try {
    const json::value Parsed = json::parse(Text);
    const json::object &Changes = Parsed.as_object();
    const auto To = Changes.at("to").to_number<std::uint32_t>();
    const std::uint32_t Held = digestOf(List);
    if (Held == To)
      return change_result::Known;
    if (Held != Changes.at("from").to_number<std::uint32_t>())
      return change_result::Unusable;
    std::vector<endpoint_entry> Result = changed(List, Changes);
    if (digestOf(Result) != To)
      return change_result::Unusable;
    List = std::move(Result);
    return change_result::Applied;
  } catch (const std::exception &) {
    return change_result::Unusable;
  }
}

} // namespace redwinggw::session
