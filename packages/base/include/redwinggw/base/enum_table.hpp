#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

/// Tables that pair the values of an `enum class` with their names.
namespace redwinggw::base {

/// One row of such a table.
template <typename Enum> struct enum_name {
  Enum Value;
  std::string_view Name;
};

/// The name of \p Value, or "?" when the table has no row for it.
/// Thread safe: the table is constant.
template <typename Enum, std::size_t Size>
constexpr std::string_view
nameOf(const std::array<enum_name<Enum>, Size> &Table, Enum Value) {
  const auto *Row = std::ranges::find(Table, Value, &enum_name<Enum>::Value);
  return Row == Table.end() ? std::string_view("?") : Row->Name;
}

/// The value called \p Name, or nothing when no row has that name.
/// Thread safe: the table is constant.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum>
valueOf(const std::array<enum_name<Enum>, Size> &Table, std::string_view Name) {
  const auto *Row = std::ranges::find(Table, Name, &enum_name<Enum>::Name);
  if (Row == Table.end())
    return std::nullopt;
  return Row->Value;
}

} // namespace redwinggw::base
