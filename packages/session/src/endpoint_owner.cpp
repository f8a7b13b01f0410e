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

} // namespace

owner_candidate::owner_candidate(base::instance_name Name, base::zone_name Zone)
    : Name(std::move(Name)), Zone(std::move(Zone)),
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
      Candidates.push_back({Member.Name, Member.Zone});
  return Candidates;
}

const owner_candidate *ownerOf(std::string_view Endpoint, std::string_view Zone,
                               const std::vector<owner_candidate> &Candidates) {
  const std::uint32_t EndpointHash = control::rendezvousHash(Endpoint);
  const auto Weight = [&](const owner_candidate &Candidate) {
    const std::uint32_t Draw =
        control::rendezvousWeight(EndpointHash, Candidate.Hash);
    return std::tuple(Candidate.Zone == Zone, Draw,
                      std::string_view(Candidate.Name));
  };
  const auto Best = std::ranges::max_element(Candidates, {}, Weight);
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
  const auto Present = std::ranges::lower_bound(Candidates, OwnerBefore, {},
                                                &owner_candidate::Name);
  const bool Stays =
      Present != Candidates.end() && Present->Name == OwnerBefore &&
      std::ranges::find(Changes.Joined, OwnerBefore, &owner_candidate::Name) ==
          Changes.Joined.end();
  if (!Stays)
    return ownerOf(Endpoint, Zone, Candidates);
  std::vector<owner_candidate> Rivals = Changes.Joined;
  Rivals.push_back(*Present);
  const base::instance_name Winner = ownerOf(Endpoint, Zone, Rivals)->Name;
  return &*std::ranges::lower_bound(Candidates, Winner, {},
                                    &owner_candidate::Name);
}

} // namespace redwinggw::session
