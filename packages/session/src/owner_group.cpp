#include "redwinggw/session/owner_group.hpp"

#include "owner_cost.hpp"

#include <algorithm>
#include <deque>
#include <numeric>
#include <set>
#include <tuple>
#include <utility>

namespace redwinggw::session {
namespace {

constexpr std::uint32_t None = UINT32_MAX;

/// A candidate's place in an endpoint's order; names decide between equal
/// costs.
using place = std::pair<double, std::string_view>;

/// One update of a group.
struct group_update {
  owner_group &Group;
  /// Endpoints without an owner, those with precedence first.
  std::set<std::uint32_t> Unassigned;
  /// Candidates that have room which endpoints may want.
  std::deque<std::uint32_t> Vacancies;
  /// Endpoints whose owner, and whose standby, has to be compared with what it
  /// was.
  std::set<std::uint32_t> OwnerMoved;
  std::set<std::uint32_t> StandbyMoved;
};

std::string_view nameOf(const owner_group &Group, std::uint32_t Candidate) {
  return Group.Candidates[Candidate].Candidate.Name;
}

place placeOf(owner_group &Group, std::uint32_t Endpoint,
              std::uint32_t Candidate) {
  ++Group.Places;
  const group_candidate &Given = Group.Candidates[Candidate];
  return {placeCost(Group.Endpoints[Endpoint].Hash, Given.Candidate.Hash,
                    1 / static_cast<double>(Given.Weight)),
          Given.Candidate.Name};
}

place ownerPlace(const owner_group &Group, const group_endpoint &Endpoint) {
  return {Endpoint.OwnerCost, nameOf(Group, Endpoint.Owner)};
}

place standbyPlace(const owner_group &Group, const group_endpoint &Endpoint) {
  return {Endpoint.StandbyCost, nameOf(Group, Endpoint.Standby)};
}

/// Whether \p Candidate would take \p Endpoint, in place of one without
/// precedence if it has no room.
bool accepts(const group_candidate &Candidate, std::uint32_t Endpoint) {
  return Candidate.Owned.size() < Candidate.Bound ||
         (!Candidate.Owned.empty() && Candidate.Owned.back() > Endpoint);
}

void evictLast(group_update &Update, group_candidate &Candidate) {
  Update.Unassigned.insert(Candidate.Owned.back());
  Update.Group.Endpoints[Candidate.Owned.back()].Owner = None;
  Candidate.Owned.pop_back();
}

/// Makes \p Candidate the owner of \p Endpoint, which has none.
void assign(group_update &Update, std::uint32_t Endpoint,
            std::uint32_t Candidate, double Cost) {
  group_candidate &Owner = Update.Group.Candidates[Candidate];
  Update.Group.Endpoints[Endpoint].Owner = Candidate;
  Update.Group.Endpoints[Endpoint].OwnerCost = Cost;
  Owner.Owned.insert(std::ranges::lower_bound(Owner.Owned, Endpoint), Endpoint);
  Update.OwnerMoved.insert(Endpoint);
  if (Owner.Owned.size() > Owner.Bound)
    evictLast(Update, Owner);
}

/// Gives each endpoint without an owner to the first candidate in its order
/// that accepts it. Those that lose their place to it follow.
void assignRemaining(group_update &Update) {
  owner_group &Group = Update.Group;
  while (!Update.Unassigned.empty()) {
    const std::uint32_t Endpoint = *Update.Unassigned.begin();
    Update.Unassigned.erase(Update.Unassigned.begin());
    std::uint32_t Best = None;
    place BestPlace;
    for (const std::uint32_t Candidate : Group.ByName) {
      const place Place = placeOf(Group, Endpoint, Candidate);
      const bool Earlier = Best == None || Place < BestPlace;
      if (Earlier && accepts(Group.Candidates[Candidate], Endpoint)) {
        Best = Candidate;
        BestPlace = Place;
      }
    }
    assign(Update, Endpoint, Best, BestPlace.first);
  }
}

/// Takes \p Endpoint from its owner, whose room others may want if it had none.
void unassign(group_update &Update, std::uint32_t Endpoint) {
  const std::uint32_t Former = Update.Group.Endpoints[Endpoint].Owner;
  group_candidate &Owner = Update.Group.Candidates[Former];
  if (Owner.Owned.size() >= Owner.Bound)
    Update.Vacancies.push_back(Former);
  Owner.Owned.erase(std::ranges::find(Owner.Owned, Endpoint));
}

/// Gives a candidate with room the endpoints that prefer it to their owners.
void fillVacancies(group_update &Update) {
  owner_group &Group = Update.Group;
  while (!Update.Vacancies.empty()) {
    const std::uint32_t Candidate = Update.Vacancies.front();
    Update.Vacancies.pop_front();
    for (std::uint32_t Endpoint = 0; Endpoint < Group.Endpoints.size();
         ++Endpoint) {
      if (!accepts(Group.Candidates[Candidate], Endpoint))
        break;
      if (Group.Endpoints[Endpoint].Owner == Candidate)
        continue;
      const place Place = placeOf(Group, Endpoint, Candidate);
      if (Place > ownerPlace(Group, Group.Endpoints[Endpoint]))
        continue;
      unassign(Update, Endpoint);
      assign(Update, Endpoint, Candidate, Place.first);
      assignRemaining(Update);
    }
  }
}

/// Computes the standby of \p Endpoint from all candidates: the next one in its
/// order after the owner, or the first one if the owner is the last.
void findStandby(owner_group &Group, std::uint32_t Endpoint) {
  group_endpoint &Entry = Group.Endpoints[Endpoint];
  const place Owner = ownerPlace(Group, Entry);
  std::uint32_t Best = None;
  std::pair<bool, place> BestPlace;
  for (const std::uint32_t Candidate : Group.ByName) {
    if (Candidate == Entry.Owner)
      continue;
    const place Place = placeOf(Group, Endpoint, Candidate);
    const std::pair Rank(Place < Owner, Place);
    if (Best == None || Rank < BestPlace) {
      Best = Candidate;
      BestPlace = Rank;
    }
  }
  Entry.Standby = Best;
  Entry.StandbyCost = BestPlace.second.first;
}

/// Compares a candidate that joined with the standby of \p Endpoint.
void compareStandby(group_update &Update, std::uint32_t Endpoint,
                    std::uint32_t Joined) {
  owner_group &Group = Update.Group;
  group_endpoint &Entry = Group.Endpoints[Endpoint];
  if (Entry.Owner == Joined)
    return;
  const place Owner = ownerPlace(Group, Entry);
  const place New = placeOf(Group, Endpoint, Joined);
  const place Known = standbyPlace(Group, Entry);
  if (std::pair(New < Owner, New) > std::pair(Known < Owner, Known))
    return;
  Entry.Standby = Joined;
  Entry.StandbyCost = New.first;
  Update.StandbyMoved.insert(Endpoint);
}

std::uint64_t totalWeight(const owner_group &Group) {
  return std::transform_reduce(
      Group.ByName.begin(), Group.ByName.end(), std::uint64_t{0}, std::plus{},
      [&](std::uint32_t Index) { return Group.Candidates[Index].Weight; });
}

/// Sets the bounds for the present candidates. False if these cannot own all
/// endpoints.
bool setBounds(owner_group &Group) {
  const std::uint64_t Total = totalWeight(Group);
  std::size_t Room = 0;
  for (const std::uint32_t Index : Group.ByName) {
    group_candidate &Candidate = Group.Candidates[Index];
    Candidate.Bound = boundsOf(Candidate.Weight, Total,
                               Candidate.Candidate.Hash, Group.Endpoints.size())
                          .Preferred;
    Room += Candidate.Bound;
  }
  return Room >= Group.Endpoints.size();
}

std::uint32_t indexNamed(const owner_group &Group, std::string_view Name) {
  const auto Found = std::ranges::lower_bound(
      Group.ByName, Name, {},
      [&](std::uint32_t Index) { return nameOf(Group, Index); });
  const bool Known =
      Found != Group.ByName.end() && nameOf(Group, *Found) == Name;
  return Known ? *Found : None;
}

/// What differs between the present candidates and new ones.
struct group_changes {
  std::vector<std::uint32_t> Left;
  std::vector<weighted_owner> Joined;
};

group_changes changesTo(const owner_group &Group,
                        const std::vector<weighted_owner> &Candidates) {
  group_changes Changes;
  std::size_t Kept = 0;
  std::vector<bool> Stays(Group.Candidates.size());
  for (const weighted_owner &Given : Candidates) {
    const std::uint32_t Index = indexNamed(Group, Given.Candidate->Name);
    if (Index != None && Group.Candidates[Index].Weight == Given.Weight) {
      Stays[Index] = true;
      ++Kept;
    } else {
      Changes.Joined.push_back(Given);
    }
  }
  if (Kept != Group.ByName.size())
    std::ranges::copy_if(Group.ByName, std::back_inserter(Changes.Left),
                         [&](std::uint32_t Index) { return !Stays[Index]; });
  return Changes;
}

/// Takes the candidates that left out of the group.
void removeLeft(group_update &Update, const std::vector<std::uint32_t> &Left) {
  owner_group &Group = Update.Group;
  for (const std::uint32_t Index : Left) {
    group_candidate &Candidate = Group.Candidates[Index];
    Candidate.Present = false;
    while (!Candidate.Owned.empty())
      evictLast(Update, Candidate);
    std::erase(Group.ByName, Index);
  }
  if (Left.empty())
    return;
  for (std::uint32_t Endpoint = 0; Endpoint < Group.Endpoints.size();
       ++Endpoint) {
    group_endpoint &Entry = Group.Endpoints[Endpoint];
    if (Group.Candidates[Entry.Standby].Present)
      continue;
    Entry.Standby = None;
    Update.StandbyMoved.insert(Endpoint);
  }
}

/// Adds a candidate and returns its index.
std::uint32_t addCandidate(owner_group &Group, const weighted_owner &Given) {
  group_candidate Candidate{*Given.Candidate, Given.Weight, 0, {}, true};
  const auto Free =
      std::ranges::find(Group.Candidates, false, &group_candidate::Present);
  const auto Index =
      static_cast<std::uint32_t>(Free - Group.Candidates.begin());
  if (Free == Group.Candidates.end())
    Group.Candidates.push_back(std::move(Candidate));
  else
    *Free = std::move(Candidate);
  const auto At = std::ranges::lower_bound(
      Group.ByName, nameOf(Group, Index), {},
      [&](std::uint32_t Other) { return nameOf(Group, Other); });
  Group.ByName.insert(At, Index);
  return Index;
}

/// Withdraws endpoints above bounds that shrank; candidates whose bounds grew
/// beyond what they could own have room.
void applyBounds(group_update &Update, const std::vector<std::size_t> &Former) {
  owner_group &Group = Update.Group;
  for (const std::uint32_t Index : Group.ByName) {
    group_candidate &Candidate = Group.Candidates[Index];
    const std::size_t Before = Index < Former.size() ? Former[Index] : 0;
    if (Candidate.Bound > Before && Candidate.Owned.size() == Before)
      Update.Vacancies.push_back(Index);
    while (Candidate.Owned.size() > Candidate.Bound)
      evictLast(Update, Candidate);
  }
}

} // namespace

bool buildGroup(owner_group &Group, const std::vector<group_seed> &Seeds,
                const std::vector<weighted_owner> &Candidates) {
  const std::uint64_t Places = Group.Places;
  Group = {};
  Group.Places = Places;
  for (const weighted_owner &Given : Candidates) {
    Group.ByName.push_back(static_cast<std::uint32_t>(Group.Candidates.size()));
    Group.Candidates.push_back({*Given.Candidate, Given.Weight, 0, {}, true});
  }
  Group.Endpoints.resize(Seeds.size());
  if (Candidates.size() < 2 || !setBounds(Group))
    return false;
  for (std::uint32_t Index = 0; Index < Seeds.size(); ++Index) {
    group_endpoint &Entry = Group.Endpoints[Index];
    Entry.Hash = Seeds[Index].Hash;
    Entry.Position = Seeds[Index].Position;
    Entry.Owner = indexNamed(Group, Seeds[Index].Owner);
    Entry.Standby = indexNamed(Group, Seeds[Index].Standby);
    if (Entry.Owner == None || Entry.Standby == None)
      return false;
    Entry.OwnerCost = placeOf(Group, Index, Entry.Owner).first;
    Entry.StandbyCost = placeOf(Group, Index, Entry.Standby).first;
    Group.Candidates[Entry.Owner].Owned.push_back(Index);
  }
  return true;
}

bool updateGroup(owner_group &Group,
                 const std::vector<weighted_owner> &Candidates,
                 std::vector<std::uint32_t> &Changed) {
  // Computing all owners again compares each endpoint with each candidate; a
  // candidate that changed takes a few such comparisons for each endpoint.
  constexpr std::size_t ComparisonsPerChange = 4;
  const group_changes Changes = changesTo(Group, Candidates);
  const std::size_t Count = Changes.Left.size() + Changes.Joined.size();
  if (Count == 0)
    return true;
  if (Candidates.size() < 2 ||
      ComparisonsPerChange * Count >= Candidates.size())
    return false;
  group_update Update{Group, {}, {}, {}, {}};
  removeLeft(Update, Changes.Left);
  std::vector<std::size_t> Former(Group.Candidates.size());
  std::ranges::transform(Group.Candidates, Former.begin(),
                         &group_candidate::Bound);
  std::vector<std::uint32_t> Joined;
  for (const weighted_owner &Given : Changes.Joined) {
    Joined.push_back(addCandidate(Group, Given));
    if (Joined.back() < Former.size())
      Former[Joined.back()] = 0;
  }
  if (!setBounds(Group))
    return false;
  applyBounds(Update, Former);
  assignRemaining(Update);
  fillVacancies(Update);
  Update.StandbyMoved.insert(Update.OwnerMoved.begin(),
                             Update.OwnerMoved.end());
  for (const std::uint32_t Endpoint : Update.StandbyMoved)
    findStandby(Group, Endpoint);
  std::set<std::uint32_t> Found = Update.StandbyMoved;
  for (const std::uint32_t Candidate : Joined)
    for (std::uint32_t Endpoint = 0; Endpoint < Group.Endpoints.size();
         ++Endpoint)
      if (!Found.contains(Endpoint))
        compareStandby(Update, Endpoint, Candidate);
  Changed.insert(Changed.end(), Update.StandbyMoved.begin(),
                 Update.StandbyMoved.end());
  return true;
}

} // namespace redwinggw::session
