#include "redwinggw/control/bucket_ranking.hpp"

#include "redwinggw/control/rendezvous.hpp"

#include <algorithm>
#include <random>
#include <string>

#include "criterion_test.hpp"

using namespace redwinggw::control;

namespace {

owner_candidate candidate(std::uint32_t Index) {
  return {rendezvousHash("front-" + std::to_string(Index)), Index + 1};
}

std::vector<owner_candidate> candidates(std::uint32_t Count) {
  std::vector<owner_candidate> Candidates;
  Candidates.reserve(Count);
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    Candidates.push_back(candidate(Index));
  return Candidates;
}

std::string customer(std::size_t Index) {
  return "customer-" + std::to_string(Index);
}

/// Whether the ranks of all customers are those that a new instance computes.
bool isAsFromScratch(bucket_ranking &Ranking, std::size_t Customers) {
  bucket_ranking Fresh;
  updateCandidates(Fresh, Ranking.Candidates);
  for (std::size_t Index = 0; Index < Customers; ++Index) {
    const ranked_candidates &Known = ranksOf(Ranking, customer(Index));
    const ranked_candidates &Computed = ranksOf(Fresh, customer(Index));
    if (Known.First != Computed.First || Known.Second != Computed.Second)
      return false;
  }
  return true;
}

} // namespace

// Guards against two owners of one bucket, of which one has followed the
// changes and the other has just started.
Test(bucket_ranking, is_the_same_after_changes_as_from_scratch) {
  constexpr std::size_t Customers = 40;
  for (unsigned Seed = 0; Seed < 20; ++Seed) {
    std::mt19937 Random(Seed);
    bucket_ranking Ranking;
    auto Candidates = candidates(1 + Seed);
    for (unsigned Step = 0; Step < 80; ++Step) {
      updateCandidates(Ranking, Candidates);
      cr_assert(isAsFromScratch(Ranking, Customers), "seed %u, step %u", Seed,
                Step);
      const owner_candidate Changed = candidate(Random() % 30);
      if (std::erase(Candidates, Changed) == 0)
        Candidates.push_back(Changed);
    }
  }
}

// Guards against a comparison of all instances for each customer whenever one
// instance joins or leaves a large fleet.
Test(bucket_ranking, compares_few_candidates_when_one_changes) {
  constexpr std::size_t Customers = 333;
  constexpr std::uint32_t Instances = 987;
  bucket_ranking Ranking;
  auto All = candidates(Instances);
  updateCandidates(Ranking, All);
  for (std::size_t Index = 0; Index < Customers; ++Index)
    ranksOf(Ranking, customer(Index));
  Ranking.Weights = 0;
  updateCandidates(Ranking, candidates(Instances + 1));
  cr_assert(Ranking.Weights <= 3 * Customers);
  // The mean over several that leave: few customers have one of them among
  // their first two.
  Ranking.Weights = 0;
  constexpr std::uint32_t Leaving = 100;
  for (std::uint32_t Left = 0; Left < Leaving; ++Left)
    updateCandidates(Ranking, candidates(Instances - Left));
  cr_assert(Ranking.Weights / Leaving < 3 * Customers);
}

Test(bucket_ranking, forgets_customers_without_a_rate) {
  bucket_ranking Ranking;
  updateCandidates(Ranking, candidates(3));
  ranksOf(Ranking, "a");
  ranksOf(Ranking, "b");
  forgetCustomers(Ranking, [](std::string_view Name) { return Name == "a"; });
  cr_assert(findRanks(Ranking, "a") != nullptr);
  cr_assert(findRanks(Ranking, "b") == nullptr);
}
