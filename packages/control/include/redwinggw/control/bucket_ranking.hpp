#pragma once

#include "redwinggw/base/ids.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <vector>

/// The first two of the instances that may own each customer's bucket, kept up
/// to date while instances join and leave. Decisions without I/O.
///
/// Uses rendezvous hashing, so all instances that know the same candidates
/// agree, and a candidate that joins or leaves changes the ranks of its own
/// customers only: one that joins is compared with two others for each
/// customer, and one that leaves is replaced where it was among the two.
/// Ranking all candidates again for each customer would take their product.
namespace redwinggw::control {

/// An instance that may own buckets.
struct owner_candidate {
  /// rendezvousHash of its name.
  std::uint32_t RendezvousHash = 0;
  /// wire::hashOf its name, by which it is found in membership.
  std::uint32_t Instance = 0;

  friend auto operator<=>(const owner_candidate &,
                          const owner_candidate &) = default;
};

/// The candidates of one customer's bucket, by rank; Instance is 0 where there
/// are too few.
struct ranked_candidates {
  std::uint32_t Key = 0;
  owner_candidate First;
  owner_candidate Second;
};

/// Not thread safe.
struct bucket_ranking {
  /// Sorted.
  std::vector<owner_candidate> Candidates;
  std::map<base::customer_name, ranked_candidates, std::less<>> Customers;
  /// How many weights were computed since the start.
  std::uint64_t Weights = 0;
};

/// Replaces the candidates. True if they differ.
bool updateCandidates(bucket_ranking &Ranking,
                      std::vector<owner_candidate> Candidates);

/// The ranks for \p Customer, which are computed if it is new.
const ranked_candidates &ranksOf(bucket_ranking &Ranking,
                                 std::string_view Customer);

/// The known ranks for \p Customer; null before ranksOf was called.
const ranked_candidates *findRanks(const bucket_ranking &Ranking,
                                   std::string_view Customer);

/// Forgets the customers that \p IsKnown does not accept.
void forgetCustomers(bucket_ranking &Ranking,
                     const std::function<bool(std::string_view)> &IsKnown);

} // namespace redwinggw::control
