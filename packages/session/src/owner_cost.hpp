#pragma once

#include "redwinggw/session/endpoint_owner.hpp"

#include <cstdint>
#include <vector>

/// The place of a candidate in an endpoint's order, see owner_assignment.hpp.
namespace redwinggw::session {

/// The weight of \p Capacity: a whole number, since capacities that were parsed
/// from text can differ in the last bit from those of the settings. 0 where the
/// capacity is missing or is no usable number. Thread safe.
std::uint64_t weightOf(double Capacity);

/// The lower median of the known weights; 1 if none is known. Thread safe.
std::uint64_t medianWeight(const std::vector<owner_candidate> &Candidates);

/// The lower the cost, the earlier the candidate. A hash divided by the weight
/// in this way is least for a candidate with a probability equal to its part of
/// the weights. One multiplication of exact values is rounded in the same way
/// by every build. Thread safe.
double placeCost(std::uint32_t EndpointHash, std::uint32_t CandidateHash,
                 double InverseWeight);

/// How many endpoints a candidate may own.
struct owner_bounds {
  /// The most that it may own.
  std::size_t Bound = 0;
  /// The most that it may own while another candidate owns less than its
  /// Preferred.
  std::size_t Preferred = 0;
};

/// 1.5 times the part of \p Endpoints that \p Weight has of \p TotalWeight.
/// Bound is rounded up. Preferred is rounded by the candidate's hash: otherwise
/// the bounds of all candidates of equal capacity would change when one of them
/// leaves, and endpoints of all would move. Thread safe.
owner_bounds boundsOf(std::uint64_t Weight, std::uint64_t TotalWeight,
                      std::uint32_t CandidateHash, std::size_t Endpoints);

} // namespace redwinggw::session
