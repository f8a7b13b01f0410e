#include "owner_cost.hpp"

#include "redwinggw/control/rendezvous.hpp"

#include <algorithm>
#include <array>
#include <bit>

namespace redwinggw::session {
namespace {

/// \name Logarithms by integers
/// Those of the C library may differ in the last bit between builds, and two
/// instances would then choose different owners.
/// @{
constexpr unsigned FractionBits = 24;
constexpr unsigned TableBits = 8;
constexpr std::size_t TableSize = std::size_t{1} << TableBits;

/// log2(1 + Index / TableSize) in units of 2^-FractionBits, by repeated
/// squaring.
constexpr std::uint32_t tableEntry(std::size_t Index) {
  constexpr unsigned ValueBits = 30;
  constexpr std::uint64_t Two = std::uint64_t{2} << ValueBits;
  std::uint64_t Value = (std::uint64_t{TableSize} + Index)
                        << (ValueBits - TableBits);
  std::uint32_t Logarithm = 0;
  for (unsigned Bit = 0; Bit < FractionBits; ++Bit) {
    Value = (Value * Value) >> ValueBits;
    const bool IsSet = Value >= Two;
    Logarithm = (Logarithm << 1U) | (IsSet ? 1U : 0U);
    if (IsSet)
      Value >>= 1U;
  }
  return Logarithm;
}

constexpr auto LogarithmTable = [] {
  std::array<std::uint32_t, TableSize + 1> Table{};
  for (std::size_t Index = 0; Index < TableSize; ++Index)
    Table[Index] = tableEntry(Index);
  Table[TableSize] = std::uint32_t{1} << FractionBits;
  return Table;
}();

/// -log2 of (\p Hash + 1) / 2^32, in units of 2^-FractionBits.
std::uint32_t negativeLogarithm(std::uint32_t Hash) {
  constexpr unsigned HashBits = 32;
  constexpr unsigned RestBits = HashBits - TableBits;
  const std::uint64_t Value = std::uint64_t{Hash} + 1;
  const auto Exponent = static_cast<unsigned>(std::bit_width(Value)) - 1;
  const std::uint64_t Fraction = (Value << (HashBits - Exponent)) & UINT32_MAX;
  const std::size_t Index = Fraction >> RestBits;
  const std::uint64_t Rest = Fraction & ((1U << RestBits) - 1);
  const std::uint64_t Step = LogarithmTable[Index + 1] - LogarithmTable[Index];
  const std::uint64_t Logarithm =
      LogarithmTable[Index] + ((Step * Rest) >> RestBits);
  return static_cast<std::uint32_t>(
      (std::uint64_t{HashBits - Exponent} << FractionBits) - Logarithm);
}
/// @}

} // namespace

std::uint64_t weightOf(double Capacity) {
  constexpr double Scale = 4096;
  constexpr double Max = 1e6;
  // Written so that NaN is refused too.
  if (!(Capacity > 0))
    return 0;
  constexpr double Half = 0.5;
  const double Scaled = std::min(Capacity, Max) * Scale + Half;
  return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(Scaled));
}

std::uint64_t medianWeight(const std::vector<owner_candidate> &Candidates) {
  std::vector<std::uint64_t> Known;
  for (const owner_candidate &Candidate : Candidates)
    if (const std::uint64_t Weight = weightOf(Candidate.Capacity))
      Known.push_back(Weight);
  if (Known.empty())
    return 1;
  const auto Middle =
      Known.begin() + static_cast<std::ptrdiff_t>((Known.size() - 1) / 2);
  std::ranges::nth_element(Known, Middle);
  return *Middle;
}

double placeCost(std::uint32_t EndpointHash, std::uint32_t CandidateHash,
                 double InverseWeight) {
  const std::uint32_t Hash =
      control::rendezvousWeight(EndpointHash, CandidateHash);
  return static_cast<double>(negativeLogarithm(Hash)) * InverseWeight;
}

owner_bounds boundsOf(std::uint64_t Weight, std::uint64_t TotalWeight,
                      std::uint32_t CandidateHash, std::size_t Endpoints) {
  constexpr unsigned HashBits = 16;
  const std::uint64_t Twice = 2 * TotalWeight;
  const std::uint64_t Thrice = 3 * Endpoints * Weight;
  const std::uint64_t Whole = Thrice / Twice;
  const std::uint64_t Rest = Thrice % Twice;
  const std::uint64_t Fraction = (Rest << HashBits) / Twice;
  const bool RoundsUp =
      (Fraction + (CandidateHash >> HashBits)) >> HashBits != 0;
  const bool Above = Rest != 0 && (RoundsUp || Whole == 0);
  return {Whole + (Rest != 0 ? 1 : 0), Whole + (Above ? 1 : 0)};
}

} // namespace redwinggw::session
