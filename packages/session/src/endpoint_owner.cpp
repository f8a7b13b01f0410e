#include "redwinggw/session/endpoint_owner.hpp"

#include "redwinggw/control/relays.hpp"
#include "redwinggw/control/rendezvous.hpp"
#include "redwinggw/wire/message.hpp"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace redwinggw::session {
namespace {

/// An instance whose last heartbeat is older owns nothing: three heartbeats.
constexpr base::milliseconds MaxHeartbeatAge{650};

} // namespace

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
    const std::uint32_t Draw = control::rendezvousWeight(
        EndpointHash, control::rendezvousHash(Candidate.Name));
    return std::tuple(Candidate.Zone == Zone, Draw,
                      std::string_view(Candidate.Name));
  };
  const auto Best = std::ranges::max_element(Candidates, {}, Weight);
  return Best == Candidates.end() ? nullptr : &*Best;
}

} // namespace redwinggw::session
