#include "redwinggw/control/bucket_ranking.hpp"

#include "redwinggw/control/rendezvous.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace redwinggw::control {
namespace {

/// Candidates compare by weight; those of equal weight by their names' hashes.
using rank = std::pair<std::uint32_t, std::uint32_t>;

rank rankOf(bucket_ranking &Ranking, std::uint32_t Key,
            const owner_candidate &Candidate) {
  // A missing candidate ranks after all others.
  if (Candidate.Instance == 0)
    return {0, 0};
  ++Ranking.Weights;
  return {rendezvousWeight(Key, Candidate.RendezvousHash), Candidate.Instance};
}

void insert(bucket_ranking &Ranking, ranked_candidates &Ranks,
            const owner_candidate &Candidate) {
  const rank Rank = rankOf(Ranking, Ranks.Key, Candidate);
  if (Rank > rankOf(Ranking, Ranks.Key, Ranks.First))
    Ranks.Second = std::exchange(Ranks.First, Candidate);
  else if (Rank > rankOf(Ranking, Ranks.Key, Ranks.Second))
    Ranks.Second = Candidate;
}

void rankAll(bucket_ranking &Ranking, ranked_candidates &Ranks) {
  Ranks.First = {};
  Ranks.Second = {};
  rank First;
  rank Second;
  for (const owner_candidate &Candidate : Ranking.Candidates) {
    const rank Rank = rankOf(Ranking, Ranks.Key, Candidate);
    if (Rank > First) {
      Second = std::exchange(First, Rank);
      Ranks.Second = std::exchange(Ranks.First, Candidate);
    } else if (Rank > Second) {
      Second = Rank;
      Ranks.Second = Candidate;
    }
  }
}

} // namespace

bool updateCandidates(bucket_ranking &Ranking,
                      std::vector<owner_candidate> Candidates) {
  std::ranges::sort(Candidates);
  if (Candidates == Ranking.Candidates)
    return false;
  std::vector<owner_candidate> Left;
  std::vector<owner_candidate> Joined;
  std::ranges::set_difference(Ranking.Candidates, Candidates,
                              std::back_inserter(Left));
  std::ranges::set_difference(Candidates, Ranking.Candidates,
                              std::back_inserter(Joined));
  Ranking.Candidates = std::move(Candidates);
  const auto HasLeft = [&](const owner_candidate &Candidate) {
    return std::ranges::binary_search(Left, Candidate);
  };
  // A comparison with two others takes three weights.
  const bool Many = 3 * Joined.size() > Ranking.Candidates.size();
  for (auto &[Name, Ranks] : Ranking.Customers) {
    const bool TooFew = Ranks.Second.Instance == 0;
    if (Many || TooFew || HasLeft(Ranks.First) || HasLeft(Ranks.Second))
      rankAll(Ranking, Ranks);
    else
      for (const owner_candidate &Candidate : Joined)
        insert(Ranking, Ranks, Candidate);
  }
  return true;
}

const ranked_candidates &ranksOf(bucket_ranking &Ranking,
                                 std::string_view Customer) {
  const auto Found = Ranking.Customers.find(Customer);
  if (Found != Ranking.Customers.end())
    return Found->second;
  ranked_candidates &Ranks = Ranking.Customers[std::string(Customer)];
  Ranks.Key = rendezvousHash(Customer);
  rankAll(Ranking, Ranks);
  return Ranks;
}

const ranked_candidates *findRanks(const bucket_ranking &Ranking,
                                   std::string_view Customer) {
  const auto Found = Ranking.Customers.find(Customer);
  return Found == Ranking.Customers.end() ? nullptr : &Found->second;
}

void forgetCustomers(bucket_ranking &Ranking,
                     const std::function<bool(std::string_view)> &IsKnown) {
  std::erase_if(Ranking.Customers,
                [&](const auto &Item) { return !IsKnown(Item.first); });
}

} // namespace redwinggw::control
