#include "redwinggw/session/owner_assignment.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::session;

namespace {

/// In each of three zones, \p Small candidates of little capacity and \p Large
/// ones of six times as much.
std::vector<owner_candidate> fleet(std::size_t Small, std::size_t Large) {
  std::vector<owner_candidate> Candidates;
  for (const std::string Zone : {"z0", "z1", "z2"})
    for (std::size_t Index = 0; Index < Small + Large; ++Index)
      Candidates.push_back({"front-" + Zone + "-" + std::to_string(Index), Zone,
                            Index < Small ? 0.084 : 0.504});
  return Candidates;
}

std::vector<owned_endpoint> endpoints(std::size_t Count) {
  std::vector<owned_endpoint> Endpoints;
  Endpoints.reserve(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Endpoints.push_back({std::string("i-").append(std::to_string(Index)),
                         std::string("z").append(std::to_string(Index % 3))});
  return Endpoints;
}

std::map<base::instance_name, std::size_t>
ownedBy(const std::vector<connection_owners> &Owners) {
  std::map<base::instance_name, std::size_t> Owned;
  for (const connection_owners &Endpoint : Owners)
    ++Owned[Endpoint.Owner];
  return Owned;
}

std::size_t movedBetween(const std::vector<connection_owners> &Before,
                         const std::vector<connection_owners> &After) {
  std::size_t Moved = 0;
  for (std::size_t Index = 0; Index < Before.size(); ++Index)
    Moved += Before[Index].Owner == After[Index].Owner ? 0 : 1;
  return Moved;
}

/// Every endpoint has an owner and another instance as the standby.
bool isComplete(const std::vector<connection_owners> &Owners) {
  return std::ranges::all_of(Owners, [](const connection_owners &Endpoint) {
    return !Endpoint.Owner.empty() && !Endpoint.Standby.empty() &&
           Endpoint.Owner != Endpoint.Standby;
  });
}

} // namespace

// Guards against small instances that own as many endpoints as large ones and
// become the bottleneck of the fleet.
Test(owner_assignment, gives_each_instance_its_share_by_capacity) {
  constexpr std::size_t Endpoints = 60'000;
  const auto Owned = ownedBy(assignOwners(endpoints(Endpoints), fleet(9, 1)));
  // A zone has 9 + 6 parts of its 20,000 endpoints.
  constexpr double Part = Endpoints / 3.0 / 15;
  for (const owner_candidate &Candidate : fleet(9, 1)) {
    const double Share = Candidate.Capacity < 0.5 ? Part : 6 * Part;
    const auto Has = static_cast<double>(Owned.at(Candidate.Name));
    cr_assert(Has > 0.9 * Share && Has < 1.1 * Share, "%s owns %f of %f",
              Candidate.Name.c_str(), Has, Share);
  }
}

// With few endpoints, hashing alone gives some instances several shares.
Test(owner_assignment, keeps_each_instance_below_its_bound) {
  for (const std::size_t Count : {3, 24, 90, 1000}) {
    const auto Owners = assignOwners(endpoints(Count), fleet(28, 2));
    cr_assert(isComplete(Owners));
    for (const auto &[Name, Owned] : ownedBy(Owners)) {
      const bool Large = Name.ends_with("-28") || Name.ends_with("-29");
      const double Share =
          static_cast<double>(Count) / 3 * (Large ? 6 : 1) / (28 + 2 * 6);
      cr_assert(static_cast<double>(Owned) < 1.5 * Share + 1, "%s owns %zu",
                Name.c_str(), Owned);
    }
  }
}

// Guards against statements that cross zones although an instance of the
// endpoint's zone could own its connections.
Test(owner_assignment, stays_in_the_endpoints_zone_while_that_has_candidates) {
  auto Candidates = fleet(2, 1);
  std::erase_if(Candidates, [](const owner_candidate &Candidate) {
    return Candidate.Zone == "z1" ||
           (Candidate.Zone == "z2" && Candidate.Capacity < 0.5);
  });
  const auto Endpoints = endpoints(30);
  const auto Owners = assignOwners(Endpoints, Candidates);
  cr_assert(isComplete(Owners));
  for (std::size_t Index = 0; Index < Owners.size(); ++Index) {
    const std::string &Zone = Endpoints[Index].Zone;
    const auto InZone = [&](const std::string &Name) {
      return Name.starts_with("front-" + Zone);
    };
    cr_assert(Zone == "z1" || InZone(Owners[Index].Owner));
    cr_assert(Zone != "z0" || InZone(Owners[Index].Standby));
  }
}

// Guards against two instances that compute different owners because they
// learned of candidates and endpoints in another order, or parsed a capacity
// with a difference in its last bit.
Test(owner_assignment, is_the_same_at_every_instance) {
  const auto Endpoints = endpoints(90);
  const auto Candidates = fleet(8, 2);
  auto OtherEndpoints = Endpoints;
  auto OtherCandidates = Candidates;
  std::ranges::reverse(OtherEndpoints);
  std::ranges::reverse(OtherCandidates);
  for (owner_candidate &Candidate : OtherCandidates)
    Candidate.Capacity *= 1 + std::numeric_limits<double>::epsilon();
  auto Owners = assignOwners(OtherEndpoints, OtherCandidates);
  std::ranges::reverse(Owners);
  cr_assert(Owners == assignOwners(Endpoints, Candidates));
}

// Pins the result: a build that computes another one disagrees with the rest of
// its fleet during an upgrade.
Test(owner_assignment, is_the_same_in_every_build) {
  std::string Text;
  for (const connection_owners &Endpoint :
       assignOwners(endpoints(6), fleet(3, 1)))
    Text += Endpoint.Owner.substr(6) + "/" + Endpoint.Standby.substr(6) + " ";
  cr_assert(Text == "z0-1/z0-2 z1-3/z1-1 z2-3/z2-1 z0-3/z0-2 z1-3/z1-2 "
                    "z2-3/z2-0 ",
            "%s", Text.c_str());
}

// An instance leaves or joins. Each endpoint that changes its owner needs new
// connections, so few others may move. Every change of one instance is counted.
Test(owner_assignment, moves_few_endpoints_when_one_candidate_changes) {
  for (const std::size_t Count : {24, 300}) {
    const auto Endpoints = endpoints(Count);
    const auto All = fleet(28, 2);
    const auto Before = assignOwners(Endpoints, All);
    std::size_t Moved = 0;
    for (std::size_t Index = 0; Index < All.size(); ++Index) {
      auto Rest = All;
      Rest.erase(Rest.begin() + static_cast<std::ptrdiff_t>(Index));
      Moved += movedBetween(Before, assignOwners(Endpoints, Rest));
    }
    // Each endpoint's owner is removed once.
    cr_assert(Moved >= Count && Moved <= 2 * Count, "%zu of %zu moved", Moved,
              Count);
  }
}

// Guards against connections that are set up twice: at the standby owner, and
// a moment later at the next owner.
Test(owner_assignment, mostly_makes_the_standby_the_next_owner) {
  const auto Endpoints = endpoints(90);
  const auto All = fleet(28, 2);
  const auto Before = assignOwners(Endpoints, All);
  std::size_t Taken = 0;
  for (std::size_t Index = 0; Index < Endpoints.size(); ++Index) {
    auto Rest = All;
    std::erase_if(Rest, [&](const owner_candidate &Candidate) {
      return Candidate.Name == Before[Index].Owner;
    });
    const auto After = assignOwners(Endpoints, Rest);
    Taken += After[Index].Owner == Before[Index].Standby ? 1 : 0;
  }
  cr_assert(10 * Taken >= 6 * Endpoints.size(), "%zu", Taken);
}

// Capacities that no instance gave, or that make no sense, must neither leave
// endpoints without an owner nor keep an instance from owning any.
Test(owner_assignment, uses_the_median_for_a_missing_capacity) {
  const auto Endpoints = endpoints(90);
  const auto Even = [](double Capacity) {
    auto Candidates = fleet(6, 0);
    for (std::size_t Index = 0; Index < Candidates.size(); Index += 4)
      Candidates[Index].Capacity = Capacity;
    return Candidates;
  };
  const auto Expected = assignOwners(Endpoints, Even(0.084));
  for (const double Missing :
       {0.0, -1.0, std::numeric_limits<double>::quiet_NaN()})
    cr_assert(assignOwners(Endpoints, Even(Missing)) == Expected);
  auto NoneKnown = fleet(6, 0);
  for (owner_candidate &Candidate : NoneKnown)
    Candidate.Capacity = 0;
  cr_assert(assignOwners(Endpoints, NoneKnown) ==
            assignOwners(Endpoints, fleet(6, 0)));
  for (const double Wrong : {1e-300, std::numeric_limits<double>::infinity()})
    cr_assert(isComplete(assignOwners(Endpoints, Even(Wrong))));
}

// The whole fleet restarts: at first each instance knows only itself, or
// nobody.
Test(owner_assignment, is_defined_for_few_candidates) {
  const auto Endpoints = endpoints(3);
  cr_assert(assignOwners(Endpoints, {}) == std::vector<connection_owners>(3));
  const std::vector<owner_candidate> Alone = {{"a", "z0", 1}};
  for (const connection_owners &Endpoint : assignOwners(Endpoints, Alone))
    cr_assert(Endpoint.Owner == "a" && Endpoint.Standby.empty());
  cr_assert(assignOwners({}, Alone).empty());
}

// Small machines cannot afford an assignment at each step of housekeeping.
Test(owner_assignment, is_recomputed_only_after_a_change) {
  owner_assignment Assignment;
  cr_assert(updateAssignment(Assignment, endpoints(9), fleet(2, 0)));
  cr_assert(!updateAssignment(Assignment, endpoints(9), fleet(2, 0)));
  cr_assert(updateAssignment(Assignment, endpoints(9), fleet(3, 0)));
  cr_assert(updateAssignment(Assignment, endpoints(12), fleet(3, 0)));
  cr_assert(Assignment.Owners == assignOwners(endpoints(12), fleet(3, 0)));
}

namespace {

/// Joins and leaves of candidates in a random order, with some that change
/// their capacity; several at a time now and then.
void changeRandomly(std::vector<owner_candidate> &Candidates,
                    std::vector<owner_candidate> &Absent,
                    std::mt19937 &Random) {
  const auto Pick = [&](std::vector<owner_candidate> &From) {
    std::uniform_int_distribution<std::size_t> Index(0, From.size() - 1);
    const auto At = From.begin() + static_cast<std::ptrdiff_t>(Index(Random));
    owner_candidate Picked = *At;
    From.erase(At);
    return Picked;
  };
  for (unsigned Changes = 1 + Random() % 3; Changes > 0; --Changes) {
    const unsigned Kind = Random() % 5;
    if (Kind < 2 && !Absent.empty())
      Candidates.push_back(Pick(Absent));
    else if (Kind < 4 && Candidates.size() > 1)
      Absent.push_back(Pick(Candidates));
    else if (!Candidates.empty())
      Candidates[Random() % Candidates.size()].Capacity *= 1.5;
  }
}

} // namespace

// Guards against instances that disagree on owners because one has followed
// the changes and another has just started.
Test(owner_assignment, is_the_same_after_changes_as_from_scratch) {
  for (const std::size_t Count : {9, 90, 400})
    for (unsigned Seed = 0; Seed < 12; ++Seed) {
      std::mt19937 Random(Seed);
      auto Candidates = fleet(Seed % 3 == 0 ? 3 : 24, 2);
      std::vector<owner_candidate> Absent;
      const auto Endpoints = endpoints(Count);
      owner_assignment Assignment;
      updateAssignment(Assignment, Endpoints, Candidates);
      for (unsigned Step = 0; Step < 60; ++Step) {
        changeRandomly(Candidates, Absent, Random);
        updateCandidates(Assignment, Candidates);
        cr_assert(Assignment.Owners == assignOwners(Endpoints, Candidates),
                  "%zu endpoints, seed %u, step %u", Count, Seed, Step);
      }
    }
}

// Guards against work that is the product of endpoints and candidates for each
// instance that joins or leaves a large fleet. A candidate that changed costs a
// visit of its zone's endpoints, and so does each candidate whose bound changes
// with it: about one in thirty.
Test(owner_assignment, visits_few_candidates_when_one_changes) {
  for (const std::size_t Size : {1, 2}) {
    const auto Endpoints = endpoints(3000 * Size);
    const auto All = fleet(150 * Size, 10 * Size);
    owner_assignment Assignment;
    updateAssignment(Assignment, Endpoints, All);
    const std::uint64_t Whole = std::exchange(Assignment.Places, 0);
    constexpr std::size_t Changes = 20;
    for (std::size_t Index = 0; Index < Changes; ++Index) {
      auto Rest = All;
      Rest.erase(Rest.begin() + static_cast<std::ptrdiff_t>(7 * Index));
      updateCandidates(Assignment, Rest);
      updateCandidates(Assignment, All);
    }
    cr_assert(Assignment.Places / (2 * Changes) < Whole / 10,
              "%zu of %zu places for one change", Assignment.Places / Changes,
              Whole);
  }
}

// The platform passes on only what changed, for instance to the log.
Test(owner_assignment, tells_which_endpoints_changed) {
  const auto Endpoints = endpoints(90);
  const auto All = fleet(28, 2);
  owner_assignment Assignment;
  updateAssignment(Assignment, Endpoints, All);
  const auto Before = Assignment.Owners;
  auto Rest = All;
  Rest.erase(Rest.begin() + 3);
  const auto Changed = updateCandidates(Assignment, Rest);
  cr_assert(Changed);
  for (std::size_t Index = 0; Index < Endpoints.size(); ++Index)
    cr_assert(Before[Index] == Assignment.Owners[Index] ||
              std::ranges::find(*Changed, Index) != Changed->end());
}
