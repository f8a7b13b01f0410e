#pragma once

#include <cstdint>
#include <string_view>

/// Rendezvous hashing: each of several instances draws a number for a thing,
/// and the highest draw has it. All that know the same instances agree, and
/// only what an instance had moves when it goes.
namespace redwinggw::control {

/// The place of a thing, and of an instance, by its name. The same on every
/// machine. Thread safe.
std::uint32_t rendezvousHash(std::string_view Name);

/// What the instance at \p Instance draws for the thing at \p Key. Thread
/// safe.
std::uint32_t rendezvousWeight(std::uint32_t Key, std::uint32_t Instance);

} // namespace redwinggw::control
