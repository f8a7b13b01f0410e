#pragma once

#include "settings.hpp"

#include <span>
#include <string>
#include <string_view>

/// The keys of the settings, with what each allows. Internal to settings.
namespace redwinggw {

/// Sets the field of a key; false when the value is not allowed.
using setter = bool (*)(settings &, const std::string &);

/// With which kind of platform a key without a default is required.
enum class needed { Always, Own, Native };

/// One key of the file.
struct key_row {
  std::string_view Key;
  /// Empty when the key is required.
  std::string_view Default;
  std::string_view Allowed;
  std::string_view Meaning;
  setter Set;
  needed Needed = needed::Always;
};

/// All keys, in the order of the help text. Thread safe.
std::span<const key_row> settingKeys();

/// \name Values that keys and sections have in common
/// The functions set \p Field to \p Text; false when it is no name, and with
/// setOptionalName not empty either. Thread safe.
/// @{
bool setName(std::string &Field, const std::string &Text);
bool setOptionalName(std::string &Field, const std::string &Text);
constexpr const char *NameAllowed = "1 to 64 letters, digits, '-', '_', '.'";
constexpr const char *OptionalNameAllowed =
    "1 to 64 letters, digits, '-', '_', '.', or empty";
/// @}

} // namespace redwinggw
