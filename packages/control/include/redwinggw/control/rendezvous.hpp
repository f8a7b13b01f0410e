#pragma once

#include <cstdint>
#include <string_view>

/// Rendezvous hashing: for each key, every instance has a weight, and the one
/// with the highest weight owns the key. All that know the same instances
/// agree, and when an instance goes, only the keys that it owned move.
namespace redwinggw::control {

/// The hash of a key or an instance, from its name. The same on every machine.
/// Thread safe.
std::uint32_t rendezvousHash(std::string_view Name);

/// The weight of the instance with the hash \p Instance for the key with the
/// hash \p Key. Thread safe.
std::uint32_t rendezvousWeight(std::uint32_t Key, std::uint32_t Instance);

} // namespace redwinggw::control
