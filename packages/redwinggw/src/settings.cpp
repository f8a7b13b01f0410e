#include "settings.hpp"

#include "setting_keys.hpp"

#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

namespace redwinggw {
namespace {

using base::errc;
using base::failure;
using base::result;

constexpr std::size_t ShortestSecret = 16;

/// A line of the file that sets a key.
struct assignment {
  std::string Key;
  std::string Value;
  /// "file:line", or "option".
  std::string Location;
};

struct parse_state {
  std::vector<assignment> Assignments;
  std::vector<std::string> Faults;
};

std::string malformedLine(const std::string &Location,
                          const std::string &Line) {
  return Location + ": '" + Line + "' is neither [section] nor key = value";
}

/// Splits the file into assignments. Boost.Program_options parses the same
/// format, but does not report the line of a value.
void readLines(parse_state &State, const std::string &Text,
               const std::string &Name) {
  std::istringstream Stream(Text);
  std::string Section;
  std::string Line;
  for (int Number = 1; std::getline(Stream, Line); ++Number) {
    const std::string Location = Name + ":" + std::to_string(Number);
    boost::algorithm::trim(Line);
    if (Line.empty() || Line.front() == '#' || Line.front() == ';')
      continue;
    if (Line.front() == '[' && Line.back() == ']') {
      Section = Line.substr(1, Line.size() - 2);
      continue;
    }
    const std::size_t Equals = Line.find('=');
    if (Equals == std::string::npos) {
      State.Faults.push_back(malformedLine(Location, Line));
      continue;
    }
    std::string Key = Section;
    Key.append(".").append(Line, 0, Equals);
    std::string Value = Line.substr(Equals + 1);
    boost::algorithm::trim(Key);
    boost::algorithm::trim(Value);
    State.Assignments.push_back({Key, Value, Location});
  }
}

constexpr std::string_view ZoneSection = "zones.";

/// A line of [zones]. A zone without a region is not given.
void applyZone(parse_state &State, settings &Settings,
               const assignment &Assignment) {
  std::string Zone;
  std::string Region;
  const std::string Name = Assignment.Key.substr(ZoneSection.size());
  if (!setName(Zone, Name) || !setOptionalName(Region, Assignment.Value)) {
    State.Faults.push_back(
        Assignment.Location + ": '" + Name + " = " + Assignment.Value +
        "' is not allowed in [zones]; allowed: NAME = REGION, each " +
        std::string(NameAllowed) + "; REGION may be empty");
    return;
  }
  if (Region.empty())
    return;
  const bool New = Settings.Zones.insert_or_assign(Zone, Region).second;
  if (!New && Assignment.Location != "option")
    State.Faults.push_back(Assignment.Location + ": zone '" + Zone +
                           "' is given twice; keep one");
}

/// The region of this instance's zone may be given in two places.
void joinRegions(parse_state &State, settings &Settings,
                 const std::string &Name) {
  if (Settings.Region.empty())
    return;
  const auto [At, New] = Settings.Zones.emplace(Settings.Zone, Settings.Region);
  if (!New && At->second != Settings.Region)
    State.Faults.push_back(Name + ": 'instance.region' is '" + Settings.Region +
                           "', but [zones] has '" + At->second +
                           "' for zone '" + Settings.Zone +
                           "'; give the same region, or leave one out");
}

void apply(parse_state &State, settings &Settings,
           std::set<std::string_view> &Given, const assignment &Assignment) {
  if (Assignment.Key.starts_with(ZoneSection)) {
    applyZone(State, Settings, Assignment);
    return;
  }
  const auto Keys = settingKeys();
  const auto Row =
      std::ranges::find(Keys, std::string_view(Assignment.Key), &key_row::Key);
  if (Row == Keys.end()) {
    State.Faults.push_back(Assignment.Location + ": unknown key '" +
                           Assignment.Key +
                           "'; redwinggw --help lists the keys");
    return;
  }
  const bool Repeated = !Given.insert(Row->Key).second;
  if (Repeated && Assignment.Location != "option")
    State.Faults.push_back(Assignment.Location + ": key '" + Assignment.Key +
                           "' is given twice; keep one");
  if (!Row->Set(Settings, Assignment.Value))
    State.Faults.push_back(Assignment.Location + ": '" + Assignment.Value +
                           "' is not allowed for '" + Assignment.Key +
                           "'; allowed: " + std::string(Row->Allowed));
}

bool isNeeded(const key_row &Row, platform_kind Kind) {
  if (!Row.Default.empty())
    return false;
  const needed OfKind =
      Kind == platform_kind::Own ? needed::Own : needed::Native;
  return Row.Needed == needed::Always || Row.Needed == OfKind;
}

void reportMissing(parse_state &State, const std::set<std::string_view> &Given,
                   const std::string &Name, platform_kind Kind) {
  for (const key_row &Row : settingKeys())
    if (isNeeded(Row, Kind) && !Given.contains(Row.Key))
      State.Faults.push_back(
          Name + ": key '" + std::string(Row.Key) +
          "' is missing; allowed: " + std::string(Row.Allowed));
}

std::string joined(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const std::string &Line : Lines)
    Text += (Text.empty() ? "" : "\n") + Line;
  return Text;
}

} // namespace

result<settings> parseSettings(const std::string &Text, const std::string &Name,
                               const std::vector<settings_override> &Set) {
  parse_state State;
  readLines(State, Text, Name);
  for (const settings_override &Override : Set)
    State.Assignments.push_back({Override.Key, Override.Value, "option"});
  settings Settings;
  std::set<std::string_view> Given;
  for (const assignment &Assignment : State.Assignments)
    apply(State, Settings, Given, Assignment);
  reportMissing(State, Given, Name, Settings.Kind);
  joinRegions(State, Settings, Name);
  if (Settings.ColdOvershoot.has_value() != Settings.ColdSlack.has_value())
    State.Faults.push_back(
        Name + ": 'endpoints.cold_overshoot' and 'endpoints.cold_slack' belong "
               "together; give both or leave both empty");
  if (!State.Faults.empty())
    return failure(errc::BadSettings, joined(State.Faults));
  return Settings;
}

result<std::string> readSecret(const std::string &File) {
  std::ifstream Stream(File);
  std::ostringstream Content;
  Content << Stream.rdbuf();
  std::string Secret = Content.str();
  boost::algorithm::trim(Secret);
  if (!Stream || Secret.size() < ShortestSecret)
    return failure(errc::BadSettings,
                   File + " must hold a secret of at least 16 characters");
  return Secret;
}

std::string settingsTable() {
  std::string Text;
  for (const key_row &Row : settingKeys()) {
    const std::string Default =
        Row.Default.empty() ? "required" : std::string(Row.Default);
    Text += "  " + std::string(Row.Key) + " (" + Default +
            "): " + std::string(Row.Meaning) + "; " + std::string(Row.Allowed) +
            "\n";
  }
  Text += "  zones.NAME (none): region of the availability zone NAME; " +
          std::string(OptionalNameAllowed) + "\n";
  return Text;
}

} // namespace redwinggw
