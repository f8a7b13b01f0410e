#include "redwinggw/session/endpoint_owner.hpp"

#include "redwinggw/control/relays.hpp"
#include "redwinggw/control/rendezvous.hpp"
#include "redwinggw/wire/message.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <tuple>
#include <utility>

namespace redwinggw::session {
namespace {

/// An instance whose last heartbeat is older owns nothing: three heartbeats.
constexpr base::milliseconds MaxHeartbeatAge{650};

/// An instance of the endpoint's zone goes first; names decide between equal
/// hashes.
auto weightOf(const owner_candidate &Candidate, std::uint32_t EndpointHash,
              std::string_view Zone) {
  return std::tuple(Candidate.Zone == Zone,
                    control::rendezvousWeight(EndpointHash, Candidate.Hash),
                    std::string_view(Candidate.Name));
}

/// Null when it is not among \p Candidates, which are sorted by name.
const owner_candidate *
findCandidate(const std::vector<owner_candidate> &Candidates,
              std::string_view Name) {
  const auto Found =
      std::ranges::lower_bound(Candidates, Name, {}, &owner_candidate::Name);
  return Found != Candidates.end() && Found->Name == Name ? &*Found : nullptr;
}

} // namespace

owner_candidate::owner_candidate(base::instance_name Name, base::zone_name Zone,
                                 double Capacity)
    : Name(std::move(Name)), Zone(std::move(Zone)), Capacity(Capacity),
      Hash(control::rendezvousHash(this->Name)) {}

bool mayOwn(const control::membership &Membership,
            const control::member &Member, base::instant Now) {
  using enum control::member_state;
  if (usesRelays(Membership))
    return Member.State == Alive;
  return Member.State == Alive && Member.ArrivedAt &&
         Now - *Member.ArrivedAt <= MaxHeartbeatAge;
}

std::vector<owner_candidate> ownersAmong(const control::membership &Membership,
                                         base::instant Now) {
  std::vector<owner_candidate> Candidates;
  for (const control::member &Member : Membership.Members)
    if (mayOwn(Membership, Member, Now))
      Candidates.push_back({Member.Name, Member.Zone, Member.Capacity});
  return Candidates;
}

const owner_candidate *ownerOf(std::string_view Endpoint, std::string_view Zone,
                               const std::vector<owner_candidate> &Candidates) {
  const std::uint32_t EndpointHash = control::rendezvousHash(Endpoint);
  const auto Best = std::ranges::max_element(
      Candidates, {}, [&](const owner_candidate &Candidate) {
        return weightOf(Candidate, EndpointHash, Zone);
      });
  return Best == Candidates.end() ? nullptr : &*Best;
}

candidate_changes changesBetween(const std::vector<owner_candidate> &Before,
                                 const std::vector<owner_candidate> &After) {
  const auto ByName = [](const owner_candidate &A, const owner_candidate &B) {
    return std::tie(A.Name, A.Zone) < std::tie(B.Name, B.Zone);
  };
  candidate_changes Changes;
  std::ranges::set_difference(After, Before, std::back_inserter(Changes.Joined),
                              ByName);
  std::ranges::set_difference(Before, After, std::back_inserter(Changes.Left),
                              ByName);
  return Changes;
}

const owner_candidate *
ownerAfter(std::string_view Endpoint, std::string_view Zone,
           std::string_view OwnerBefore, const candidate_changes &Changes,
           const std::vector<owner_candidate> &Candidates) {
  const owner_candidate *Present = findCandidate(Candidates, OwnerBefore);
  if (Present == nullptr || findCandidate(Changes.Joined, OwnerBefore))
    return ownerOf(Endpoint, Zone, Candidates);
  const owner_candidate *Rival = ownerOf(Endpoint, Zone, Changes.Joined);
  const std::uint32_t Hash = control::rendezvousHash(Endpoint);
  const bool RivalWins = Rival != nullptr && weightOf(*Rival, Hash, Zone) >
                                                 weightOf(*Present, Hash, Zone);
  return RivalWins ? findCandidate(Candidates, Rival->Name) : Present;
}

} // namespace redwinggw::session
