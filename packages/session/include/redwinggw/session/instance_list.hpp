#pragma once

#include "redwinggw/storage/store.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The list of instances as one instance sends it to another one.
namespace redwinggw::session {

/// Thread safe.
std::string
encodeInstances(const std::vector<storage::listed_instance> &Instances);

/// Decodes the result of encodeInstances; nothing if it cannot be read. Thread
/// safe.
std::optional<std::vector<storage::listed_instance>>
decodeInstances(std::string_view Text);

} // namespace redwinggw::session
