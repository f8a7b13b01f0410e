#include "platform_former_primaries.hpp"
#include "platform_heartbeats.hpp"
#include "platform_inquiries.hpp"
#include "platform_loops.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace redwinggw {
namespace {

namespace asio = boost::asio;
using session::endpoint_entry;
using session::primary_claim;

/// Between two questions to an endpoint.
constexpr base::milliseconds DemotionInterval{500};

/// Whether \p Endpoint leads a later term than the agreed primary, which is
/// another one.
bool leadsInstead(const platform_instance_state &State,
                  const base::service_name &Service,
                  const base::endpoint_name &Endpoint,
                  const session::endpoint_status &Status) {
  const auto *Known = findClaim(State.Claims, Service);
  return Known != nullptr && !Known->Claim.Moving &&
         Known->Claim.Primary != Endpoint &&
         Status.Role == session::endpoint_role::Primary &&
         Status.Term > Known->Claim.Term;
}

base::task<void> demote(platform_instance_ptr State, primary_claim Claim,
                        endpoint_entry Entry) {
  const base::endpoint_name Name = Entry.Name;
  const base::service_name Service = Claim.Service;
  const auto Status =
      co_await inquireAndDemote(*State, std::move(Claim), std::move(Entry));
  if (Status.Status && leadsInstead(*State, Service, Name, *Status.Status))
    State->Superseded.insert(Service);
  co_await pauseWithJitter(*State, DemotionInterval);
  State->Demoting.erase(Name);
}

bool mayBeFormer(const platform_instance_state &State,
                 const primary_claim &Claim, const endpoint_entry &Entry) {
  return Entry.Role == session::endpoint_role::Primary &&
         Entry.Name != Claim.Primary &&
         !isEvacuated(State.Evacuations, Entry.Zone) &&
         !State.Demoting.contains(Entry.Name);
}

} // namespace

void demoteFormerPrimaries(const platform_instance_ptr &State) {
  if (State->Draining || !isStoreReader(*State))
    return;
  for (const auto &[Service, Known] : State->Claims.Known) {
    const primary_claim &Claim = Known.Claim;
    // An orderer asks the endpoints itself.
    if (Claim.Moving || Claim.Term == 0)
      continue;
    for (const endpoint_entry *Entry :
         endpointsOf(State->Endpoints.Directory, Service)) {
      if (!mayBeFormer(*State, Claim, *Entry))
        continue;
      State->Demoting.insert(Entry->Name);
      asio::co_spawn(State->Context, demote(State, Claim, *Entry),
                     asio::detached);
    }
  }
}

} // namespace redwinggw
