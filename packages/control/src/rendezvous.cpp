#include "redwinggw/control/rendezvous.hpp"

#include "redwinggw/wire/message.hpp"

namespace redwinggw::control {
namespace {

/// Spreads the few differing bits of similar names over all bits: names of
/// instances differ in their last letter, and one instance would otherwise own
/// most keys.
std::uint32_t mixBits(std::uint32_t Hash) {
  constexpr std::uint32_t First = 0x85ebca6bU;
  constexpr std::uint32_t Second = 0xc2b2ae35U;
  Hash = (Hash ^ (Hash >> 16U)) * First;
  Hash = (Hash ^ (Hash >> 13U)) * Second;
  return Hash ^ (Hash >> 16U);
}

} // namespace

std::uint32_t rendezvousHash(std::string_view Name) {
  return mixBits(wire::hashOf(Name));
}

std::uint32_t rendezvousWeight(std::uint32_t Key, std::uint32_t Instance) {
  return mixBits(Key ^ Instance);
}

} // namespace redwinggw::control
