#include "redwinggw/session/owner_assignment.hpp"

#include "redwinggw/control/rendezvous.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>
#include <map>
#include <string_view>
#include <tuple>
#include <utility>

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

/// A candidate with its weight. Weights are whole numbers: capacities that were
/// parsed from text can differ in the last bit from those of the settings.
struct weighted_candidate {
  const owner_candidate *Candidate;
  std::uint64_t Weight;
  double InverseWeight;
  std::size_t Owned = 0;
  /// Most endpoints that it may own, and most while another candidate is below
  /// its PreferredBound.
  std::size_t Bound = 0;
  std::size_t PreferredBound = 0;
};

using candidate_refs = std::vector<weighted_candidate *>;
/// Indices of endpoints.
using endpoint_refs = std::vector<std::size_t>;

/// 0 where the capacity is missing or is no usable number.
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

/// The lower median of the known weights; 1 if none is known.
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

/// Sorted by name.
std::vector<weighted_candidate>
weigh(const std::vector<owner_candidate> &Candidates) {
  const std::uint64_t Median = medianWeight(Candidates);
  std::vector<weighted_candidate> Weighted;
  Weighted.reserve(Candidates.size());
  for (const owner_candidate &Candidate : Candidates) {
    const std::uint64_t Known = weightOf(Candidate.Capacity);
    const std::uint64_t Weight = Known == 0 ? Median : Known;
    Weighted.push_back({&Candidate, Weight, 1 / static_cast<double>(Weight)});
  }
  std::ranges::sort(Weighted, {}, [](const weighted_candidate &Candidate) {
    return std::string_view(Candidate.Candidate->Name);
  });
  return Weighted;
}

std::uint64_t totalWeight(const candidate_refs &Candidates) {
  std::uint64_t Total = 0;
  for (const weighted_candidate *Candidate : Candidates)
    Total += Candidate->Weight;
  return Total;
}

/// Raises the bounds of \p Candidates by 1.5 times their part of \p Endpoints.
/// Bound is rounded up. PreferredBound is rounded by the candidate's hash:
/// otherwise the bounds of all candidates of equal capacity would change when
/// one of them leaves, and endpoints of all would move.
void raiseBounds(const candidate_refs &Candidates, std::size_t Endpoints) {
  constexpr unsigned FractionBits = 16;
  const std::uint64_t Twice = 2 * totalWeight(Candidates);
  for (weighted_candidate *Candidate : Candidates) {
    const std::uint64_t Thrice = 3 * Endpoints * Candidate->Weight;
    const std::uint64_t Whole = Thrice / Twice;
    const std::uint64_t Rest = Thrice % Twice;
    const std::uint64_t Fraction = (Rest << FractionBits) / Twice;
    const bool RoundsUp =
        (Fraction + (Candidate->Candidate->Hash >> FractionBits)) >>
            FractionBits !=
        0;
    Candidate->Bound += Whole + (Rest != 0 ? 1 : 0);
    const bool Above = Rest != 0 && (RoundsUp || Whole == 0);
    Candidate->PreferredBound += Whole + (Above ? 1 : 0);
  }
}

/// The candidates' places in an endpoint's order: the lower the cost, the
/// earlier. A hash divided by the weight in this way is least for a candidate
/// with a probability equal to its part of the weights. One multiplication of
/// exact values is rounded in the same way by every build.
void computeCosts(std::uint32_t EndpointHash, const candidate_refs &Candidates,
                  std::vector<double> &Costs) {
  Costs.resize(Candidates.size());
  std::ranges::transform(
      Candidates, Costs.begin(), [&](const weighted_candidate *Candidate) {
        const std::uint32_t Hash =
            control::rendezvousWeight(EndpointHash, Candidate->Candidate->Hash);
        return static_cast<double>(negativeLogarithm(Hash)) *
               Candidate->InverseWeight;
      });
}

constexpr std::size_t None = SIZE_MAX;

/// The index of the least of \p Costs among those that \p Counts accepts, the
/// first of equal ones, whose name is the lowest; None if there is none.
template <typename Predicate>
std::size_t leastCost(const std::vector<double> &Costs, Predicate Counts) {
  std::size_t Best = None;
  for (std::size_t Index = 0; Index < Costs.size(); ++Index)
    if ((Best == None || Costs[Index] < Costs[Best]) && Counts(Index))
      Best = Index;
  return Best;
}

/// The candidate that follows \p Owner in the order; the first one if \p Owner
/// is the last. None without another candidate.
std::size_t nextAfter(const std::vector<double> &Costs, std::size_t Owner) {
  const std::size_t Next = leastCost(Costs, [&](std::size_t Index) {
    return std::pair(Costs[Index], Index) > std::pair(Costs[Owner], Owner);
  });
  return Next != None ? Next : leastCost(Costs, [&](std::size_t Index) {
    return Index != Owner;
  });
}

/// What an assignment is computed from and into.
struct assignment_state {
  const std::vector<owned_endpoint> &Endpoints;
  std::vector<weighted_candidate> Candidates;
  std::vector<std::uint32_t> Hashes;
  std::vector<connection_owners> Owners;
  std::vector<double> Costs;
};

/// The best candidate outside of \p Zone for an endpoint.
base::instance_name standbyOutside(assignment_state &State,
                                   std::size_t Endpoint,
                                   std::string_view Zone) {
  candidate_refs Others;
  for (weighted_candidate &Candidate : State.Candidates)
    if (Candidate.Candidate->Zone != Zone)
      Others.push_back(&Candidate);
  computeCosts(State.Hashes[Endpoint], Others, State.Costs);
  const std::size_t Best =
      leastCost(State.Costs, [](std::size_t) { return true; });
  return Best == None ? "" : Others[Best]->Candidate->Name;
}

void assignEndpoint(assignment_state &State, std::size_t Endpoint,
                    const candidate_refs &Candidates) {
  connection_owners &Owners = State.Owners[Endpoint];
  computeCosts(State.Hashes[Endpoint], Candidates, State.Costs);
  std::size_t Owner = leastCost(State.Costs, [&](std::size_t Index) {
    return Candidates[Index]->Owned < Candidates[Index]->PreferredBound;
  });
  if (Owner == None)
    Owner = leastCost(State.Costs, [&](std::size_t Index) {
      return Candidates[Index]->Owned < Candidates[Index]->Bound;
    });
  ++Candidates[Owner]->Owned;
  Owners.Owner = Candidates[Owner]->Candidate->Name;
  const std::size_t Standby = nextAfter(State.Costs, Owner);
  Owners.Standby =
      Standby != None
          ? Candidates[Standby]->Candidate->Name
          : standbyOutside(State, Endpoint, Candidates[Owner]->Candidate->Zone);
}

/// Assigns \p Endpoints among \p Candidates in an order that does not depend on
/// other endpoints, so that one more or less changes little.
void assignGroup(assignment_state &State, endpoint_refs Endpoints,
                 const candidate_refs &Candidates) {
  raiseBounds(Candidates, Endpoints.size());
  std::ranges::sort(Endpoints, {}, [&](std::size_t Endpoint) {
    return std::tuple(State.Hashes[Endpoint],
                      std::string_view(State.Endpoints[Endpoint].Name));
  });
  for (const std::size_t Endpoint : Endpoints)
    assignEndpoint(State, Endpoint, Candidates);
}

} // namespace

std::vector<connection_owners>
assignOwners(const std::vector<owned_endpoint> &Endpoints,
             const std::vector<owner_candidate> &Candidates) {
  assignment_state State{Endpoints, weigh(Candidates), {}, {}, {}};
  State.Owners.resize(Endpoints.size());
  if (Candidates.empty())
    return std::move(State.Owners);
  std::map<std::string_view, candidate_refs> Zones;
  candidate_refs All;
  for (weighted_candidate &Candidate : State.Candidates) {
    Zones[Candidate.Candidate->Zone].push_back(&Candidate);
    All.push_back(&Candidate);
  }
  std::map<std::string_view, endpoint_refs> InZones;
  endpoint_refs Elsewhere;
  for (std::size_t Index = 0; Index < Endpoints.size(); ++Index) {
    const owned_endpoint &Endpoint = Endpoints[Index];
    State.Hashes.push_back(control::rendezvousHash(Endpoint.Name));
    (Zones.contains(Endpoint.Zone) ? InZones[Endpoint.Zone] : Elsewhere)
        .push_back(Index);
  }
  for (auto &[Zone, Indices] : InZones)
    assignGroup(State, std::move(Indices), Zones.at(Zone));
  assignGroup(State, std::move(Elsewhere), All);
  return std::move(State.Owners);
}

bool updateAssignment(owner_assignment &Assignment,
                      std::vector<owned_endpoint> Endpoints,
                      std::vector<owner_candidate> Candidates) {
  if (Assignment.Endpoints == Endpoints && Assignment.Candidates == Candidates)
    return false;
  Assignment.Owners = assignOwners(Endpoints, Candidates);
  Assignment.Endpoints = std::move(Endpoints);
  Assignment.Candidates = std::move(Candidates);
  return true;
}

} // namespace redwinggw::session
